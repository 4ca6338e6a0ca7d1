"""Every promise holds under every fault at every step."""

import pytest

from tests.matrix import cells
from tests.matrix import page

APPLYING = [cell for cell in cells.CELLS if not cell.why_not]
LEFT_OUT = [cell for cell in cells.CELLS if cell.why_not]
ROWS = frozenset(page.PATH.read_text().splitlines())


@pytest.mark.parametrize('cell', APPLYING, ids=lambda cell: cell.name)
def test_every_promise_holds(cell):
    outcome = cells.run(cell)
    assert outcome.reached
    assert page.row(cell, outcome) in ROWS, 'stale page: run "make matrix"'
    assert outcome.broken == []


def test_the_page_names_the_cells_that_do_not_apply():
    assert {page.row(cell, None) for cell in LEFT_OUT} <= ROWS


def test_a_fault_that_does_not_happen_is_noticed():
    cell = cells.Cell('never', cells.FAULTS[:1])
    assert not cells.run(cell).reached
