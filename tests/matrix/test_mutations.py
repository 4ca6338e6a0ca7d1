"""Without a mechanism of the data path, a cell of the matrix fails."""

import pytest

from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import known
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import silence
from tests.matrix import cells

BY_NAME = {cell.name: cell for cell in cells.CELLS}


def nothing(*args):
    return None


def empty(*args):
    return []


@pytest.mark.parametrize(
    ('module', 'name', 'without', 'cell'),
    [
        (ownership, 'next_on_trail', nothing, 'place: packet lost + drain'),
        (adoption, '_next_recovering', nothing, 'answer: agent restarts'),
        (known, 'decide_known', nothing, 'wait: entry dies'),
        (known, '_renew', nothing, 'wait: agent restarts'),
        (silence, 'check_up', empty, 'forward: flow silent'),
    ],
)
def test_a_cell_fails_without_the_mechanism(
    monkeypatch, module, name, without, cell
):
    assert cells.run(BY_NAME[cell]).violations == []
    monkeypatch.setattr(module, name, without)
    assert cells.run(BY_NAME[cell]).violations
