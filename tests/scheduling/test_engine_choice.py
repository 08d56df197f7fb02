"""Which engine is chosen of many."""

import pytest

from hornbeamdeck.scheduling import engine_choice
from tests.scheduling.routed import ask, cell, engine, granted, offer


def test_the_best_of_many_engines_is_found_by_the_first_look() -> None:
    """Guards against a first look that leaves the quickest engine out."""
    many = cell(*(engine(f'e{number}') for number in range(100)))
    for name, load in many.loads.items():
        load.slowness = 1.0 if name == 'e77' else 3.0
    offer(many, ask('r1'))
    assert granted(many) == [('r1', 'e77')]


def test_where_the_first_look_fits_nothing_all_engines_are_looked_at(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request refused the engines that are not tried yet."""
    monkeypatch.setattr(engine_choice, 'SHORTLIST_SIZE', 2)
    many = cell(*(engine(f'e{number}') for number in range(4)))
    many.loads['e3'].slowness = 2.0
    offer(many, ask('r1', excluded=['e0', 'e1', 'e2']))
    assert granted(many) == [('r1', 'e3')]
