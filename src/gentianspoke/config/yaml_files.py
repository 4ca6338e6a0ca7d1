"""Reading a YAML file into a generated model, with one-line errors."""

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
    """A loader that refuses what YAML would silently make of a slip."""

    def compose_node(
        self, parent: yaml.Node | None, index: int
    ) -> yaml.Node | None:
        """Refuse aliases: a few of them make a file of any size."""
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(
                problem='aliases are not used here; write the value out',
                problem_mark=mark,
            )
        return super().compose_node(parent, index)

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        """Refuse a key that stands twice; YAML would take the last."""
        seen: set[str] = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f'key {key.value!r} stands twice; keep one',
                    problem_mark=key.start_mark,
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def load(
    path: str,
    model: type[Model],
    error: type[errors.SettingsError] = errors.SettingsError,
) -> Model:
    """Return the file at ``path`` as a checked model.

    Raises ``error``, naming file, key and remedy, where the file cannot
    be read, is no YAML, or does not match the schema.
    """
    content = _parse(path, _read(path, error), error)
    if not isinstance(content, dict):
        raise error(path, '', 'must be a mapping of keys to values')
    try:
        # Strict checks take JSON's types as they are: text that looks
        # like a number is no number, and true is not 1.
        text = json.dumps(content, default=str)
        return model.model_validate_json(text, strict=True)
    except pydantic.ValidationError as exc:
        key, remedy = remedies.first_error(exc)
        raise error(path, key, remedy) from exc


def _read(path: str, error: type[errors.SettingsError]) -> str:
    try:
        with pathlib.Path(path).open('rb') as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise error(
                path,
                '',
                f'is larger than {MAX_FILE_BYTES} bytes; split it',
            )
        return content.decode()
    except (OSError, UnicodeDecodeError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8 text'
        raise error(
            path, '', f'cannot be read ({reason}); check path and rights'
        ) from exc


def _parse(
    path: str, text: str, error: type[errors.SettingsError]
) -> typing.Any:
    try:
        return yaml.load(text, _StrictLoader)  # noqa: S506
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        location = f'line {mark.line + 1}' if mark is not None else ''
        problem = exc.problem or 'no YAML'
        raise error(path, location, f'not valid YAML here: {problem}') from exc
    except yaml.YAMLError as exc:
        raise error(
            path, '', 'holds characters that YAML does not allow; remove them'
        ) from exc
    except RecursionError as exc:
        raise error(path, '', 'is nested too deeply; flatten it') from exc
    except ValueError as exc:
        # Such as 2026-13-45, which looks like a date and is none.
        raise error(path, '', f'holds {exc}; put it in quotes') from exc
