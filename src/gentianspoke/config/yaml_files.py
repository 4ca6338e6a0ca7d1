"""Reading of YAML files into generated models, with one-line errors."""

import json
import pathlib
import typing

import pydantic
import yaml

from gentianspoke.config import remedies
from gentianspoke import errors

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)

MAX_FILE_BYTES = 64 * 1024 * 1024


class _StrictLoader(yaml.SafeLoader):
    """A loader that refuses aliases and repeated keys."""

    def compose_node(
        self, parent: yaml.Node | None, index: int
    ) -> yaml.Node | None:
        """Return the next node, or raise an error for an alias.

        A small file with nested aliases can expand to any size.
        """
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(
                problem='aliases are not allowed; write the value itself',
                problem_mark=mark,
            )
        return super().compose_node(parent, index)

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        """Return a mapping, or raise an error for a repeated key.

        PyYAML would silently use the last value.
        """
        seen_keys: set[str] = set()
        for key_node, _ in node.value:
            if key_node.value in seen_keys:
                raise yaml.constructor.ConstructorError(
                    problem=(
                        f'key {key_node.value!r} is given twice; remove one'
                    ),
                    problem_mark=key_node.start_mark,
                )
            seen_keys.add(key_node.value)
        return super().construct_mapping(node, deep)


def load(
    path: str,
    model_class: type[Model],
    error_class: type[errors.SettingsError] = errors.SettingsError,
) -> Model:
    """Return the content of the file at ``path`` as a checked model.

    Raises an ``error_class``, which names file, key and remedy, if the file
    cannot be read, is not valid YAML, or does not match the schema.
    """
    content = _parse(path, _read(path, error_class), error_class)
    if not isinstance(content, dict):
        raise error_class(path, '', 'must be a mapping of keys to values')
    try:
        # Strict validation of JSON rejects text and booleans where a number is
        # required, instead of converting them. YAML types that JSON lacks,
        # such as dates, become text here.
        text = json.dumps(content, default=str)
        return model_class.model_validate_json(text, strict=True)
    except pydantic.ValidationError as exc:
        key, remedy = remedies.describe_first_error(exc)
        raise error_class(path, key, remedy) from exc


def _read(path: str, error_class: type[errors.SettingsError]) -> str:
    try:
        with pathlib.Path(path).open('rb') as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise error_class(
                path,
                '',
                f'is larger than {MAX_FILE_BYTES} bytes; split it',
            )
        return content.decode()
    except (OSError, UnicodeDecodeError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8 text'
        raise error_class(
            path, '', f'cannot be read ({reason}); check path and rights'
        ) from exc


def _parse(
    path: str, text: str, error_class: type[errors.SettingsError]
) -> typing.Any:
    try:
        return yaml.load(text, _StrictLoader)  # noqa: S506
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        location = f'line {mark.line + 1}' if mark is not None else ''
        problem = exc.problem or 'syntax error'
        raise error_class(
            path, location, f'not valid YAML here: {problem}'
        ) from exc
    except yaml.YAMLError as exc:
        raise error_class(
            path, '', 'holds characters that YAML does not allow; remove them'
        ) from exc
    except RecursionError as exc:
        raise error_class(
            path, '', 'is nested too deeply; flatten it'
        ) from exc
    except ValueError as exc:
        # PyYAML raises ValueError for text such as 2026-13-45, which has the
        # form of a date but is not one.
        raise error_class(path, '', f'holds {exc}; put it in quotes') from exc
