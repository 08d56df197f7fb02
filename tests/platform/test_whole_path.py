"""A request from a caller through a front to an engine and back."""

import json

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.platform import StoredObject
from tests.platform.fleet import TOKENS, PlatformFleet, on_platform
from tests.platform.standins import document, route
from tests.support import async_fetch


@on_platform()
async def test_a_plain_request_gets_its_engines_answer(
    fleet: PlatformFleet,
) -> None:
    got = await fleet.async_call('/seats/oak', x_note='kept')
    assert got.status == 200
    ran = [each for engine in fleet.counters for each in engine.ran]
    assert len(ran) == 1
    assert ran[0].headers['hornbeamdeck-tenant'] == 'guides'
    assert ran[0].headers['host'] == 'walks.example'
    assert ran[0].headers['x-note'] == 'kept'
    assert 'authorization' not in ran[0].headers
    assert got.headers['hornbeamdeck-response-seal'].startswith('seal-')


@on_platform(3)
async def test_a_stream_comes_whole_from_any_front(
    fleet: PlatformFleet,
) -> None:
    for number in range(3):
        got = await fleet.async_call('/note/x', number, tokens=TOKENS)
        assert got.status == 200
        assert got.body.count(b'data: word') == 3


@on_platform(3)
async def test_all_fronts_name_each_other(fleet: PlatformFleet) -> None:
    asked = HttpRequest('GET', '/v1/resolve', 'name=walks.example', {}, b'')
    for front in fleet.fronts:
        got = await async_fetch(front.listeners[1].address, asked)
        assert len(json.loads(got.body)['addresses']) == 3


@on_platform()
async def test_the_longest_prefix_wins_and_unknown_paths_are_not_found(
    fleet: PlatformFleet,
) -> None:
    assert (await fleet.async_call('/nowhere/x')).status == 404
    fleet.counters[0].faults = ['error']
    fleet.counters[1].faults = ['error']
    # Only the shorter, idempotent prefix would be tried again.
    got = await fleet.async_call('/seats/pay/x')
    assert got.status == 500
    assert sum(len(engine.ran) for engine in fleet.counters) == 1


@on_platform()
async def test_a_wrong_key_is_refused_and_a_public_route_needs_none(
    fleet: PlatformFleet,
) -> None:
    denied = await fleet.async_call('/seats/x', authorization='Bearer no')
    assert denied.status == 401
    served = await fleet.async_call('/open/x', authorization='Bearer no')
    assert served.status == 200


@on_platform()
async def test_a_new_version_is_in_force_soon(fleet: PlatformFleet) -> None:
    added = [*document()['routes'], route('/new/')]
    await fleet.store.async_put('config', 'main', document(routes=added))
    await fleet.async_until(
        lambda: (
            fleet.fronts[0].parts.follower.configuration.find_route(
                'walks.example',
                '/new/x',
            )
            is not None
        ),
    )
    assert (await fleet.async_call('/new/x')).status == 200


@on_platform()
async def test_an_older_version_never_comes_back(fleet: PlatformFleet) -> None:
    """A stale read or a peer that lags brings an old document. Adopted, it
    would bring back a key that was taken away.
    """
    follower = fleet.fronts[0].parts.follower
    newest = follower.configuration.version
    old = follower.configuration.document

    await follower.async_note(StoredObject('configuration', newest - 1, old))
    assert follower.configuration.version == newest


@on_platform()
async def test_four_hundred_routes_come_during_a_stream(
    fleet: PlatformFleet,
) -> None:
    many = [route(f'/r{number}/') for number in range(400)]
    added = document(routes=[*document()['routes'], *many])
    fleet.desks[0].event_pause_s = 0.05
    fleet.desks[1].event_pause_s = 0.05
    await fleet.store.async_put('config', 'main', added)
    got = await fleet.async_call('/note/x', tokens=TOKENS)
    assert got.body.count(b'data: word') == 3
    await fleet.async_until(
        lambda: (
            len(
                fleet.fronts[0].parts.follower.configuration.routes[
                    'walks.example'
                ],
            )
            == 405
        ),
    )
