"""Check that ``core`` and ``decisions`` import only allowed modules.

These packages must not do I/O, encode messages, start threads or read the
system's time. Decisions therefore stay apart from the encoding of messages,
and another front end can use them.

The modules of the two packages may import each other, ``errors``, ``clock``,
the libraries in ``ALLOWED_LIBRARIES`` and every standard module that is not
in ``FORBIDDEN_STANDARD_MODULES``.
"""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'src' / 'gentianspoke'
CHECKED_FOLDERS = ('core', 'decisions')
ALLOWED_OWN_PACKAGES = ('gentianspoke.core', 'gentianspoke.decisions')
ALLOWED_OWN_MODULES = ('gentianspoke.errors', 'gentianspoke.clock')
ALLOWED_LIBRARIES = ('transitions', 'xxhash')
FORBIDDEN_STANDARD_MODULES = frozenset(
    {'asyncio', 'socket', 'selectors', 'ssl', 'threading', 'time', 'os'}
    | {'subprocess', 'json', 'pickle', 'io', 'http', 'signal', 'pathlib'}
)


def list_imported_names(tree: ast.AST) -> list[str]:
    """Return the dotted names of everything that ``tree`` imports."""
    names: list[str] = []
    for node in ast.walk(tree):
        match node:
            case ast.Import(names=aliases):
                names.extend(alias.name for alias in aliases)
            case ast.ImportFrom(module=str(module), names=aliases):
                names.extend(f'{module}.{alias.name}' for alias in aliases)
    return names


def is_allowed_import(name: str) -> bool:
    """Return whether ``core`` and ``decisions`` may import ``name``."""
    top_level_package = name.split('.')[0]
    if top_level_package == 'gentianspoke':
        return name.startswith(ALLOWED_OWN_PACKAGES + ALLOWED_OWN_MODULES)
    if top_level_package in ALLOWED_LIBRARIES:
        return True
    return (
        top_level_package in sys.stdlib_module_names
        and top_level_package not in FORBIDDEN_STANDARD_MODULES
    )


def main() -> int:
    """Print each forbidden import; return 1 if there is any, else 0."""
    violation_count = 0
    for folder in CHECKED_FOLDERS:
        for path in sorted((PACKAGE / folder).rglob('*.py')):
            for name in list_imported_names(ast.parse(path.read_text())):
                if not is_allowed_import(name):
                    violation_count += 1
                    relative_path = path.relative_to(ROOT)
                    print(
                        f'{relative_path}: imports {name};'
                        ' move the import to gentianspoke.shells'
                    )
    return 1 if violation_count else 0


if __name__ == '__main__':
    sys.exit(main())
