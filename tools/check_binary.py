"""Check that the one-file program runs as exactly one process.

Run ``python tools/check_binary.py PROGRAM``. The program is started as an
entry in a session of its own; once it has written its first event, the
processes of that session are counted, and it is stopped as planned.
"""

import contextlib
import pathlib
import secrets
import subprocess
import sys
import tempfile
import time

START_AT_MOST_S = 60.0
STOP_AT_MOST_S = 15.0
POLL_S = 0.1
SESSION_FIELD = 3
PORT = 34980


def write_settings(folder: pathlib.Path) -> pathlib.Path:
    """Write settings of an entry without control; return their path."""
    keys = folder / 'keys.yaml'
    keys.touch(mode=0o600)
    text = f'active: 1\nkeys: [{{id: 1, hex: "{secrets.token_hex(32)}"}}]\n'
    keys.write_text(text)
    settings = folder / 'entry.yaml'
    settings.write_text(
        'instance: entry-0\n'
        'zone: zone-a\n'
        f'key_file: {keys}\n'
        f'log_file: {folder / "entry-0.jsonl"}\n'
        f'feeds: ["127.0.0.1:{PORT + 1}"]\n'
        f'entry: {{listen: "127.0.0.1:{PORT}"}}\n'
    )
    return settings


def session_processes(session: int) -> list[int]:
    """Return the processes of a session, from Linux's ``/proc``."""
    found: list[int] = []
    for path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        with contextlib.suppress(OSError):
            # The command, in brackets, may hold spaces.
            fields = path.read_text().rpartition(')')[2].split()
            if int(fields[SESSION_FIELD]) == session:
                found.append(int(path.parent.name))
    return found


def wait_for_event(log: pathlib.Path) -> bool:
    """Return whether the program wrote an event in time."""
    deadline = time.monotonic() + START_AT_MOST_S
    while time.monotonic() < deadline:
        if log.is_file() and 'process-syncing' in log.read_text():
            return True
        time.sleep(POLL_S)
    return False


def main() -> int:
    """Print the count and return 0 where it is one."""
    program = sys.argv[1]
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        settings = write_settings(folder)
        started = time.monotonic()
        running = subprocess.Popen(
            [program, 'entry', str(settings)], start_new_session=True
        )
        try:
            is_up = wait_for_event(folder / 'entry-0.jsonl')
            took_s = time.monotonic() - started
            processes = session_processes(running.pid)
        finally:
            running.terminate()
            status = running.wait(STOP_AT_MOST_S)
    print(
        f'{program}: {len(processes)} process, up after {took_s:.1f} s,'
        f' status {status} after SIGTERM'
    )
    return 0 if is_up and processes == [running.pid] and not status else 1


if __name__ == '__main__':
    sys.exit(main())
