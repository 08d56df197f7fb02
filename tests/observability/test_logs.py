"""Tests of what libraries log."""

import json
import subprocess
import sys

SCRIPT = """
import logging
import sys

from hornbeamdeck.observability.logs import setup_logs

setup_logs(level='info', instance_id='front-0', stream=sys.stdout)
logging.getLogger('curio.time').warning('took longer than a timeout')
logging.getLogger('curio.kernel').error('Task Crash: %r', 'x' * 1000)
"""


def test_messages_of_libraries_do_not_reach_standard_error() -> None:
    """Guards against a process that waits until its standard error is read."""
    done = subprocess.run(  # noqa: S603
        [sys.executable, '-c', SCRIPT], capture_output=True, check=True
    )
    assert not done.stderr
    line = json.loads(done.stdout)
    assert line['library'] == 'curio.kernel'
    assert line['text'].startswith('Task Crash')
