"""The text of the page ``docs/fault-matrix.md``."""

import pathlib

PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'fault-matrix.md'
HEAD = """# Fault matrix

Written by `make matrix`; `make test` fails where it is stale. Each row is a
run of the production decisions (entry instances, agents, leader's membership)
with callers and upstreams that use TCP, on a simulated clock. Every cell
checks that its faults were injected, that no request ran twice, that no
refused request ran, that each caller got the answer to its own request, that
no packet reached another service, that a new flow works afterwards, that a
draining upstream got no new flow after 5 s, and how the flow ended. "opening"
is an opening that got no answer: its outcome is unknown, and its caller's TCP
gives up. The second table covers the control group. `tests/storage` tests a
power failure at every operation on a file, and `tests/replica` tests single
steps.

## Flows

| Step | Faults | End of the flow | Violated guarantees |
| --- | --- | --- | --- |
"""
CONTROL_HEAD = """
## Control

Each row is a run of three replicas, whose storage injects disk faults, and of
an operator who repeats an edit until it is answered. Every cell checks that
its faults were injected, that each idempotency key has one answer, which every
voter knows in the end, that one of two edits of the same version is accepted,
that the members agree, and that a new edit is accepted afterwards. If a member
is replaced, the cell also checks that the new member is a voter in the end.

| Step | Faults | Answer to the edit | Violated guarantees |
| --- | --- | --- | --- |
"""


def format_row(cell, outcome):
    """Return the table row of a cell.

    ``outcome`` is ``None`` for a cell that is left out.
    """
    names = ' and '.join(fault.name for fault in cell.faults)
    if outcome is None:
        return (
            f'| {cell.step} | {names} | does not apply'
            f' | {cell.exclusion_reason} |'
        )
    violations = '; '.join(outcome.violations) or 'none'
    return f'| {cell.step} | {names} | {outcome.end} | {violations} |'
