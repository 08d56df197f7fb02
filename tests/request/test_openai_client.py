"""The unmodified openai package from PyPI works against an instance."""

import threading

import curio
import openai

from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.standin.engine import expected_response

PROMPT = 'is this a death cap?'
TOKENS = 12


def _client(address: object) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f'http://{address}/v1',
        api_key=team_key('guides'),
        max_retries=0,
    )


def _complete_chat(client: openai.OpenAI) -> str:
    response = client.chat.completions.create(
        model='desk',
        messages=[{'role': 'user', 'content': PROMPT}],
        max_tokens=TOKENS,
    )
    return response.choices[0].message.content or ''


def _stream_chat(client: openai.OpenAI) -> str:
    stream = client.chat.completions.create(
        model='desk',
        messages=[{'role': 'user', 'content': PROMPT}],
        max_tokens=TOKENS,
        stream=True,
    )
    return ''.join(chunk.choices[0].delta.content or '' for chunk in stream)


def _complete(client: openai.OpenAI) -> str:
    response = client.completions.create(
        model='desk',
        prompt=PROMPT,
        max_tokens=TOKENS,
    )
    return response.choices[0].text


def _list_models(client: openai.OpenAI) -> list[str]:
    return [model.id for model in client.models.list()]


def test_unmodified_openai_client_works() -> None:
    ready = threading.Event()
    done = curio.UniversalEvent()
    addresses: list[object] = []

    async def _async_serve() -> None:
        fleet = await Fleet.async_start(FleetPlan(speeds=(1.0,)))
        addresses.append(fleet.instances[1].own.address)
        ready.set()
        await done.wait()
        await fleet.async_stop()

    server = threading.Thread(target=curio.run, args=(_async_serve,))
    server.start()
    ready.wait()
    expected = expected_response(PROMPT, TOKENS)
    try:
        client = _client(addresses[0])
        assert _complete_chat(client) == expected
        assert _stream_chat(client) == expected
        assert _complete(client) == expected
        assert _list_models(client) == ['desk']
    finally:
        done.set()
        server.join()
