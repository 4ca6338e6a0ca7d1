"""Mark the tests that KNOWN-RED.txt lists as expected failures.

The file names a test by its pytest id, in a line that starts with ``test: ``
or with ``flaky: ``. A listed test is run, but its failure does not fail the
run. If it passes, the run fails for ``test: ``, so that the entry is removed,
but not for ``flaky: ``, which lists a test that fails in some runs only.
"""

import pathlib

import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
ALWAYS_FAILS_PREFIX = 'test: '
SOMETIMES_FAILS_PREFIX = 'flaky: '


def read_listed_ids(prefix):
    """Return the pytest ids in the lines that start with ``prefix``."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [line[len(prefix) :] for line in lines if line.startswith(prefix)]


def pytest_collection_modifyitems(items):
    """Mark each listed test as an expected failure."""
    for prefix in (ALWAYS_FAILS_PREFIX, SOMETIMES_FAILS_PREFIX):
        mark = pytest.mark.xfail(
            strict=prefix == ALWAYS_FAILS_PREFIX,
            reason='listed in KNOWN-RED.txt',
        )
        listed_ids = set(read_listed_ids(prefix))
        for item in items:
            if item.nodeid in listed_ids:
                item.add_marker(mark)


def get_first_error_line(report):
    """Return the first line of a test's error, empty if it has none."""
    crash = getattr(report.longrepr, 'reprcrash', None)
    return crash.message.partition('\n')[0] if crash else ''


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests with the outcome and the error of each."""
    outcomes = {
        report.nodeid: f'{outcome} {get_first_error_line(report)}'
        for outcome in ('xfailed', 'xpassed', 'failed')
        for report in terminalreporter.getreports(outcome)
    }
    for prefix in (ALWAYS_FAILS_PREFIX, SOMETIMES_FAILS_PREFIX):
        for test_id in read_listed_ids(prefix):
            outcome = outcomes.get(test_id, 'not run')
            terminalreporter.write_line(f'known red: {test_id} {outcome}')
