"""A signal during the start does not end the process.

Guards against the end of a process by the default action of SIGHUP, which the
platform sends when a settings file changes, before the handler is set.
"""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

RUN = pathlib.Path(__file__).resolve().parents[2] / 'platform' / 'run.py'
EXIT_BAD_INPUT = 2
TIMEOUT_S = 30


def wait_until_ignored(pid, number):
    """Return once the process ignores a signal."""
    mask = 1 << (number - 1)
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        (line,) = [
            line for line in status.splitlines() if line.startswith('SigIgn:')
        ]
        if int(line.split()[1], 16) & mask:
            return
        time.sleep(0.01)
    raise TimeoutError


@pytest.mark.skipif(
    not pathlib.Path('/proc/self/status').exists(), reason='needs /proc'
)
def test_a_changed_settings_file_does_not_end_a_starting_process(tmp_path):
    path = tmp_path / 'settings'
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, '-S', RUN, 'check', path],
        stderr=subprocess.DEVNULL,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    try:
        wait_until_ignored(process.pid, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        # The process waits for the content of the file until now.
        path.write_text('no settings')
        assert process.wait(TIMEOUT_S) == EXIT_BAD_INPUT
    finally:
        process.kill()
        process.wait()
