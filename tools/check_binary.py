"""Check that the single-file program runs as exactly one process.

Run ``python tools/check_binary.py PROGRAM``. The check starts the program as
an entry in a new session, waits for the first event in its log, counts the
processes of that session and stops the program with SIGTERM.
"""

import contextlib
import pathlib
import secrets
import subprocess
import sys
import tempfile
import time

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
# Index of the session id among the fields of /proc/PID/stat that follow the
# command name.
SESSION_FIELD_INDEX = 3
LISTEN_PORT = 34980


def write_settings(folder: pathlib.Path) -> pathlib.Path:
    """Write the settings of an entry and return the path of the file.

    The settings name a feed address at which no control instance listens.
    """
    key_path = folder / 'keys.yaml'
    key_path.touch(mode=0o600)
    key_text = (
        f'active: 1\nkeys: [{{id: 1, hex: "{secrets.token_hex(32)}"}}]\n'
    )
    key_path.write_text(key_text)
    settings_path = folder / 'entry.yaml'
    settings_path.write_text(
        'instance: entry-0\n'
        'zone: zone-a\n'
        f'key_file: {key_path}\n'
        f'log_file: {folder / "entry-0.jsonl"}\n'
        f'feeds: ["127.0.0.1:{LISTEN_PORT + 1}"]\n'
        f'entry: {{listen: "127.0.0.1:{LISTEN_PORT}"}}\n'
    )
    return settings_path


def list_session_processes(session_id: int) -> list[int]:
    """Return the ids of a session's processes, read from ``/proc``."""
    pids: list[int] = []
    for stat_path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        with contextlib.suppress(OSError):
            # The command name, in parentheses, may contain spaces.
            fields = stat_path.read_text().rpartition(')')[2].split()
            if int(fields[SESSION_FIELD_INDEX]) == session_id:
                pids.append(int(stat_path.parent.name))
    return pids


def wait_for_event(log_path: pathlib.Path) -> bool:
    """Wait for the program's first event; return whether it came in time.

    The time limit is ``START_TIMEOUT_S``. ``log_path`` is the path of the
    program's log file.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if log_path.is_file() and 'process-syncing' in log_path.read_text():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def main() -> int:
    """Print the number of processes and return the exit status.

    The status is 0 if the program wrote its first event in time, ran as a
    single process and exited with status 0 after SIGTERM; it is 1 otherwise.
    """
    program = sys.argv[1]
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        settings_path = write_settings(folder)
        started_at_s = time.monotonic()
        process = subprocess.Popen(
            [program, 'entry', str(settings_path)], start_new_session=True
        )
        try:
            wrote_event = wait_for_event(folder / 'entry-0.jsonl')
            startup_s = time.monotonic() - started_at_s
            pids = list_session_processes(process.pid)
        finally:
            process.terminate()
            exit_status = process.wait(STOP_TIMEOUT_S)
    print(
        f'{program}: number of processes: {len(pids)}; waited'
        f' {startup_s:.1f} s for the first event; exit status {exit_status}'
        ' after SIGTERM'
    )
    return (
        0 if wrote_event and pids == [process.pid] and not exit_status else 1
    )


if __name__ == '__main__':
    sys.exit(main())
