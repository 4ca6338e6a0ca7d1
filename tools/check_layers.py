"""Check that decisions and core types import no socket, codec or asyncio."""

import ast
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'src' / 'gentianspoke'
PURE_FOLDERS = ('core', 'decisions')
ALLOWED_OWN = ('gentianspoke.core', 'gentianspoke.decisions')
ALLOWED_OWN_MODULES = ('gentianspoke.errors', 'gentianspoke.clock')
ALLOWED_LIBRARIES = ('transitions', 'xxhash')
FORBIDDEN_STANDARD = frozenset(
    {'asyncio', 'socket', 'selectors', 'ssl', 'threading', 'time', 'os'}
    | {'subprocess', 'json', 'pickle', 'io', 'http', 'signal', 'pathlib'}
)


def imported_names(tree: ast.AST) -> list[str]:
    """Return the full names of all modules that ``tree`` imports."""
    names: list[str] = []
    for node in ast.walk(tree):
        match node:
            case ast.Import(names=aliases):
                names.extend(alias.name for alias in aliases)
            case ast.ImportFrom(module=str(module), names=aliases):
                names.extend(f'{module}.{alias.name}' for alias in aliases)
    return names


def is_allowed(name: str) -> bool:
    """Return whether a pure module may import ``name``."""
    top = name.split('.')[0]
    if top == 'gentianspoke':
        return name.startswith(ALLOWED_OWN + ALLOWED_OWN_MODULES)
    if top in ALLOWED_LIBRARIES:
        return True
    return top in sys.stdlib_module_names and top not in FORBIDDEN_STANDARD


def main() -> int:
    """Print each forbidden import and return 1 where there is one."""
    faults = 0
    for folder in PURE_FOLDERS:
        for path in sorted((PACKAGE / folder).rglob('*.py')):
            for name in imported_names(ast.parse(path.read_text())):
                if not is_allowed(name):
                    faults += 1
                    where = path.relative_to(ROOT)
                    print(f'{where}: imports {name}; keep it in a shell')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
