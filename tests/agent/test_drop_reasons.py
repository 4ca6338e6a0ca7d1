"""The operators' page explains each reason for a drop or a refusal."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent.parent
SOURCE = ROOT / 'src' / 'gentianspoke'
PAGE = ROOT / 'docs' / 'operators' / 'packets-dropped.md'
# The position of the reason among the arguments of each call.
REASON_POSITIONS = {'Drop': 0, 'PacketError': 0, 'Refuse': 1}
MODULES = (
    *sorted((SOURCE / 'decisions' / 'agent').glob('*.py')),
    SOURCE / 'decisions' / 'routing.py',
    SOURCE / 'codec' / 'ip.py',
    SOURCE / 'codec' / 'frame.py',
    SOURCE / 'codec' / 'inquiry_body.py',
    SOURCE / 'codec' / 'keys.py',
)


def find_reasons(path):
    """Yield the reasons that a module passes as constants."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, 'attr', '')
        position = REASON_POSITIONS.get(name)
        if position is None or len(node.args) <= position:
            continue
        argument = node.args[position]
        if isinstance(argument, ast.Constant):
            yield argument.value


FOUND_REASONS = sorted(
    {reason for path in MODULES for reason in find_reasons(path)}
)


def test_the_search_finds_the_reasons_in_the_code():
    # If the search found nothing, the test below would have no cases.
    assert len(FOUND_REASONS) > 30


@pytest.mark.parametrize('reason', FOUND_REASONS)
def test_the_operators_page_explains_each_reason(reason):
    assert f'`{reason}`' in PAGE.read_text()
