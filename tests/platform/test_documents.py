"""The stored configuration and engine entries."""

import json
from typing import Any

import pytest

from hornbeamdeck.platform.documents import parse_configuration, parse_engine
from hornbeamdeck.version.routed import Route, RoutedConfiguration
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


def _parsed(**changes: Any) -> RoutedConfiguration:
    text = json.dumps(document(**changes))
    return parse_configuration(text, 7).unwrap()


def _found(configuration: RoutedConfiguration, path: str) -> Route | None:
    return configuration.find_route('walks.example', path)


def test_the_longest_prefix_that_begins_the_path_is_found() -> None:
    configuration = _parsed()
    for path, prefix in (
        ('/seats/oak', '/seats/'),
        ('/seats/pay/1', '/seats/pay/'),
        ('/seats/pay', '/seats/'),
        ('/seats/payment/1', '/seats/'),
        ('/seats/', '/seats/'),
    ):
        found = _found(configuration, path)
        assert found is not None
        assert found.path_prefix == prefix
    assert _found(configuration, '/seats') is None
    assert _found(configuration, 'seats/x') is None
    assert configuration.find_route('other.example', '/seats/x') is None


def test_a_split_goes_by_weight() -> None:
    split = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    found = _found(_parsed(routes=[route('/x/', traffic_split=split)]), '/x/1')
    assert found is not None
    picked = [found.pick_service(number / 100) for number in range(100)]
    assert picked.count('a') == 90
    assert picked.count('b') == 10


def test_keys_lead_to_teams_and_are_not_kept() -> None:
    configuration = _parsed()
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
def test_a_document_that_can_not_be_read_is_an_error(text: str) -> None:
    assert parse_configuration(text, 7).is_err()


def test_an_entry_becomes_an_engine() -> None:
    engine = parse_engine('e1', ENTRY)
    assert engine is not None
    assert str(engine.address) == '10.0.0.1:80'
    assert engine.born_ms == 12
    assert not engine.is_leaving


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
    ],
)
def test_odd_entries_name_no_engine(spec: Any) -> None:
    assert parse_engine('e1', spec) is None
