"""What orders two observations of a store that may be restored."""

import ast
import pathlib

import pytest

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_revision import StoreRevision

PACKAGE = pathlib.Path(__file__).parent.parent.parent / 'hornbeamdeck'
HEADER = 'store-era'


def test_a_later_era_is_newer_whatever_the_number() -> None:
    """Guards against a revision that was given out again and looks old."""
    before = StoreRevision(era=3, number=1000)
    after = StoreRevision(era=4, number=10)
    assert before < after
    assert before.packed < after.packed
    assert StoreRevision.from_packed(after.packed) == after


@pytest.mark.parametrize('compare', [int.__lt__, int.__gt__, int.__le__])
def test_a_revision_cannot_be_ordered_against_a_number(compare: object) -> None:
    """Guards against a number that is compared without its era."""
    revision = StoreRevision(1, 5)
    with pytest.raises(TypeError):
        compare(revision, 7)  # type: ignore[operator]
    with pytest.raises(TypeError):
        assert revision < 7  # type: ignore[operator]


def _is_number(node: ast.expr) -> bool:
    return isinstance(node, ast.Attribute) and node.attr in {'number', 'packed'}


def test_numbers_of_revisions_are_not_ordered_in_the_product() -> None:
    """Guards against code that takes the number out to compare it."""
    found = [
        f'{path.name}:{node.lineno}'
        for path in PACKAGE.rglob('*.py')
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Compare)
        and any(map(_is_number, (node.left, *node.comparators)))
        and any(
            isinstance(each, ast.Lt | ast.LtE | ast.Gt | ast.GtE)
            for each in node.ops
        )
    ]
    assert not found


@pytest.mark.parametrize('text', ['', 'seven', '-1', '²', '1.5'])
def test_unreadable_era_counts_as_none(text: str) -> None:
    """Guards against a malformed header that ends the tasks of the store."""
    era = StoreEra(HEADER)
    assert era.record(HttpResponse(200, {HEADER: text}, b'')) == 0


def test_era_never_goes_back() -> None:
    """Guards against a late response that takes the era back."""
    era = StoreEra(HEADER)
    for text in ('4', '5', '4'):
        era.record(HttpResponse(200, {HEADER: text}, b''))
    assert era.current == 5


@pytest.mark.parametrize('text', ['9' * 5000, '9' * 19, '²', '-1', 'x', ''])
def test_an_era_that_is_no_number_is_none(text: str) -> None:
    """Guards against one header that ends what follows the store."""
    response = HttpResponse(200, {HEADER: text}, b'')
    era = StoreEra(HEADER)
    assert era.record(response) == 0
    assert era.current == 0
