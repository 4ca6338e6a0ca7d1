"""Test that the examples on the page ``docs/embedding.md`` run."""

import pathlib
import re

import pytest

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'embedding.md'
BLOCKS = re.findall(r'```python\n(.*?)```', PAGE.read_text(), re.DOTALL)


@pytest.mark.parametrize('block', BLOCKS)
def test_the_example_runs_as_written(block):
    exec(compile(block, str(PAGE), 'exec'), {})


def test_the_page_has_an_example():
    assert BLOCKS
