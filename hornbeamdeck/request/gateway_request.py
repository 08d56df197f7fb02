"""Decoded gateway requests, and the interface of the dialect decoding them."""

import enum
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from result import Ok, Result

from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.request.outcome import Failure, NotRun

__all__ = (
    'MAX_SHARED_PARTS',
    'Dialect',
    'EngineAttempt',
    'EngineStatement',
    'GatewayRequest',
    'MakeIncarnationRequest',
    'ReadIncarnation',
    'ResponseVerdict',
    'RunSummary',
    'ShownLimit',
    'StatedLimit',
    'WithholdReason',
)


# Further parts of a prompt, and ids that are longer, are not told to owners.
MAX_SHARED_PARTS: Final = 64
MAX_PART_ID_CHARS: Final = 64


class GatewayRequest(NamedTuple):
    """A decoded request.

    :param host: without port, in lower case.
    :param bearer_key: the bearer key; empty if there is none.
    :param client_timeout_ms: the client timeout, counted from its arrival.
    :param prompt_tokens: tokens of the prompt; 0: no model request.
    :param output_tokens: maximum number of tokens to generate.
    :param expected_tokens: number of tokens that the caller expects to be
        generated; 0: not stated.
    :param prompt_part_ids: ids of the prompt's parts, in order.
    :param last_event_id: id of the last event that the caller received; empty:
        none.
    :param resumed_request_id: id of the request that brought the first event of
        the stream that this one goes on with; empty: not stated.
    """

    request_id: str
    host: str
    http_request: HttpRequest
    bearer_key: str
    client_timeout_ms: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    prompt_part_ids: tuple[str, ...]
    last_event_id: str
    resumed_request_id: str = ''

    @property
    def stated_tokens(self) -> int:
        """Tokens that it counts against its team's limit; 0: not stated."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_part_ids(self) -> list[str]:
        """The parts that other prompts may have, too: all but the last."""
        return [
            part_id
            for part_id in dict.fromkeys(self.prompt_part_ids[:-1])
            if 0 < len(part_id) <= MAX_PART_ID_CHARS
        ][:MAX_SHARED_PARTS]


class EngineAttempt(NamedTuple):
    """One attempt to run a request on an engine.

    :param engine: the only incarnation that may run it.
    :param team: name of the team that holds its key; empty: public.
    :param left_ms: how long the engine may work on it.
    :param last_event_id: id of the last event that the caller received; empty:
        none.
    """

    engine: str
    team: str
    left_ms: int
    last_event_id: str


class RunSummary(NamedTuple):
    """Times of a run as its ingress measured them, in milliseconds.

    :param total_ms: since the grant was used.
    :param first_byte_ms: from sending the request to the first byte of its
        response; 0: there was none.
    :param longest_gap_ms: longest gap between two events of the response.
    :param output_tokens: tokens of a complete response; 0: not known.
    :param relay: the instance that the request went through; empty: none.
    :param is_unsent: whether no byte of the request has reached any engine.
    """

    total_ms: float = 0
    first_byte_ms: float = 0
    longest_gap_ms: float = 0
    output_tokens: int = 0
    relay: str = ''
    is_unsent: bool = False


class ResponseVerdict(enum.Enum):
    """What the head of an engine's response shows about the request."""

    RAN = enum.auto()
    REJECTED = enum.auto()
    MISDIRECTED = enum.auto()
    INVALID_RESPONSE = enum.auto()


class WithholdReason(enum.StrEnum):
    """Why a request that was granted an engine must not be sent to it."""

    NOT_LISTED = 'the engine is draining or was removed'
    LEAVING = 'the engine has stated that it leaves'
    RESTING = 'the engine has asked this instance for rest'
    RESTARTED = 'the engine has restarted at another version'
    ROLLED_BACK = 'the version of the engine has been rolled back'
    EARLIER_ATTEMPT = 'the grant is for an earlier attempt of the request'
    NO_SOCKET = 'this instance can open no connection now'
    UNCERTAIN = 'the version that the engine runs is not certain'


ReadRequest: TypeAlias = Callable[[HttpRequest], Result[GatewayRequest, NotRun]]
MakeEngineHeaders: TypeAlias = Callable[
    [GatewayRequest, EngineAttempt], Headers
]
ClassifyResponse: TypeAlias = Callable[
    [GatewayRequest, HttpResponse], ResponseVerdict
]
StatedLimit: TypeAlias = Result[float | None, str]
# `None`: the response does not show it.
ShownLimit: TypeAlias = StatedLimit | None


class EngineStatement(NamedTuple):
    """What the head of an engine's response states about the engine.

    An error is the text of a header that can't be read.

    :param request_limit: requests per second that it accepts from all instances
        together; `Ok(None)`: no limit.
    :param rejection_limit: how many requests it can reject in a second without
        falling over; `Ok(None)`: it does not fall over.
    :param leaving: whether it is about to stop.
    :param rest_ms: how long it wants no requests from this instance; 0: it does
        not ask for rest.
    :param unread_headers: names of its headers that no code reads.
    """

    request_limit: ShownLimit = None
    rejection_limit: ShownLimit = None
    leaving: Result[bool, str] = Ok(False)
    rest_ms: Result[float, str] = Ok(0.0)
    unread_headers: tuple[str, ...] = ()


ReadStatement: TypeAlias = Callable[
    [HttpResponse, ResponseVerdict], EngineStatement
]
MakeIncarnationRequest: TypeAlias = Callable[[str], HttpRequest]
ReadIncarnation: TypeAlias = Callable[[HttpResponse], int | None]
MakeCallerResponse: TypeAlias = Callable[[HttpResponse], HttpResponse]
MakeFailureResponse: TypeAlias = Callable[[Failure, str], HttpResponse]


class Dialect(NamedTuple):
    """The HTTP conventions of callers and engines, as functions.

    :param read_request: decodes a request, or returns why it is invalid.
    :param engine_headers: makes the headers of a request for an engine.
    :param classify_response: classifies an engine's response by its head.
    :param read_statement: reads what a response with a given verdict states
        about its engine.
    :param incarnation_request: makes the request that asks an engine, by its
        name, for a statement of its incarnation.
    :param read_incarnation: reads the start of the incarnation from that
        statement, Unix milliseconds; `None`: it is not stated.
    :param caller_response: converts an engine's response for the caller.
    :param failure_response: makes the response for a failure and a request id.
    """

    read_request: ReadRequest
    engine_headers: MakeEngineHeaders
    classify_response: ClassifyResponse
    read_statement: ReadStatement
    incarnation_request: MakeIncarnationRequest
    read_incarnation: ReadIncarnation
    caller_response: MakeCallerResponse
    failure_response: MakeFailureResponse
