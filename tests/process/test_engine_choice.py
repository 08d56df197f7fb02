"""Which engine is chosen of many."""

from tests.process.routed import ask, cell, engine, granted, offer


def test_the_best_of_many_engines_is_found_by_the_first_look() -> None:
    """Guards against a first look that leaves the quickest engine out."""
    many = cell(*(engine(f'e{number}') for number in range(100)))
    for name, load in many.loads.items():
        load.slowness = 1.0 if name == 'e77' else 3.0
    offer(many, ask('r1'))
    assert granted(many) == [('r1', 'e77')]


def test_where_the_first_look_fits_nothing_all_engines_are_looked_at() -> None:
    """Guards against a request refused its last untried engine."""
    names = [f'e{number}' for number in range(40)]
    many = cell(*map(engine, names))
    for name, load in many.loads.items():
        load.slowness = 2.0 if name == 'e39' else 1.0
    offer(many, ask('r1', excluded=names[:39]))
    assert granted(many) == [('r1', 'e39')]
