"""Every mechanism listed in ablations.json can be removed."""

import ast
import pathlib
import shutil

import pytest

from bench.ablate import PACKAGE, load_ablations, remove_mechanism

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize('name', sorted(load_ablations()))
def test_mechanism_is_found_and_removed(
    name: str,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a code change that activates a mechanism in another place.
    The ablation would then leave it active and report that it gains nothing.
    """
    ablation = load_ablations()[name]
    copied_file = tmp_path / PACKAGE / ablation.file
    copied_file.parent.mkdir(parents=True)
    shutil.copy(ROOT / PACKAGE / ablation.file, copied_file)
    remove_mechanism(ablation, tmp_path)
    changed_text = copied_file.read_text()
    assert ablation.new in changed_text
    ast.parse(changed_text)
    with pytest.raises(ValueError, match='does not occur exactly once'):
        remove_mechanism(ablation._replace(old='not there'), tmp_path)
