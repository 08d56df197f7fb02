"""Model engine stand-in: OpenAI-compatible completions with batching.

`PUT /standin/switches` changes the engine's behaviour:

- `speed` changes the speed factor.
- `down_ms` closes all connections and refuses new ones for this time.
- `is_cut` closes all connections; resumable streams continue to run.
- `crash_mark` and `break_mark` set a text; a prompt that contains it crashes
  the engine or causes a short outage.

`GET /standin/records` returns the engine's counters.
"""

import json
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final, TypeAlias
from urllib.parse import parse_qs

from curio import sleep, spawn

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.engine_stream import HEADER_RESUMABLE
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import (
    ENCODING,
    HEADER_REQUEST_ID,
    MILLIS_PER_SECOND,
)
from hornbeamdeck.standin.batch import (
    END_OF_OUTPUT,
    Batch,
    EngineTiming,
    Sequence,
)
from hornbeamdeck.standin.completion import (
    encode_event,
    extract_prompt,
    make_choice,
    make_response,
)
from hornbeamdeck.standin.http_server import (
    async_setup_http_server,
    json_response,
)
from hornbeamdeck.standin.prefix_cache import PrefixCache
from hornbeamdeck.standin.resumable_streams import Streams

__all__ = ('EngineStandin', 'async_setup_engine', 'expected_response')

DEFAULT_OUTPUT_TOKENS: Final = 16
CHARS_PER_TOKEN: Final = 4
REPORT_LAG_MS: Final = 500
BREAK_OUTAGE_MS: Final = 300
WORDS: Final = ('oak ', 'elm ', 'ash ', 'yew ', 'fir ', 'bay ', 'box ')

FaultHandler: TypeAlias = Callable[[], Awaitable[None]]
OutageHandler: TypeAlias = Callable[[int], Awaitable[None]]


def expected_response(prompt: str, output_tokens: int) -> str:
    """Return the response text that an engine generates for a prompt.

    Callers compare it with what they received. The words depend on the
    prompt, so a response that was sent to the wrong caller or lost a part
    differs from the expected text.
    """
    seed = sum(prompt.encode(ENCODING))
    words = (WORDS[(seed + step) % len(WORDS)] for step in range(output_tokens))
    return ''.join(words)


class EngineStandin:
    """An engine with its batch, its delayed load report and its faults."""

    def __init__(self, timing: EngineTiming) -> None:
        """Create an idle engine without faults."""
        self.batch = Batch(timing)
        self.cache = PrefixCache(max_blocks=timing.cache_blocks)
        self.streams = Streams(self.batch)
        self.crash_mark = ''
        self.break_mark = ''
        self.on_crash: FaultHandler | None = None
        self.on_outage: OutageHandler | None = None
        self.on_cut: FaultHandler | None = None
        self.has_crashed = False
        self._reports: deque[dict[str, int]] = deque(maxlen=2)

    async def async_refresh_report(self) -> None:
        """Update the load report periodically.

        The published report is one period old.
        """
        while True:
            self._reports.append(
                {
                    'running': self.batch.running_requests,
                    'queued_prompt_tokens': self.batch.queued_prompt_tokens,
                },
            )
            await sleep(REPORT_LAG_MS / MILLIS_PER_SECOND)

    async def async_handle(
        self,
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        """Handle a request."""
        if request.path in {'/v1/chat/completions', '/v1/completions'}:
            await self._async_handle_completion(request, connection)
            return
        if request.path.startswith('/v1/streams/'):
            await self.streams.async_handle(request, connection)
            return
        await connection.async_respond(await self._async_route(request))

    async def _async_route(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/load':
            return json_response(HTTPStatus.OK, self._reports[0])
        if request.path == '/cache-events':
            after = int(parse_qs(request.query)['after'][0])
            events = [each._asdict() for each in self.cache.events(after)]
            return json_response(HTTPStatus.OK, {'events': events})
        if request.path == '/standin/records':
            records = self.batch.counters
            return json_response(
                HTTPStatus.OK, {'runs': records.runs, **records.counts}
            )
        if request.path == '/standin/switches':
            return await self._async_apply_switches(json.loads(request.body))
        return json_response(HTTPStatus.NOT_FOUND, {'error': 'no such path'})

    async def _async_apply_switches(
        self,
        switches: dict[str, Any],
    ) -> HttpResponse:
        timing = self.batch.timing
        speed = switches.get('speed', timing.speed)
        self.batch.timing = timing._replace(speed=speed)
        self.crash_mark = switches.get('crash_mark', self.crash_mark)
        self.break_mark = switches.get('break_mark', self.break_mark)
        if 'down_ms' in switches and self.on_outage is not None:
            await spawn(self.on_outage, switches['down_ms'], daemon=True)
        if 'is_cut' in switches and self.on_cut is not None:
            await spawn(self.on_cut, daemon=True)
        return json_response(HTTPStatus.OK, {})

    async def _async_handle_completion(
        self,
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        body = json.loads(request.body)
        prompt = extract_prompt(body)
        if self.crash_mark and self.crash_mark in prompt and self.on_crash:
            self.has_crashed = True
            await self.on_crash()
            return
        if self.break_mark and self.break_mark in prompt and self.on_outage:
            self.batch.counters.counts['breaks'] += 1
            await spawn(self.on_outage, BREAK_OUTAGE_MS, daemon=True)
            await sleep(1)
            return
        self._count_run(request)
        output_tokens = body.get('max_tokens') or DEFAULT_OUTPUT_TOKENS
        sequence = self._make_sequence(prompt, output_tokens)
        await self.batch.async_admit(sequence)
        words = _async_generate_words(sequence, prompt, output_tokens)
        if body.get('stream') and HEADER_RESUMABLE in request.headers:
            await self.streams.async_start(
                sequence,
                _async_encode_events(words, body),
                connection,
            )
            return
        try:
            await _async_write_response(words, body, connection)
        finally:
            self.batch.cancel(sequence)

    def _count_run(self, request: HttpRequest) -> None:
        runs = self.batch.counters.runs
        request_id = request.headers.get(HEADER_REQUEST_ID, 'none')
        runs.setdefault(request_id, 0)
        runs[request_id] += 1

    def _make_sequence(self, prompt: str, output_tokens: int) -> Sequence:
        prompt_tokens = max(len(prompt) // CHARS_PER_TOKEN, 1)
        cached_tokens = self.cache.store_prompt(prompt) // CHARS_PER_TOKEN
        return Sequence(
            prompt_tokens=prompt_tokens - cached_tokens,
            output_tokens=output_tokens,
        )


async def _async_write_response(
    words: AsyncIterator[str],
    body: dict[str, Any],
    connection: ServerConnection,
) -> None:
    if body.get('stream'):
        await _async_write_stream(words, body, connection)
        return
    text = [word async for word in words]
    await connection.async_respond(make_response(''.join(text), body))


async def _async_generate_words(
    sequence: Sequence,
    prompt: str,
    output_tokens: int,
) -> AsyncIterator[str]:
    seed = sum(prompt.encode(ENCODING))
    while True:
        tokens_left = await sequence.output.get()
        if tokens_left == END_OF_OUTPUT:
            return
        yield WORDS[(seed + output_tokens - tokens_left - 1) % len(WORDS)]


async def _async_write_stream(
    words: AsyncIterator[str],
    body: dict[str, Any],
    connection: ServerConnection,
) -> None:
    headers = {'content-type': 'text/event-stream'}
    await connection.async_start_response(HTTPStatus.OK, headers)
    async for encoded in _async_encode_events(words, body):
        await connection.async_send_chunk(encoded)
    await connection.async_end_response()


async def _async_encode_events(
    words: AsyncIterator[str],
    body: dict[str, Any],
) -> AsyncIterator[bytes]:
    async for word in words:
        yield encode_event(make_choice(word, body, None), body)
    final_event = encode_event(make_choice('', body, 'stop'), body)
    yield b'%sdata: [DONE]\n\n' % final_event


async def async_setup_engine(
    address: Address,
    timing: EngineTiming,
) -> tuple[EngineStandin, Listener]:
    """Start an engine that listens on an address.

    A crash closes its listener and its connections.

    :returns: the engine and its listener.
    """
    engine = EngineStandin(timing)
    listeners = [await async_setup_http_server(address, engine.async_handle)]
    bound_address = listeners[0].address
    batch_task = await spawn(engine.batch.async_run, daemon=True)
    report_task = await spawn(engine.async_refresh_report, daemon=True)

    async def _async_unload() -> None:
        await batch_task.cancel()
        await report_task.cancel()
        await listeners[-1].async_unload()

    async def _async_crash() -> None:
        await spawn(_async_unload, daemon=True)
        await sleep(1)

    async def _async_cut() -> None:
        await listeners[-1].async_unload()
        listeners.append(
            await async_setup_http_server(bound_address, engine.async_handle)
        )

    async def _async_outage(down_ms: int) -> None:
        await listeners[-1].async_unload()
        await engine.streams.async_cancel_all()
        await sleep(down_ms / MILLIS_PER_SECOND)
        listeners.append(
            await async_setup_http_server(bound_address, engine.async_handle)
        )

    engine.on_crash = _async_crash
    engine.on_outage = _async_outage
    engine.on_cut = _async_cut
    return engine, listeners[0]._replace(async_unload=_async_unload)
