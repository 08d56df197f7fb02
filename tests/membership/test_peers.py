"""Connections to peers that an unexpected error ends."""

from structlog.testing import capture_logs

from tests.platform.fleet import PlatformFleet, on_platform


@on_platform(2)
async def test_link_whose_message_fails_is_opened_again(
    fleet: PlatformFleet,
) -> None:
    """Guards against messages that wait at a link that has ended."""
    first, second = fleet.gateways
    peers = first.components.peers
    peer_id = second.settings.instance_id
    lost: list[str] = []
    on_message, on_lost = peers._on_message, peers._on_lost
    assert on_message is not None
    assert on_lost is not None

    async def _async_fail(_peer_id: str, _message: object) -> None:
        raise RuntimeError

    async def _async_lost(peer_id: str) -> None:
        lost.append(peer_id)
        peers.set_callbacks(on_message, on_lost)
        await on_lost(peer_id)

    with capture_logs() as lines:
        peers.set_callbacks(_async_fail, _async_lost)
        await fleet.async_until(lambda: bool(lost))
    assert 'peer is silent' not in {line['event'] for line in lines}
    assert lost == [peer_id]
    liveness = first.components.heartbeats.liveness
    await fleet.async_until(
        lambda: (
            peers.has_connection(peer_id)
            and len(liveness.serving_instances()) == 2
        )
    )
    assert (await fleet.async_call('/seats/x')).status == 200
