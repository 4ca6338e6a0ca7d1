"""The operators' page explains every reason that the code counts."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent.parent
SOURCE = ROOT / 'src' / 'gentianspoke'
PAGE = ROOT / 'docs' / 'operators' / 'packets-dropped.md'
CALLS = {'Drop': 0, 'PacketError': 0, 'Refuse': 1}
MODULES = (
    *sorted((SOURCE / 'decisions' / 'agent').glob('*.py')),
    SOURCE / 'decisions' / 'routing.py',
    SOURCE / 'codec' / 'ip.py',
    SOURCE / 'codec' / 'frame.py',
    SOURCE / 'codec' / 'keys.py',
)


def reasons(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, 'attr', '')
        position = CALLS.get(name)
        if position is None or len(node.args) <= position:
            continue
        argument = node.args[position]
        if isinstance(argument, ast.Constant):
            yield argument.value


FOUND = sorted({reason for path in MODULES for reason in reasons(path)})


def test_the_reasons_are_found():
    assert len(FOUND) > 30


@pytest.mark.parametrize('reason', FOUND)
def test_each_reason_is_explained(reason):
    assert f'`{reason}`' in PAGE.read_text()
