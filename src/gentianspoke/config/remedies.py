"""One-line remedies for values that do not match their schema."""

import typing

import pydantic

MAX_SHOWN_VALUE_CHARS = 60
DURATION_REMEDY = (
    'is not a duration; write a whole number with its unit, ms, s, m or h,'
    ' such as 250ms'
)
ADDRESS_REMEDY = (
    'is not an address; write an IP address and a port, such as 127.0.0.1:7000'
)
NAME_REMEDY = (
    'is not a name; use lower-case letters, digits and hyphens, at most 63 of'
    ' them'
)
HEX_REMEDY = 'is not hexadecimal; write two digits for each byte'


def describe_first_error(exc: pydantic.ValidationError) -> tuple[str, str]:
    """Return the key and the remedy of the first validation error.

    The remedy follows the key in the error message. It says what is wrong
    and how to correct it.
    """
    error = exc.errors(include_url=False)[0]
    key = '.'.join(str(part) for part in error['loc'] if part != 'root')
    value = repr(error['input'])
    if len(value) > MAX_SHOWN_VALUE_CHARS:
        value = value[:MAX_SHOWN_VALUE_CHARS] + '...'
    context = error.get('ctx', {})
    return key, _find_remedy(error['type'], value, context) or error['msg']


def _find_remedy(
    error_type: str, value: str, context: dict[str, typing.Any]
) -> str | None:
    match error_type:
        case 'missing':
            return 'missing; add it'
        case 'extra_forbidden':
            return 'unknown key; remove it or correct its name'
        case 'string_pattern_mismatch':
            return f'{value} {_find_pattern_remedy(context["pattern"])}'
        case 'string_type' if value == 'None':
            return 'has no value; give one or remove the key'
        case 'string_type':
            return (
                f'{value} is not text; put it in quotes, and give a duration'
                ' its unit, such as 250ms'
            )
        case 'int_type' | 'float_type':
            return f'{value} is not a number; write digits without quotes'
        case 'bool_type':
            return f'{value} is neither true nor false; write one of them'
        case 'enum' | 'literal_error':
            return f'{value} is not known; use {context["expected"]}'
        case 'list_type':
            return f'{value} is not a list; write [ITEM, ITEM]'
        case _:
            return _find_remaining_remedy(error_type, value, context)


def _find_remaining_remedy(
    error_type: str, value: str, context: dict[str, typing.Any]
) -> str | None:
    match error_type:
        case 'greater_than_equal':
            return f'{value} is too small; use at least {context["ge"]}'
        case 'less_than_equal':
            return f'{value} is too large; use at most {context["le"]}'
        case 'too_short':
            return f'needs at least {context["min_length"]} items; add one'
        case 'string_too_short':
            return 'is empty; give it a value'
        case 'model_type' | 'dict_type':
            return f'{value} is not a mapping; write keys and values below it'
        case _:
            return None


def _find_pattern_remedy(pattern: str) -> str:
    # Each pattern in the schemas is recognized by a part of it. 'a-fA-F' is
    # also a part of the pattern of an address, so it is looked for last.
    if '(ms|s|m|h)' in pattern:
        return DURATION_REMEDY
    if ':[0-9]' in pattern:
        return ADDRESS_REMEDY
    if 'a-fA-F' in pattern:
        return HEX_REMEDY
    return NAME_REMEDY
