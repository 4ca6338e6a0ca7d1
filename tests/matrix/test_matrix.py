"""Test every guarantee for flows under every fault at every step."""

import pytest

from tests.matrix import cells
from tests.matrix import page

APPLICABLE = [cell for cell in cells.CELLS if not cell.exclusion_reason]
EXCLUDED = [cell for cell in cells.CELLS if cell.exclusion_reason]
ROWS = frozenset(page.PATH.read_text().splitlines())


@pytest.mark.parametrize('cell', APPLICABLE, ids=lambda cell: cell.name)
def test_every_guarantee_for_flows_holds_under_the_faults(cell):
    outcome = cells.run(cell)
    assert outcome.faults_injected
    assert (
        page.format_row(cell, outcome) in ROWS
    ), 'stale page: run "make matrix"'
    assert outcome.violations == []


def test_page_lists_the_excluded_cells():
    assert {page.format_row(cell, None) for cell in EXCLUDED} <= ROWS


def test_fault_that_is_not_injected_is_detected():
    cell = cells.Cell('never', cells.FAULTS[:1])
    assert not cells.run(cell).faults_injected
