"""Tests of parsing the stored configuration and engine entries."""

import json
from typing import Any

import pytest

from hornbeamdeck.platform.documents import parse_configuration, parse_engine
from hornbeamdeck.version.gateway import GatewayConfiguration, Route
from tests.platform.standins import document, route

ENTRY: dict[str, Any] = {
    'service': 'desk',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'slots': 4,
    'state': 'ready',
    'born': 12,
    'sequence': 3,
}


def _parse_document(**changes: Any) -> GatewayConfiguration:
    text = json.dumps(document(**changes))
    return parse_configuration(text, 7).unwrap()


def _find_route(configuration: GatewayConfiguration, path: str) -> Route | None:
    return configuration.find_route('walks.example', path)


def test_longest_matching_prefix_is_found() -> None:
    configuration = _parse_document()
    for path, prefix in (
        ('/seats/oak', '/seats/'),
        ('/seats/pay/1', '/seats/pay/'),
        ('/seats/pay', '/seats/'),
        ('/seats/payment/1', '/seats/'),
        ('/seats/', '/seats/'),
    ):
        found = _find_route(configuration, path)
        assert found is not None
        assert found.path_prefix == prefix
    assert _find_route(configuration, '/seats') is None
    assert _find_route(configuration, 'seats/x') is None
    assert configuration.find_route('other.example', '/seats/x') is None


def test_traffic_split_follows_weights() -> None:
    split = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    found = _find_route(
        _parse_document(routes=[route('/x/', traffic_split=split)]), '/x/1'
    )
    assert found is not None
    picked = [found.pick_service(number / 100) for number in range(100)]
    assert picked.count('a') == 90
    assert picked.count('b') == 10


def test_keys_map_to_teams_and_are_not_stored() -> None:
    configuration = _parse_document()
    team = configuration.team_of_key('key-of-guides')
    assert team is not None
    assert team.name == 'guides'
    assert configuration.team_of_key('key-of-nobody') is None
    assert 'key-of-guides' not in repr(configuration.teams_by_key)


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        '{}',
        'null',
        '{"routes": 3, "services": []}',
        '{"routes": [{"name": "x"}], "services": []}',
        '[' * 100_000,
    ],
)
def test_invalid_document_is_an_error(text: str) -> None:
    assert parse_configuration(text, 7).is_err()


def test_entry_is_parsed_to_engine() -> None:
    engine = parse_engine('e1', ENTRY).unwrap()
    assert str(engine.address) == '10.0.0.1:80'
    assert engine.born_ms == 12
    assert not engine.is_draining


@pytest.mark.parametrize(
    'spec',
    [
        None,
        7,
        'text',
        [],
        {},
        {**ENTRY, 'address': 'x'},
        {**ENTRY, 'address': None},
        {**ENTRY, 'address': '10.0.0.1:port'},
        {**ENTRY, 'state': 'odd'},
        {**ENTRY, 'state': ['ready']},
        {**ENTRY, 'slots': '9'},
        {**ENTRY, 'slots': -1},
        {**ENTRY, 'service': 5},
        {**ENTRY, 'born': 'x'},
        {**ENTRY, 'born': 1 << 63},
        {**ENTRY, 'born': -1},
        {**ENTRY, 'born': True},
        {**ENTRY, 'slots': 100_000_000},
        {**ENTRY, 'slots': True},
        {**ENTRY, 'slots': 1.5},
        {**ENTRY, 'zone': '\ud800'},
        {**ENTRY, 'zone': 'z' * 10_000},
        {**ENTRY, 'zone': []},
        {**ENTRY, 'service': 'desk\udc80'},
        {**ENTRY, 'version': '\udfff'},
        {**ENTRY, 'address': '10.0.0.1:65536'},
        {**ENTRY, 'address': '10.0.0.1:-1'},
        {**ENTRY, 'sequence': None},
        {**ENTRY, 'sequence': '3'},
        {name: ENTRY[name] for name in ENTRY if name != 'sequence'},
        {name: ENTRY[name] for name in ENTRY if name != 'zone'},
        {name: ENTRY[name] for name in ENTRY if name != 'slots'},
    ],
)
def test_invalid_entry_is_ignored(spec: Any) -> None:
    assert parse_engine('e1', spec).is_err()


@pytest.mark.parametrize(
    ('name', 'changes'),
    [
        ('日本', {}),
        ('é', {}),
        (' e', {}),
        ('', {}),
        ('e\n', {}),
        ('e' * 300, {}),
        ('e', {'address': '10.0.0.1:0'}),
        ('e', {'address': '10.0.0.1:65536'}),
        ('e', {'address': '10.0.0.1:-1'}),
        ('e', {'address': '10.0.0.1:99999999999'}),
        ('e', {'address': '10.0.0.1'}),
        ('e', {'address': ''}),
        ('e', {'address': ':80'}),
        ('e', {'address': '[::1]'}),
        ('e', {'address': 80}),
        ('e', {'address': '10.0.0.1:80' + ' ' * 300}),
    ],
)
def test_entry_that_can_not_be_addressed_names_no_engine(
    name: str, changes: dict[str, Any]
) -> None:
    """Guards against requests for engines that can't be addressed."""
    assert parse_engine('e', ENTRY).is_ok()
    assert parse_engine(name, {**ENTRY, **changes}).is_err()


def test_entry_of_an_ipv6_address_names_an_engine() -> None:
    """Guards against a check of addresses that knows one family only."""
    parsed = parse_engine('e', {**ENTRY, 'address': '[::1]:80'})
    assert parsed.unwrap().address == '[::1]:80'
