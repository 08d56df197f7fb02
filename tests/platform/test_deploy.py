"""Tests of the deploy file, the settings template and the requirements."""

import json
import pathlib
import re
import subprocess
import tomllib
from typing import Any

from hornbeamdeck.process.gateway_settings import GatewaySettings

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE_FIELDS: dict[str, Any] = {
    'node_name': 'front-1',
    'zone': 'z1',
    'seeds': ['10.0.0.1:1', '10.0.0.2:1'],
    'bootstrap': True,
    'listen': {
        'front': '10.0.0.1:2',
        'ready': '10.0.0.1:3',
        'directory': '10.0.0.1:4',
        'control': '10.0.0.1:1',
    },
    'platform': {'address': '10.0.0.9:5'},
    'limits': {'cpu_share': 0.731, 'memory_mb': 152, 'max_fds': 1570},
    'bounds': {
        'stability_ms': 3000,
        'drain_ms': 2000,
        'grace_s': 8.5,
        'config_apply_ms': 2000,
        'revoke_ms': 5000,
        'retry_budget_ratio': 0.2,
        'budget_window_s': 10,
        'retry_slack': 113,
        'quota_window_s': 8,
        'quota_slack': 140_000,
        'quota_overage': 0.1,
        'expose_share': 0.1,
        'expose_slack': 50,
        'rollback_ms': 5000,
    },
}


def _fill_template(template: str) -> str:
    def _replace_placeholder(found: re.Match[str]) -> str:
        field: Any = TEMPLATE_FIELDS
        for name in found.group(1).split('.'):
            field = field[name]
        return json.dumps(field)

    return re.sub(r'\{\{([\w.]+)\|json\}\}', _replace_placeholder, template)


def test_settings_template_is_valid() -> None:
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    role = deploy['roles']['front']
    template = (ROOT / role['template']).read_text()
    settings = GatewaySettings.from_config(json.loads(_fill_template(template)))
    assert settings.bounds.grace_ms == 8500
    assert str(settings.entries_address) == '10.0.0.1:4'
    assert settings.rollouts is not None
    assert settings.memory_mb == 152
    assert settings.max_descriptors == 1570
    assert settings.file_descriptors == 200
    port, _, path = role['metrics'].partition('/')
    assert int(port) == settings.metrics_port
    assert path == 'metrics'


def test_requirements_match_project_pins() -> None:
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    lines = (ROOT / 'requirements.txt').read_text().splitlines()
    pinned = {line for line in lines if line and not line.startswith('#')}
    assert pinned <= set(project['dependencies'])


def test_failed_install_fails_the_build(tmp_path: pathlib.Path) -> None:
    """Guards against a build that succeeds without its dependencies."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    python = tmp_path / 'python3'
    python.write_text('#!/bin/sh\n[ "$2" != pip ]\n')
    python.chmod(0o755)
    completed = subprocess.run(
        ('/bin/sh', '-c', deploy['build']),
        cwd=tmp_path,
        env={'PATH': str(tmp_path)},
        check=False,
    )
    assert completed.returncode != 0
