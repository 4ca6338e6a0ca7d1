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
Storage and replication have tables of their own: `tests/storage` and
`tests/replica`; `docs/proof.md` lists them.

| Step | Faults | End of the flow | Promises broken |
| --- | --- | --- | --- |
"""


def row(cell, outcome):
    """Return the line of a cell; ``outcome`` is None where it is left out."""
    names = ' and '.join(fault.name for fault in cell.faults)
    if outcome is None:
        return f'| {cell.step} | {names} | does not apply | {cell.why_not} |'
    broken = '; '.join(outcome.broken) or 'none'
    return f'| {cell.step} | {names} | {outcome.end} | {broken} |'
