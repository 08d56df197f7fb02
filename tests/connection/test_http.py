"""Repeated header fields, and responses without a body."""

import h11
import pytest

from hornbeamdeck.connection.http import (
    HttpRequest,
    header_pairs,
    join_headers,
)
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import async_fetch, on_fleet


def test_set_cookie_fields_stay_separate() -> None:
    """Guards against joining two Set-Cookie fields by a comma: a browser would
    read one invalid cookie and lose its session.
    """
    pairs = [(b'set-cookie', b'a=1'), (b'set-cookie', b'b=2, c')]
    assert header_pairs(join_headers(pairs)) == pairs


def test_other_fields_are_joined_by_commas() -> None:
    joined = join_headers([(b'accept', b'a'), (b'accept', b'b')])
    assert joined == {'accept': 'a, b'}


@pytest.mark.parametrize(
    'texts', [(b'a', b''), (b'', b'a'), (b'', b''), (b'a', b'', b'b')]
)
def test_joined_fields_can_be_sent(texts: tuple[bytes, ...]) -> None:
    """Guards against fields that can be read and not be written."""
    pairs = header_pairs(join_headers([(b'accept', text) for text in texts]))
    joined = h11.Response(status_code=200, headers=pairs).headers[0][1]
    assert [each.strip() for each in joined.split(b',')] == list(texts)


def test_non_ascii_field_is_preserved() -> None:
    """Guards against encoding header fields as ASCII. A file name with an
    accent would raise an error after the call ran, and the caller would get
    an incomplete response.
    """
    pairs = [(b'content-disposition', 'filename=cèpe'.encode('latin-1'))]
    assert header_pairs(join_headers(pairs)) == pairs


@on_fleet(FleetPlan(instances=1, speeds=(1.0,)))
async def test_head_response_has_no_body(fleet: Fleet) -> None:
    request = HttpRequest('HEAD', '/healthz', '', {}, b'')
    response = await async_fetch(fleet.instances[0].own.address, request)
    assert response.status == 200
    assert response.body == b''
