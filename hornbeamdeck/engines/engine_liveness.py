"""Asks engines whether they still run.

Failure: a response without framing ends with its connection. The connections of
an engine that crashes are closed like that of one that has finished, so the
part of a response that it has sent looks complete.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from curio import sleep
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.wire import Grant

__all__ = ('IsRunning', 'make_liveness_check')

# When to ask. An engine that has too many connections resets another one, and
# one that ends may do so before it refuses connections.
ASK_DELAYS_MS: Final = (0, 100)
# A sound engine may be silent for a second.
ANSWER_TIMEOUT_MS: Final = 1500

IsRunning: TypeAlias = Callable[[Grant], Awaitable[bool]]


def make_liveness_check(
    dialer: EngineDialer, report_path: str, born_field: str
) -> IsRunning:
    """Make the check whether the engine of a grant still runs.

    An engine that does not answer is not known to run.

    :param report_path: where engines describe themselves; any answer shows that
        one runs.
    :param born_field: name of the field in which the answer states the start of
        the engine's incarnation.
    """
    question = HttpRequest('GET', report_path, '', {}, b'')

    async def _async_is_running(grant: Grant) -> bool:
        for delay_ms in ASK_DELAYS_MS:
            await sleep(delay_ms / MILLIS_PER_SECOND)
            opened = await dialer.async_open(
                grant, is_repeatable=True, deadline_ms=ANSWER_TIMEOUT_MS
            )
            if isinstance(opened, Err):
                return False
            answer = await _async_ask(opened.ok_value.connection, question)
            if answer is not None:
                return _is_born_at(grant.born_ms, answer, born_field)
        return False

    return _async_is_running


async def _async_ask(
    connection: ClientConnection, question: HttpRequest
) -> HttpResponse | None:
    try:
        answer = await async_with_timeout(
            ANSWER_TIMEOUT_MS, connection.async_fetch(question)
        )
    except TaskTimeout:
        return None
    finally:
        await connection.async_close()
    return answer.ok()


def _is_born_at(
    born_ms: int | None, answer: HttpResponse, born_field: str
) -> bool:
    """Return whether an answer may be that of a known incarnation."""
    try:
        stated = json.loads(answer.body)
    except ValueError:
        return True
    if not born_ms or not isinstance(stated, dict):
        return True
    return bool(stated.get(born_field, born_ms) == born_ms)
