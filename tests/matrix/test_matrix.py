"""Every promise holds under every fault at every step."""

import pytest

from tests.matrix import cells
from tests.matrix import page

APPLICABLE = [cell for cell in cells.CELLS if not cell.exclusion_reason]
EXCLUDED = [cell for cell in cells.CELLS if cell.exclusion_reason]
ROWS = frozenset(page.PATH.read_text().splitlines())


@pytest.mark.parametrize('cell', APPLICABLE, ids=lambda cell: cell.name)
def test_every_promise_holds(cell):
    outcome = cells.run(cell)
    assert outcome.faults_injected
    assert page.row(cell, outcome) in ROWS, 'stale page: run "make matrix"'
    assert outcome.violations == []


def test_the_page_names_the_cells_that_do_not_apply():
    assert {page.row(cell, None) for cell in EXCLUDED} <= ROWS


def test_a_fault_that_does_not_happen_is_noticed():
    cell = cells.Cell('never', cells.FAULTS[:1])
    assert not cells.run(cell).faults_injected
