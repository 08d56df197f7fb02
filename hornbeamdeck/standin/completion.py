"""OpenAI-compatible requests and responses of the engine stand-in."""

import json
from http import HTTPStatus
from typing import Any

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.const import ENCODING
from hornbeamdeck.standin.http_server import json_response

__all__ = ('encode_event', 'make_choice', 'extract_prompt', 'make_response')


def _is_chat(body: dict[str, Any]) -> bool:
    return 'messages' in body


def extract_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a completion request."""
    if _is_chat(body):
        return ''.join(str(each['content']) for each in body['messages'])
    return str(body['prompt'])


def make_choice(
    text: str,
    body: dict[str, Any],
    finish_reason: str | None,
) -> dict[str, Any]:
    """Build the choice object of a stream event or a full response.

    :param body: the request.
    :param finish_reason: `None` while the response continues.
    """
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if not _is_chat(body):
        return {**choice, 'text': text}
    field = 'delta' if body.get('stream') else 'message'
    return {**choice, field: {'role': 'assistant', 'content': text}}


def _make_body(choice: Any, body: dict[str, Any]) -> dict[str, Any]:
    kind = 'chat.completion' if _is_chat(body) else 'text_completion'
    if body.get('stream') and _is_chat(body):
        kind = 'chat.completion.chunk'
    return {
        'id': 'cmpl-standin',
        'object': kind,
        'created': 0,
        'model': body.get('model', ''),
        'choices': [choice],
    }


def make_response(text: str, body: dict[str, Any]) -> HttpResponse:
    """Build the response to a request without streaming.

    :param body: the request.
    """
    return json_response(
        HTTPStatus.OK, _make_body(make_choice(text, body, 'stop'), body)
    )


def encode_event(choice: Any, body: dict[str, Any]) -> bytes:
    """Encode a choice as a server-sent event.

    :param body: the request.
    """
    encoded = json.dumps(_make_body(choice, body))
    return f'data: {encoded}\n\n'.encode(ENCODING)
