"""The fault matrix as a page."""

import pathlib

PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'fault-matrix.md'
HEAD = """# Fault matrix

Written by `make matrix`; `make test` fails where it is stale. Each row is a
run of the real decisions (entry, agents, leader's membership) with a caller
and upstreams that speak TCP, on the project's clock. Every cell checks that
its faults happened, that nothing ran twice, that nothing refused had run, that
each caller got the answer to its own request, that no packet reached another
service, that a new flow works afterwards, that a draining upstream got no new
work after 5 s, and how the flow ended. "opening" is an opening that stayed
without an answer: its outcome is unknown, and its caller's TCP gives up.
The second table is of control; `tests/storage` has one more, of a power
failure at every operation on a file, and `tests/replica` of single steps.

## Flows

| Step | Faults | End of the flow | Promises broken |
| --- | --- | --- | --- |
"""
CONTROL_HEAD = """
## Control

Each row is a run of three replicas and their storage on a faulty folder, with
an operator who sends an edit again until it is answered. Every cell checks
that its faults happened, that each key has one answer, which every voter
knows in the end, that one edit wins on one version, that members agree, that
a new edit is accepted afterwards, and where a member is replaced, that the
new one votes in the end.

| Step | Faults | Answer to the edit | Promises broken |
| --- | --- | --- | --- |
"""


def row(cell, outcome):
    """Return the line of a cell; ``outcome`` is None where it is left out."""
    names = ' and '.join(fault.name for fault in cell.faults)
    if outcome is None:
        return (
            f'| {cell.step} | {names} | does not apply'
            f' | {cell.exclusion_reason} |'
        )
    violations = '; '.join(outcome.violations) or 'none'
    return f'| {cell.step} | {names} | {outcome.end} | {violations} |'
