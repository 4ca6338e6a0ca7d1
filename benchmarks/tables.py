"""Write result tables with their command and the number of CPU cores."""

import os
import pathlib

RESULTS_FOLDER = pathlib.Path(__file__).parent / 'results'


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
        _format_row(header),
        _format_row(['---'] * len(header)),
        *(_format_row(row) for row in rows),
    ]
    text = '\n'.join(lines) + '\n'
    RESULTS_FOLDER.mkdir(exist_ok=True)
    (RESULTS_FOLDER / f'{name}.md').write_text(text)
    print(text)


def _format_row(cells: list[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'
