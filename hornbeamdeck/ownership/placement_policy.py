"""The interface of placement policies."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.wire import Enqueue, RunEnd

__all__ = ('Acquire', 'Policy')

Acquire: TypeAlias = Callable[[Enqueue], Awaitable[Result[str, NotRun]]]
OnFirstToken: TypeAlias = Callable[[str, float], Awaitable[None]]
OnEnd: TypeAlias = Callable[[str, RunEnd, float], Awaitable[None]]


class Policy(NamedTuple):
    """A policy that assigns upstreams to requests.

    :param acquire: waits until an upstream may be used and returns its name.
    :param on_first_token: called with a request id and its time to first token
        in milliseconds.
    :param on_end: called with a request id, how its run ended and the run's
        duration in milliseconds.
    """

    acquire: Acquire
    on_first_token: OnFirstToken
    on_end: OnEnd
