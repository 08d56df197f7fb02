"""Messages to the cells of one process."""

from curio import run

from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.wire import Grant, Message
from tests.scheduling.engine_cell_factories import (
    engine,
    make_cell,
    make_request,
)


def test_owner_that_ends_grants_no_places_of_closed_connections() -> None:
    """Guards against requests sent to engines whose places are taken."""
    delivered: list[Message] = []

    async def _async_deliver(message: Message) -> None:
        delivered.append(message)

    async def _async_run() -> None:
        scheduler = Scheduler()
        scheduler.cells['desk'] = make_cell(engine('e1', slots=1))
        for sender in ('first', 'second'):
            await scheduler.async_receive(
                make_request(sender, objective_ms=9000, patience_ms=9000),
                sender=sender,
                deliver=_async_deliver,
            )
        scheduler.close()
        await scheduler.async_drop_sender('first')

    run(_async_run)
    assert [type(each) for each in delivered] == [Grant]
