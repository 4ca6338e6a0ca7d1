"""Stored methods of data classes are used, and only if they fit."""

import dataclasses
import importlib.util
import marshal

from gentianspoke_platform import dataclass_code
import pytest


def define_point():
    """Define a data class and return it."""

    @dataclasses.dataclass(frozen=True, slots=True)
    class Point:
        x: int
        y: int = 0

    return Point


@pytest.fixture
def stored_path(tmp_path):
    """Return the path of a file with the methods of one data class."""
    path = dataclass_code.find(tmp_path, 'entry')
    with dataclass_code.store(path):
        define_point()
    return path


def count_compilations(monkeypatch, path):
    """Return how many methods are compiled with the file at ``path``."""
    compiled_texts = []

    def count(text, *rest):
        compiled_texts.append(text)
        return compile(text, *rest)

    monkeypatch.setitem(vars(dataclass_code), 'compile', count)
    with dataclass_code.use_stored(path):
        point = define_point()
    assert point(1) == point(1, 0) != point(2)
    assert repr(point(1)).endswith('Point(x=1, y=0)')
    return len(compiled_texts)


@pytest.mark.parametrize(
    ('change', 'compiles'),
    [
        pytest.param(lambda data: data, False, id='as-stored'),
        pytest.param(lambda data: b'', True, id='empty'),
        pytest.param(
            lambda data: b'other-python' + data, True, id='other-python'
        ),
        pytest.param(
            lambda data: importlib.util.MAGIC_NUMBER + marshal.dumps({}),
            True,
            id='other-classes',
        ),
        pytest.param(lambda data: data[:40], True, id='cut-short'),
    ],
)
def test_methods_are_compiled_only_if_they_are_not_stored(
    monkeypatch, stored_path, change, compiles
):
    stored_path.write_bytes(change(stored_path.read_bytes()))
    assert bool(count_compilations(monkeypatch, stored_path)) is compiles


def test_a_checkout_without_a_build_compiles_the_methods(
    monkeypatch, tmp_path
):
    path = dataclass_code.find(tmp_path, 'agent')
    assert count_compilations(monkeypatch, path) > 0


def test_the_standard_library_is_as_before_afterwards(stored_path):
    with dataclass_code.use_stored(stored_path):
        pass
    assert 'exec' not in vars(dataclasses)
