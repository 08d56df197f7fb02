"""End-to-end tests from a caller through a gateway to an engine."""

import json

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.store_client import StoredObject
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.standins import document, route
from tests.support import async_fetch


@on_platform()
async def test_request_gets_response_of_engine(
    fleet: PlatformFleet,
) -> None:
    got = await fleet.async_call('/seats/oak', x_note='kept')
    assert got.status == 200
    executed = [
        each for engine in fleet.booking_engines for each in engine.executed
    ]
    assert len(executed) == 1
    assert executed[0].headers['hornbeamdeck-tenant'] == 'guides'
    assert executed[0].headers['host'] == 'walks.example'
    assert executed[0].headers['x-note'] == 'kept'
    assert 'authorization' not in executed[0].headers
    assert got.headers['hornbeamdeck-response-seal'].startswith('seal-')


@on_platform(3)
async def test_every_gateway_relays_complete_stream(
    fleet: PlatformFleet,
) -> None:
    for number in range(3):
        got = await fleet.async_call('/note/x', number, tokens=TOKEN_COUNTS)
        assert got.status == 200
        assert got.body.count(b'data: word') == 3


@on_platform(3)
async def test_every_gateway_returns_all_addresses(
    fleet: PlatformFleet,
) -> None:
    request = HttpRequest('GET', '/v1/resolve', 'name=walks.example', {}, b'')
    for gateway in fleet.gateways:
        got = await async_fetch(gateway.listeners[1].address, request)
        assert len(json.loads(got.body)['addresses']) == 3


@on_platform()
async def test_longest_prefix_wins_and_unknown_path_is_not_found(
    fleet: PlatformFleet,
) -> None:
    assert (await fleet.async_call('/nowhere/x')).status == 404
    fleet.booking_engines[0].faults = ['error']
    fleet.booking_engines[1].faults = ['error']
    # The route with the shorter prefix is idempotent and would be retried.
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 500
    assert sum(len(engine.executed) for engine in fleet.booking_engines) == 1


@on_platform()
async def test_wrong_key_is_refused_except_on_public_route(
    fleet: PlatformFleet,
) -> None:
    denied = await fleet.async_call('/seats/x', authorization='Bearer no')
    assert denied.status == 401
    served = await fleet.async_call('/open/x', authorization='Bearer no')
    assert served.status == 200


@on_platform()
async def test_new_version_is_applied(fleet: PlatformFleet) -> None:
    added = [*document()['routes'], route('/new/')]
    await fleet.store.async_put('config', 'main', document(routes=added))
    await fleet.async_until(
        lambda: (
            fleet.gateways[0].components.follower.configuration.find_route(
                'walks.example',
                '/new/x',
            )
            is not None
        ),
    )
    assert (await fleet.async_call('/new/x')).status == 200


@on_platform()
async def test_older_version_is_not_applied(fleet: PlatformFleet) -> None:
    """Guards against restoring a revoked key.

    A stale read or a lagging peer may deliver an old configuration. If it were
    applied, a revoked key would be accepted again.
    """
    follower = fleet.gateways[0].components.follower
    newest = follower.configuration.version
    old = follower.configuration.document

    await follower.async_note(StoredObject('configuration', newest - 1, old))
    assert follower.configuration.version == newest


@on_platform()
async def test_stream_continues_while_routes_are_added(
    fleet: PlatformFleet,
) -> None:
    many = [route(f'/r{number}/') for number in range(400)]
    added = document(routes=[*document()['routes'], *many])
    fleet.model_engines[0].event_gap_s = 0.05
    fleet.model_engines[1].event_gap_s = 0.05
    await fleet.store.async_put('config', 'main', added)
    got = await fleet.async_call('/note/x', tokens=TOKEN_COUNTS)
    assert got.body.count(b'data: word') == 3
    await fleet.async_until(
        lambda: (
            len(
                fleet.gateways[0].components.follower.configuration.routes[
                    'walks.example'
                ],
            )
            == 405
        ),
    )
