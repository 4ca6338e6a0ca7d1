"""Reading a YAML file into a generated model, with one-line errors."""

import pathlib
import typing

import pydantic
import yaml

from gentianspoke import errors

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)

REMEDIES = {
    'missing': 'missing; add it',
    'extra_forbidden': 'unknown key; remove it or correct its name',
}


def load(
    path: str,
    model: type[Model],
    error: type[errors.SettingsError] = errors.SettingsError,
) -> Model:
    """Return the file at ``path`` as a checked model.

    Raises ``error``, naming file, key and remedy, where the file cannot
    be read, is no YAML, or does not match the schema.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8 text'
        raise error(
            path, '', f'cannot be read ({reason}); check path and rights'
        ) from exc
    try:
        content = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise error(path, _yaml_place(exc), 'not valid YAML here') from exc
    if not isinstance(content, dict):
        raise error(path, '', 'must be a mapping of keys to values')
    try:
        return model.model_validate(content)
    except pydantic.ValidationError as exc:
        key, remedy = first_fault(exc)
        raise error(path, key, remedy) from exc


def first_fault(exc: pydantic.ValidationError) -> tuple[str, str]:
    """Return the key and the remedy of the first fault found."""
    fault = exc.errors()[0]
    key = '.'.join(str(part) for part in fault['loc'] if part not in ('root',))
    remedy = REMEDIES.get(fault['type'])
    if remedy is None and fault['type'] == 'string_pattern_mismatch':
        remedy = _pattern_remedy(str(fault['input']), fault['ctx']['pattern'])
    return key, remedy or f'{fault["msg"]}; got {fault["input"]!r}'


def _pattern_remedy(value: str, pattern: str) -> str:
    if '(ms|s|m|h)' in pattern:
        return (
            f'{value!r} is no duration; write a whole number with its unit,'
            ' ms, s, m or h, such as 250ms'
        )
    if ':[0-9]' in pattern:
        return (
            f'{value!r} is no address; write an IP number and a port, such'
            ' as 127.0.0.1:7000'
        )
    return (
        f'{value!r} is no name; use small letters, digits and hyphens, at'
        ' most 63 of them'
    )


def _yaml_place(exc: yaml.YAMLError) -> str:
    mark = getattr(exc, 'problem_mark', None)
    return f'line {mark.line + 1}' if mark is not None else ''
