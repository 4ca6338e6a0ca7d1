"""Small result tables that say which command, seed and machine made them."""

import os
import pathlib

RESULTS = pathlib.Path(__file__).parent / 'results'


def write(
    name: str,
    title: str,
    command: str,
    header: list[str],
    rows: list[list[str]],
) -> None:
    """Write and print a table as ``benchmarks/results/NAME.md``."""
    lines = [
        f'# {title}',
        '',
        f'Command: `{command}`; {os.cpu_count()} cores.',
        '',
        _line(header),
        _line(['---'] * len(header)),
        *(_line(row) for row in rows),
    ]
    text = '\n'.join(lines) + '\n'
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f'{name}.md').write_text(text)
    print(text)


def _line(cells: list[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'
