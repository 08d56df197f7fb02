"""Each mechanism can still be taken out."""

import ast
import pathlib
import shutil

import pytest

from bench.ablate import PACKAGE, load_ablations, take_out

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize('name', sorted(load_ablations()))
def test_a_mechanism_is_found_and_taken_out(
    name: str,
    tmp_path: pathlib.Path,
) -> None:
    """The code moves on and a mechanism is put in elsewhere. Left in, it would
    be called worth nothing.
    """
    ablation = load_ablations()[name]
    copied = tmp_path / PACKAGE / ablation.file
    copied.parent.mkdir(parents=True)
    shutil.copy(ROOT / PACKAGE / ablation.file, copied)
    take_out(ablation, tmp_path)
    changed = copied.read_text()
    assert ablation.new in changed
    ast.parse(changed)
    with pytest.raises(ValueError, match='not found once'):
        take_out(ablation._replace(old='not there'), tmp_path)
