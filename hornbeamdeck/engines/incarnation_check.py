"""Asks engines for the start of their incarnation.

The list of engines may describe the predecessor of an engine that has started
again under its name. Only the engine itself can tell while the store is away or
the engine is cut off from it.
"""

from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import Any, Final, NamedTuple, TypeAlias

import structlog
from curio import Event, spawn
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.response_limits import ResponseLimits
from hornbeamdeck.engines.engine_dialer import EngineDialer
from hornbeamdeck.request.gateway_request import Dialect
from hornbeamdeck.scheduling.incarnations import IncarnationBook
from hornbeamdeck.wire import Grant

__all__ = (
    'Ask',
    'IncarnationCheck',
    'OnVerdict',
    'make_incarnation_question',
)

_LOGGER = structlog.get_logger(prefix='engines')

# Covers connecting and the answer, which takes an engine a few milliseconds.
QUESTION_TIMEOUT_MS: Final = 300
# An engine that does not state its incarnation is not asked again within this
# time, unless a stream can't go on without its answer.
SILENCE_MS: Final = 5000
MAX_SILENT_ENGINES: Final = 2000
MAX_STATEMENT_BYTES: Final = 65_536
QUESTION_LIMITS: Final = ResponseLimits(
    max_head_bytes=MAX_STATEMENT_BYTES,
    max_body_bytes=MAX_STATEMENT_BYTES,
    max_framing_bytes=MAX_STATEMENT_BYTES,
    head_ms=QUESTION_TIMEOUT_MS,
    silence_ms=QUESTION_TIMEOUT_MS,
)

# Takes a grant for the engine. Returns the start that it states; 0: it states
# none; `None`: it was not reached.
Ask: TypeAlias = Callable[[Grant], Coroutine[Any, Any, int | None]]
# Takes whether the engine is certain to run the granted incarnation.
OnVerdict: TypeAlias = Callable[[bool], Awaitable[None]]
_EngineKey: TypeAlias = tuple[str, str | None]


class _Question(NamedTuple):
    asked_ms: float
    ended: Event


class IncarnationCheck:
    """Finds out whether engines run the incarnations that were granted."""

    def __init__(self, book: IncarnationBook, ask: Ask) -> None:
        """Start without questions."""
        self._book = book
        self._ask = ask
        # One at a time for each engine, by name and address.
        self._questions: dict[_EngineKey, _Question] = {}
        self._silent_until_ms: dict[str, float] = {}

    def is_certain(self, grant: Grant, connected_ms: float) -> bool:
        """Return whether a connection led to the granted incarnation.

        :param connected_ms: when it was established.
        """
        return self._book.is_certain(
            grant.upstream, grant.born_ms or 0, connected_ms
        )

    async def async_is_certain(self, grant: Grant, connected_ms: float) -> bool:
        """Return the same, after asking the engine if that is needed."""
        if self.is_certain(grant, connected_ms):
            return True
        if grant.born_ms:
            await self._async_ask_within(grant, connected_ms)
        return self.is_certain(grant, connected_ms)

    def verdict(self, grant: Grant, connected_ms: float) -> bool | None:
        """Return whether a connection led to the granted incarnation.

        :returns: `False` if the engine has stated another start since, `None`
            if it is not known.
        """
        if self.is_certain(grant, connected_ms):
            return True
        is_refuted = grant.born_ms and self._book.is_refuted(
            grant.upstream, grant.born_ms, connected_ms
        )
        return False if is_refuted else None

    async def async_verdict(
        self, grant: Grant, connected_ms: float
    ) -> bool | None:
        """Return the same, after asking the engine if that is needed."""
        await self.async_is_certain(grant, connected_ms)
        return self.verdict(grant, connected_ms)

    async def async_start(
        self, grant: Grant, connected_ms: float, on_verdict: OnVerdict
    ) -> None:
        """Ask the engine in the background, unless it states nothing.

        :param on_verdict: called if its answer confirms or refutes the grant.
        """
        if grant.born_ms and not self._is_silent(grant):
            await spawn(
                self._async_check, grant, connected_ms, on_verdict, daemon=True
            )

    def _is_silent(self, grant: Grant) -> bool:
        return now_ms() < self._silent_until_ms.get(grant.upstream, 0)

    async def _async_check(
        self, grant: Grant, connected_ms: float, on_verdict: OnVerdict
    ) -> None:
        await self._async_wait_for_earlier(grant, connected_ms)
        if not self._is_silent(grant):
            await self._async_ask(grant, connected_ms)
        verdict = self.verdict(grant, connected_ms)
        if verdict is not None:
            await on_verdict(verdict)

    async def _async_ask_within(
        self, grant: Grant, connected_ms: float
    ) -> None:
        with suppress(TaskTimeout):
            await async_with_timeout(
                QUESTION_TIMEOUT_MS, self._async_ask(grant, connected_ms)
            )

    async def _async_ask(self, grant: Grant, connected_ms: float) -> None:
        """Wait for the answer to a question asked after a time."""
        await self._async_wait_for_earlier(grant, connected_ms)
        key = (grant.upstream, grant.address)
        question = self._questions.get(key)
        if question is None:
            question = _Question(now_ms(), Event())
            self._questions[key] = question
            await spawn(self._async_question, grant, question, daemon=True)
        await question.ended.wait()

    async def _async_wait_for_earlier(
        self, grant: Grant, connected_ms: float
    ) -> None:
        """Wait for the end of a question asked before a time, if any."""
        question = self._questions.get((grant.upstream, grant.address))
        if question is not None and question.asked_ms < connected_ms:
            await question.ended.wait()

    async def _async_question(self, grant: Grant, question: _Question) -> None:
        born_ms: int | None = 0
        try:
            born_ms = await async_with_timeout(
                QUESTION_TIMEOUT_MS, self._ask(grant)
            )
        except TaskTimeout:
            born_ms = 0
        finally:
            self._record(grant, born_ms, question.asked_ms)
            await question.ended.set()

    def _record(
        self, grant: Grant, born_ms: int | None, asked_ms: float
    ) -> None:
        engine = grant.upstream
        self._questions.pop((engine, grant.address), None)
        if born_ms is None:
            return
        self._silent_until_ms.pop(engine, None)
        if born_ms:
            self._book.record_statement(engine, born_ms, asked_ms)
        else:
            self._silent_until_ms[engine] = now_ms() + SILENCE_MS
        while len(self._silent_until_ms) > MAX_SILENT_ENGINES:
            self._silent_until_ms.pop(next(iter(self._silent_until_ms)))
        if born_ms != grant.born_ms:
            _LOGGER.info(
                'incarnation not confirmed',
                engine=engine,
                granted_born_ms=grant.born_ms,
                stated_born_ms=born_ms or None,
            )


def make_incarnation_question(dialer: EngineDialer, dialect: Dialect) -> Ask:
    """Make the function that asks an engine on a connection of its own."""

    async def _async_ask(grant: Grant) -> int | None:
        opened = await dialer.async_open(
            grant, is_repeatable=True, deadline_ms=QUESTION_TIMEOUT_MS
        )
        if isinstance(opened, Err):
            return None
        connection = opened.ok_value.connection
        connection.apply_limits(QUESTION_LIMITS)
        try:
            fetched = await connection.async_fetch(
                dialect.incarnation_request(grant.upstream)
            )
        finally:
            await connection.async_close()
        return fetched.map(dialect.read_incarnation).unwrap_or(None) or 0

    return _async_ask
