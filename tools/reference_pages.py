"""Write the operators' reference pages from the schemas and the errors.

``docs/operators/settings.md`` is generated from the JSON schemas of the
files that operators write, and ``docs/operators/errors.md`` from
``errors.py``. The pages are committed; ``--check`` reports stale pages.
"""

import ast
import json
import pathlib
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODEL_SCHEMAS = ROOT / 'schema' / 'models'
PAGES_FOLDER = ROOT / 'docs' / 'operators'
ERRORS_MODULE = ROOT / 'src' / 'gentianspoke' / 'errors.py'
SETTINGS_INTRODUCTION = """\
# Settings reference

Generated from the schemas by `make pages`; do not edit. Check a settings file,
and the key file that it names, with `gentianspoke config check FILE`: a fault
gives one line with file, key and remedy, and exit status 2.

All files are YAML. A key that is not listed, a key given twice and an alias
are refused. A key marked *required* must be given.
"""
SCHEMA_FILES = (
    ('settings.json', 'Settings of a process'),
    ('catalogue_file.json', 'Catalogue file'),
    ('key_file.json', 'Key file'),
)
ERRORS_INTRODUCTION = """\
# Errors

Generated from `src/gentianspoke/errors.py` by `make pages`; do not edit. An
error ends a command with one line on standard error. The exit status is 2 for
input that cannot be used (a settings, catalogue, key or log file, or an
option) and 1 for a request that was not carried out. Words in capital letters
stand for what the message names.
"""
Schema = dict[str, typing.Any]


def build_settings_page() -> str:
    """Return the page that describes the files that operators write."""
    sections = [SETTINGS_INTRODUCTION]
    for name, title in SCHEMA_FILES:
        schema = json.loads((MODEL_SCHEMAS / name).read_text())
        sections.append(f'## {title}\n\n{schema["description"]}\n')
        sections.append(_format_table(schema, schema))
        for key, definition in schema['definitions'].items():
            if definition.get('type') == 'object':
                sections.append(f'### {key}\n\n{definition["description"]}\n')
                sections.append(_format_table(definition, schema))
    return '\n'.join(sections)


def _format_table(object_schema: Schema, schema: Schema) -> str:
    """Return a table with one row for each property of ``object_schema``.

    ``schema`` is the whole file's schema, which contains the definitions to
    which the properties refer.
    """
    lines = [
        '| Key | Value | Default | Meaning |',
        '| --- | --- | --- | --- |',
    ]
    required = object_schema.get('required', [])
    for key, property_schema in object_schema['properties'].items():
        default = (
            '*required*'
            if key in required
            else _format_default(property_schema)
        )
        lines.append(
            f'| `{key}` | {_format_value(property_schema, schema)} | {default}'
            f' | {_find_description(property_schema, schema)} |'
        )
    return '\n'.join(lines) + '\n'


def _format_default(property_schema: Schema) -> str:
    if 'default' not in property_schema:
        return 'none'
    value = property_schema['default']
    return f'`{value if isinstance(value, str) else json.dumps(value)}`'


def _format_value(property_schema: Schema, schema: Schema) -> str:
    if '$ref' in property_schema:
        name = property_schema['$ref'].rpartition('/')[2]
        definition = schema['definitions'][name]
        if definition['type'] == 'object':
            return f'[{name}](#{name.lower()})'
        return 'duration' if name == 'Duration' else 'address'
    if 'enum' in property_schema:
        return ', '.join(f'`{value}`' for value in property_schema['enum'])
    match property_schema['type']:
        case 'array':
            return f'list of {_format_value(property_schema["items"], schema)}'
        case 'integer' | 'number':
            return (
                f'{_format_range(property_schema)} ({property_schema["type"]})'
            )
        case 'boolean':
            return '`true` or `false`'
        case _:
            # Among the patterns in the schemas, only those of names contain
            # this character class.
            return (
                'name'
                if '[a-z0-9]' in property_schema.get('pattern', '')
                else 'text'
            )


def _format_range(property_schema: Schema) -> str:
    minimum = property_schema.get('minimum')
    maximum = property_schema.get('maximum')
    if maximum is None:
        return f'{minimum} or more' if minimum is not None else 'any'
    return f'{minimum} to {maximum}'


def _find_description(property_schema: Schema, schema: Schema) -> str:
    if 'description' in property_schema:
        return property_schema['description']
    if '$ref' in property_schema:
        name = property_schema['$ref'].rpartition('/')[2]
        return schema['definitions'][name]['description']
    return ''


def build_errors_page() -> str:
    """Return the page that lists all errors in the order of the source."""
    tree = ast.parse(ERRORS_MODULE.read_text())
    sections = [ERRORS_INTRODUCTION]
    for node in tree.body:
        if isinstance(node, ast.ClassDef):
            sections.append(_format_error_section(node))
    return '\n'.join(sections)


def _format_error_section(node: ast.ClassDef) -> str:
    bases = ', '.join(ast.unparse(base) for base in node.bases)
    text = (
        f'## {node.name}\n\n{ast.get_docstring(node)}\n\nKind of: {bases}.\n'
    )
    message = _find_message(node)
    return f'{text}\n> {message}\n' if message else text


def _find_message(node: ast.ClassDef) -> str:
    for call in ast.walk(node):
        match call:
            case ast.Call(
                func=ast.Attribute(attr='__init__'), args=[argument]
            ):
                return _render_message(argument)
    return ''


def _render_message(node: ast.expr) -> str:
    """Return the text of a string expression in the source.

    Each inserted value is shown by its name in capital letters.
    """
    match node:
        case ast.Constant(value=value):
            return str(value)
        case ast.JoinedStr(values=values):
            return ''.join(_render_message(value) for value in values)
        case ast.FormattedValue(value=value):
            return ast.unparse(value).rpartition('.')[2].upper()
        case _:
            return ''


def main() -> int:
    """Write the pages, or report stale ones with ``--check``.

    Return 1 if ``--check`` finds a stale page, otherwise 0.
    """
    pages = {
        'settings.md': build_settings_page(),
        'errors.md': build_errors_page(),
    }
    stale_count = 0
    for name, text in pages.items():
        path = PAGES_FOLDER / name
        if '--check' not in sys.argv[1:]:
            path.write_text(text)
        elif not path.is_file() or path.read_text() != text:
            stale_count += 1
            print(f'{name}: stale; run "make pages" and commit the result')
    return 1 if stale_count else 0


if __name__ == '__main__':
    sys.exit(main())
