"""Test that a cell fails if a mechanism of the data path is disabled."""

import pytest

from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import known_flows
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import silence
from tests.matrix import cells

CELLS_BY_NAME = {cell.name: cell for cell in cells.CELLS}


def return_none(*args):
    return None


def return_empty_list(*args):
    return []


@pytest.mark.parametrize(
    ('module', 'name', 'replacement', 'cell'),
    [
        (
            ownership,
            'find_next_member_to_ask',
            return_none,
            'place: packet lost + drain',
        ),
        (
            adoption,
            '_find_next_recovering',
            return_none,
            'answer: agent restarts',
        ),
        (
            known_flows,
            'decide_known_opening',
            return_none,
            'wait: entry stops',
        ),
        (
            known_flows,
            '_update_diversion',
            return_none,
            'wait: agent restarts',
        ),
        (
            silence,
            'check_caller_retransmissions',
            return_empty_list,
            'forward: upstream ignores flow',
        ),
    ],
)
def test_cell_fails_without_the_mechanism(
    monkeypatch, module, name, replacement, cell
):
    assert cells.run(CELLS_BY_NAME[cell]).violations == []
    monkeypatch.setattr(module, name, replacement)
    assert cells.run(CELLS_BY_NAME[cell]).violations
