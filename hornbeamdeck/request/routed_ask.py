"""A routed request as the edge sees it, and the dialect it came in."""

import enum
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.request.outcome import Failure, NotRun

__all__ = ('Dialect', 'Dispatch', 'RoutedAsk', 'Verdict')


class RoutedAsk(NamedTuple):
    """One request, decoded.

    :param host: without port, in lower case.
    :param key: the bearer key; empty where there is none.
    :param patience_ms: how long the caller will wait from now.
    :param prompt_tokens: tokens to be read; 0: no model request.
    :param output_tokens: most tokens that may be made.
    :param expected_tokens: the caller's guess of those; 0: none.
    :param prompt_parts: ids of the prompt's parts, in order.
    :param last_event: id of the last event that the caller has; empty: none.
    """

    request_id: str
    host: str
    request: HttpRequest
    key: str
    patience_ms: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prompt_parts: tuple[str, ...]
    last_event: str

    @property
    def counted_tokens(self) -> int:
        """What it counts against its team's limit; 0: not told."""
        return self.prompt_tokens + self.output_tokens


class Dispatch(NamedTuple):
    """One sending of a request to an engine.

    :param engine: the incarnation that alone may run it.
    :param team: whose key it came with; empty: public.
    :param left_ms: how long the engine may work on it.
    :param after_event: id of the last event that the caller has; empty: none.
    """

    engine: str
    team: str
    left_ms: int
    after_event: str


class Verdict(enum.Enum):
    """What the head of an engine's answer tells of the request."""

    RAN = enum.auto()
    NOT_RUN = enum.auto()
    OTHER_ENGINE = enum.auto()
    NOT_ITS_ANSWER = enum.auto()


ReadAsk: TypeAlias = Callable[[HttpRequest], Result[RoutedAsk, NotRun]]
ToEngine: TypeAlias = Callable[[RoutedAsk, Dispatch], Headers]
Judge: TypeAlias = Callable[[RoutedAsk, HttpResponse], Verdict]
ToCaller: TypeAlias = Callable[[HttpResponse], HttpResponse]
Refusal: TypeAlias = Callable[[Failure, str], HttpResponse]


class Dialect(NamedTuple):
    """How callers and engines speak, as closures.

    :param read: decodes a request, or says what is wrong with it.
    :param to_engine: headers of a request as an engine is to get them.
    :param judge: judges the head of an engine's answer.
    :param to_caller: an engine's answer as the caller is to get it.
    :param refusal: the answer to a request that failed, by its id.
    """

    read: ReadAsk
    to_engine: ToEngine
    judge: Judge
    to_caller: ToCaller
    refusal: Refusal
