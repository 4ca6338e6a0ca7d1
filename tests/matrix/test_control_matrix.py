"""Test every guarantee of control under every fault at every step."""

import pytest

from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import elections
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke import errors
from gentianspoke.storage import replica_store
from tests.matrix import control_cells as cells
from tests.matrix import page

APPLICABLE = [cell for cell in cells.CELLS if not cell.exclusion_reason]
EXCLUDED = [cell for cell in cells.CELLS if cell.exclusion_reason]
ROWS = frozenset(page.PATH.read_text().splitlines())


@pytest.mark.parametrize('cell', APPLICABLE, ids=lambda cell: cell.name)
def test_every_guarantee_of_control_holds_under_the_faults(cell):
    outcome = cells.run(cell)
    assert outcome.faults_injected
    assert (
        page.format_row(cell, outcome) in ROWS
    ), 'stale page: run "make matrix"'
    assert outcome.violations == []


def test_page_lists_the_excluded_cells():
    assert {page.format_row(cell, None) for cell in EXCLUDED} <= ROWS


def return_highest_value(self, values, absent):
    """Return the highest value, which perhaps only one voter has."""
    voter_values = [values.get(item.number, absent) for item in self.voters]
    return max(voter_values, default=absent)


def return_no_answer(self, idempotency_key):
    """Return no answer to an earlier request."""
    return None


def save_nothing(self, entry):
    """Save nothing."""


def accept_every_log(state, request):
    """Treat the log of every candidate as up to date."""
    return True


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (groups.Group, 'get_majority_value', return_highest_value),
        (catalogue.Catalogue, 'known_answer', return_no_answer),
        (replica_store.ReplicaStore, 'save', save_nothing),
        (elections, '_has_current_log', accept_every_log),
    ],
)
def test_some_cell_fails_without_the_mechanism(
    monkeypatch, target, name, replacement
):
    monkeypatch.setattr(target, name, replacement)
    assert any(has_failure(cell) for cell in APPLICABLE)


def has_failure(cell):
    """Return whether a cell violates a guarantee or fails a check."""
    try:
        return bool(cells.run(cell).violations)
    except (AssertionError, errors.StorageError):
        return True
