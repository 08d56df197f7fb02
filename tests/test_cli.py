"""Tests of `check-settings` with invalid and valid settings."""

import json
import pathlib

import pytest

from hornbeamdeck.cli import EXIT_USAGE, check_settings


def test_invalid_settings_are_reported_with_exit_code(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'front.json'
    path.write_text(json.dumps({'entries_address': 'nowhere'}))
    with pytest.raises(SystemExit) as exit_info:
        check_settings(str(path))
    assert exit_info.value.code == EXIT_USAGE
    assert (
        f'{path}: entries_address: expected ip:port' in capsys.readouterr().err
    )


def test_valid_settings_are_reported_without_errors(
    capsys: pytest.CaptureFixture[str],
) -> None:
    root = pathlib.Path(__file__).parent.parent
    check_settings(str(root / 'examples/instance.json'))
    assert 'no errors' in capsys.readouterr().out
