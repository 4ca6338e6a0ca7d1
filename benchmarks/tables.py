"""Write result tables with their command and the number of CPU cores."""

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
    """Write a table to ``benchmarks/results/NAME.md`` and print it."""
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
