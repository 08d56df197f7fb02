"""A request that waits for a grant at the owner of its cell."""

import math
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.wire import Enqueue, Message

__all__ = ('Deliver', 'QueuedRequest', 'instance_of', 'make_sender')

SEPARATOR: Final = '#'

Deliver: TypeAlias = Callable[[Message], Awaitable[None]]


class QueuedRequest(NamedTuple):
    """One waiting request.

    :param sender: the connection on which it was received; the request is
        removed when that closes.
    :param deliver: sends its grant or refusal to the ingress.
    :param deadline_ms: monotonic time of this process, in milliseconds.
    :param service_ms: estimated duration of the run, in milliseconds.
    :param standing: among the waiting requests of its rank.
    :param enqueued_ms: when it arrived here; infinity: its cell has no streams.
    :param learnable_until_ms: until when the version of the stream that it goes
        on with may be learned; `None`: it was known on arrival.
    """

    request: Enqueue
    sender: str
    deliver: Deliver
    deadline_ms: float
    service_ms: float
    standing: Standing = Standing.WITHIN_SHARE
    learnable_until_ms: float | None = None
    enqueued_ms: float = math.inf

    @property
    def instance(self) -> str:
        """The ingress instance that holds the request."""
        return instance_of(self.sender)

    @property
    def is_unbound(self) -> bool:
        """Whether it goes on with a stream whose version is not known yet."""
        request = self.request
        return request.resumes is not None and request.version is None

    @property
    def is_learning(self) -> bool:
        """Whether it waits for that version, and so for no slot yet."""
        return self.learnable_until_ms is not None and self.is_unbound

    @property
    def expires_ms(self) -> float:
        """Until when it may wait for a grant."""
        if self.learnable_until_ms is None or not self.is_unbound:
            return self.deadline_ms
        return min(self.deadline_ms, self.learnable_until_ms)

    @property
    def cost_tokens(self) -> int:
        """Tokens that are charged to its team's share."""
        return int(self.request.prompt_tokens + self.request.output_tokens)


def make_sender(instance: str, connection: int) -> str:
    """Name a connection of a remote instance; a local sender is the instance.

    :param connection: distinguishes the connections of one instance.
    """
    return f'{instance}{SEPARATOR}{connection}'


def instance_of(sender: str) -> str:
    """Return the instance that a message was received from."""
    return sender.rpartition(SEPARATOR)[0] or sender
