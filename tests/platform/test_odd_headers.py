"""Headers with values that no peer should send."""

import pytest

from tests.platform.fleet import PlatformFleet, on_platform

HUGE = '9' * 5000
ODD = (HUGE, '9' * 400, '-1', 'nan', 'inf', '1e999', '²', '0.000000000001', '0')


def _check(answers: list[int]) -> None:
    assert set(answers) == {200}, answers


@pytest.mark.parametrize('text', ODD)
def test_odd_headers_of_engines_lose_no_response(text: str) -> None:
    """Guards against callers that lose a response whose head is odd."""

    @on_platform(2)
    async def _async_ask(fleet: PlatformFleet) -> None:
        for engine in fleet.booking_engines + fleet.model_engines:
            engine.state(
                {
                    'keep-alive': f'timeout={text}',
                    'retry-after': text,
                    'hornbeamdeck-weight-versions': text,
                    'date': text,
                    'age': text,
                }
            )
        answers = [
            (await fleet.async_call(path, number, tokens=tokens)).status
            for number in (0, 1)
            for path, tokens in (('/seats/x', ''), ('/guide/x', '100,20'))
        ]
        _check(answers)
        for gateway in fleet.gateways:
            assert not gateway.components.metrics.failed_tasks

    _async_ask()


@pytest.mark.parametrize('text', [*ODD, ',', ':', 'ff:' + HUGE])
def test_odd_headers_of_callers_get_an_answer(text: str) -> None:
    """Guards against callers whose connection ends without an answer."""

    @on_platform(2)
    async def _async_ask(fleet: PlatformFleet) -> None:
        headers = (
            'hornbeamdeck_deadline_ms',
            'hornbeamdeck_token_counts',
            'hornbeamdeck_prompt_prefix',
            'hornbeamdeck_length_hint',
            'last_event_id',
            'resumes',
            'hornbeamdeck_pin_ms',
        )
        for number in (0, 1):
            for name in headers:
                for path in ('/seats/x', '/guide/x'):
                    answer = await fleet.async_call(
                        path, number, **{name: text}
                    )
                    assert answer.status in {200, 400, 429, 503}, name
        assert (await fleet.async_call('/open/x', 1)).status == 200

    _async_ask()
