"""Tests of the settings of a gateway process."""

import json
import pathlib

import pytest

from hornbeamdeck.connection.address import Address
from hornbeamdeck.process.serve_gateway import load_gateway_settings
from tests.platform.fleet import make_gateway_settings


def test_seconds_become_milliseconds() -> None:
    settings = make_gateway_settings(Address('127.0.0.1', 1))
    assert settings.bounds.grace_ms == 3000
    assert settings.bounds.quota_window_ms == 8000


BOUNDS = {'expose_share': 0.1, 'expose_slack': 50, 'rollback_ms': 5000}


def test_rollout_bounds_are_read() -> None:
    settings = make_gateway_settings(Address('127.0.0.1', 1), rollouts=BOUNDS)
    assert settings.rollouts is not None
    assert settings.rollouts._asdict() == BOUNDS


@pytest.mark.parametrize('raw', [None, {}, dict.fromkeys(BOUNDS)])
def test_deployment_may_have_no_rollouts(raw: object) -> None:
    settings = make_gateway_settings(Address('127.0.0.1', 1), rollouts=raw)
    assert settings.rollouts is None


@pytest.mark.parametrize('field', BOUNDS)
@pytest.mark.parametrize('raw', [None, -1, 'many'])
def test_error_names_the_rollout_bound(
    tmp_path: pathlib.Path, field: str, raw: object
) -> None:
    """Guards against a version that is rolled out without a limit."""
    path = tmp_path / 'gateway.json'
    path.write_text(json.dumps({'rollouts': {**BOUNDS, field: raw}}))
    errors = load_gateway_settings(str(path)).unwrap_err()
    messages = [str(error) for error in errors]
    assert any('rollouts' in each and field in each for each in messages)


@pytest.mark.parametrize(
    ('field', 'raw'),
    [
        ('address', 'nowhere'),
        ('fleet_secret', 'short'),
        ('cores', 0),
        ('bounds', {}),
        ('no_such_field', 1),
    ],
)
def test_errors_name_file_and_field(
    tmp_path: pathlib.Path,
    field: str,
    raw: object,
) -> None:
    path = tmp_path / 'gateway.json'
    path.write_text(json.dumps({field: raw}))
    errors = load_gateway_settings(str(path)).unwrap_err()
    messages = [str(error) for error in errors]
    assert any(f'{path}: {field}' in each for each in messages)
