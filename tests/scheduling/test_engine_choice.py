"""Choice among many engines."""

import pytest

from hornbeamdeck.scheduling import engine_choice
from tests.scheduling.engine_cell_factories import (
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)


def test_the_shortlist_contains_the_best_engine() -> None:
    """Guards against a shortlist that leaves the fastest engine out."""
    many = make_cell(*(engine(f'e{number}') for number in range(100)))
    for name, load in many.loads.items():
        load.slowness = 1.0 if name == 'e77' else 3.0
    enqueue(many, make_request('r1'))
    assert granted(many) == [('r1', 'e77')]


def test_all_engines_are_tried_if_none_on_the_shortlist_fits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against holding a request although an engine that is not on the
    shortlist could run it.
    """
    monkeypatch.setattr(engine_choice, 'SHORTLIST_SIZE', 2)
    many = make_cell(*(engine(f'e{number}') for number in range(4)))
    many.loads['e3'].slowness = 2.0
    enqueue(many, make_request('r1', excluded=['e0', 'e1', 'e2']))
    assert granted(many) == [('r1', 'e3')]
