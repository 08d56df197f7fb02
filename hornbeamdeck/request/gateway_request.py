"""Decoded routed requests, and the interface of a dialect that decodes them."""

import enum
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from result import Result

from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.request.outcome import Failure, NotRun

__all__ = ('Dialect', 'EngineAttempt', 'GatewayRequest', 'ResponseVerdict')


class GatewayRequest(NamedTuple):
    """A decoded request.

    :param host: without port, in lower case.
    :param key: the bearer key; empty if there is none.
    :param patience_ms: the client timeout, counted from now.
    :param prompt_tokens: tokens of the prompt; 0: no model request.
    :param output_tokens: maximum number of tokens to generate.
    :param expected_tokens: the caller's estimate of those; 0: none.
    :param prompt_parts: ids of the prompt's parts, in order.
    :param last_event: id of the last event that the caller received; empty:
        none.
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
        """Tokens that it counts against its team's limit; 0: not stated."""
        return self.prompt_tokens + self.output_tokens


class EngineAttempt(NamedTuple):
    """One attempt to run a request on an engine.

    :param engine: the only incarnation that may run it.
    :param team: name of the team that holds its key; empty: public.
    :param left_ms: how long the engine may work on it.
    :param after_event: id of the last event that the caller received; empty:
        none.
    """

    engine: str
    team: str
    left_ms: int
    after_event: str


class ResponseVerdict(enum.Enum):
    """What the head of an engine's response shows about the request."""

    RAN = enum.auto()
    NOT_RUN = enum.auto()
    OTHER_ENGINE = enum.auto()
    NOT_ITS_ANSWER = enum.auto()


ReadRequest: TypeAlias = Callable[[HttpRequest], Result[GatewayRequest, NotRun]]
MakeEngineHeaders: TypeAlias = Callable[
    [GatewayRequest, EngineAttempt], Headers
]
Judge: TypeAlias = Callable[[GatewayRequest, HttpResponse], ResponseVerdict]
MakeCallerResponse: TypeAlias = Callable[[HttpResponse], HttpResponse]
Refusal: TypeAlias = Callable[[Failure, str], HttpResponse]


class Dialect(NamedTuple):
    """The HTTP conventions of callers and engines, as functions.

    :param read: decodes a request, or returns why it is invalid.
    :param to_engine: makes the headers of a request for an engine.
    :param judge: classifies an engine's response by its head.
    :param to_caller: converts an engine's response for the caller.
    :param refusal: makes the response to a failed request from its id.
    """

    read: ReadRequest
    to_engine: MakeEngineHeaders
    judge: Judge
    to_caller: MakeCallerResponse
    refusal: Refusal
