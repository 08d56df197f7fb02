"""Header fields that come more than once, and calls without a body."""

from hornbeamdeck.connection.http import (
    HttpRequest,
    header_pairs,
    join_headers,
)
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import async_fetch, on_fleet


def test_cookies_of_a_plain_service_stay_apart() -> None:
    """A booking page sets two cookies. Joined by a comma, browsers would read
    one broken cookie and the family would lose its session.
    """
    pairs = [(b'set-cookie', b'a=1'), (b'set-cookie', b'b=2, c')]
    assert header_pairs(join_headers(pairs)) == pairs


def test_other_fields_are_joined() -> None:
    joined = join_headers([(b'accept', b'a'), (b'accept', b'b')])
    assert joined == {'accept': 'a, b'}


def test_field_beyond_ascii_survives() -> None:
    """An upstream names a file with an accent in a header. Written as ASCII
    it would raise after the call ran, and the caller see a broken answer.
    """
    pairs = [(b'content-disposition', 'filename=cèpe'.encode('latin-1'))]
    assert header_pairs(join_headers(pairs)) == pairs


@on_fleet(FleetPlan(instances=1, speeds=(1.0,)))
async def test_head_is_answered_without_body(fleet: Fleet) -> None:
    request = HttpRequest('HEAD', '/healthz', '', {}, b'')
    response = await async_fetch(fleet.instances[0].own.address, request)
    assert response.status == 200
    assert response.body == b''
