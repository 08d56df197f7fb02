"""A request that waits for a grant, as the cell's owner holds it."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from hornbeamdeck.wire import Enqueue, Message

__all__ = ('Deliver', 'Ticket')

Deliver: TypeAlias = Callable[[Message], Awaitable[None]]


class Ticket(NamedTuple):
    """One waiting request.

    :param sender: the connection it came by; when that goes, so does it.
    :param deliver: sends the ingress its grant or refusal.
    :param deadline_ms: monotonic time of this process, milliseconds.
    :param service_ms: estimated duration of the run, milliseconds.
    """

    request: Enqueue
    sender: str
    deliver: Deliver
    deadline_ms: float
    service_ms: float

    @property
    def cost_tokens(self) -> int:
        """What it counts against its team's share."""
        return int(self.request.prompt_tokens + self.request.output_tokens)
