"""Run every cell and write the page; ``make matrix`` runs this module."""

from tests.matrix import cells
from tests.matrix import control_cells
from tests.matrix import page


def main():
    """Write ``docs/fault-matrix.md``."""
    flow_rows = render_rows(cells.CELLS, cells.run)
    control_rows = render_rows(control_cells.CELLS, control_cells.run)
    page.PATH.write_text(
        page.HEAD + flow_rows + page.CONTROL_HEAD + control_rows
    )
    row_count = len(cells.CELLS) + len(control_cells.CELLS)
    print(f'{row_count} rows in {page.PATH.name}')


def render_rows(table, run):
    """Return the rows of a table of cells, one on each line."""
    lines = [
        page.format_row(cell, None if cell.exclusion_reason else run(cell))
        for cell in table
    ]
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    main()
