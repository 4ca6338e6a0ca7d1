"""Mark the tests that KNOWN-RED.txt lists as expected failures.

A listed test is run, and the run fails if the test passes. The file names it
by its pytest id in a line that starts with ``test: ``.
"""

import pathlib

import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_ID_PREFIX = 'test: '


def known_failures():
    """Return the pytest ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [
        line[len(TEST_ID_PREFIX) :]
        for line in lines
        if line.startswith(TEST_ID_PREFIX)
    ]


def pytest_collection_modifyitems(items):
    """Mark each listed test as an expected failure.

    The mark is strict, so a listed test that passes fails the run.
    """
    listed_ids = set(known_failures())
    for item in items:
        if item.nodeid in listed_ids:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter):
    """Print the ids of the listed tests at the end of the test run."""
    for name in known_failures():
        terminalreporter.write_line(f'known red: {name}')
