"""The command line's answers to wrong input."""

import json
import pathlib

import pytest

from hornbeamdeck.cli import EXIT_USAGE, check_settings


def test_wrong_settings_are_named_and_end_with_a_code(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'front.json'
    path.write_text(json.dumps({'entries_address': 'nowhere'}))
    with pytest.raises(SystemExit) as ended:
        check_settings(str(path))
    assert ended.value.code == EXIT_USAGE
    assert (
        f'{path}: entries_address: expected ip:port' in capsys.readouterr().err
    )


def test_good_settings_are_said_to_be_good(
    capsys: pytest.CaptureFixture[str],
) -> None:
    root = pathlib.Path(__file__).parent.parent
    check_settings(str(root / 'examples/instance.json'))
    assert 'no errors' in capsys.readouterr().out
