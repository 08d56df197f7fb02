"""Asks engines whether they still run.

Failure: a response without framing ends with its connection. The connections of
an engine that crashes are closed like that of one that has finished, so the
part of a response that it has sent looks complete.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias

import structlog
from curio import sleep
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.engines.incarnation_check import QUESTION_LIMITS
from hornbeamdeck.request.gateway_request import Dialect
from hornbeamdeck.wire import Grant

__all__ = ('IsRunning', 'make_liveness_check')

_LOGGER = structlog.get_logger(prefix='engines')

# When to ask. An engine that has too many connections resets another one, and
# one that ends may do so before it refuses connections.
ASK_DELAYS_MS: Final = (0, 100)
# A sound engine may be silent for a second.
ANSWER_TIMEOUT_MS: Final = 1500

IsRunning: TypeAlias = Callable[[Grant], Awaitable[bool]]


def make_liveness_check(dialer: EngineDialer, dialect: Dialect) -> IsRunning:
    """Make the check whether the engine of a grant still runs.

    Any answer to the question for its incarnation shows that an engine runs. An
    engine that does not answer is not known to run.
    """

    async def _async_is_running(grant: Grant) -> bool:
        for delay_ms in ASK_DELAYS_MS:
            await sleep(delay_ms / MILLIS_PER_SECOND)
            opened = await dialer.async_open(
                grant, is_repeatable=True, deadline_ms=ANSWER_TIMEOUT_MS
            )
            if isinstance(opened, Err):
                return False
            answer = await _async_ask(
                opened.ok_value.connection,
                dialect.incarnation_request(grant.upstream),
            )
            if answer is not None:
                stated_ms = dialect.read_incarnation(answer)
                return _is_same(grant, answer, stated_ms)
        return False

    async def _async_check(grant: Grant) -> bool:
        asked_ms = now_ms()
        is_running = await _async_is_running(grant)
        _LOGGER.info(
            'engine asked after an unframed response',
            engine=grant.upstream,
            request_id=grant.request_id,
            is_running=is_running,
            took_ms=int(now_ms() - asked_ms),
        )
        return is_running

    return _async_check


async def _async_ask(
    connection: ClientConnection, question: HttpRequest
) -> HttpResponse | None:
    connection.apply_limits(
        QUESTION_LIMITS._replace(silence_ms=ANSWER_TIMEOUT_MS)
    )
    try:
        answer = await async_with_timeout(
            ANSWER_TIMEOUT_MS, connection.async_fetch(question)
        )
    except TaskTimeout:
        return None
    finally:
        await connection.async_close()
    return answer.ok()


def _is_same(grant: Grant, answer: HttpResponse, stated_ms: int | None) -> bool:
    """Return whether an answer may be that of the granted incarnation."""
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return False
    return stated_ms is None or stated_ms == (grant.born_ms or stated_ms)
