"""Run every cell and write the page: ``make matrix``."""

from tests.matrix import cells
from tests.matrix import page


def main():
    """Write ``docs/fault-matrix.md``."""
    rows = []
    for cell in cells.CELLS:
        outcome = None if cell.why_not else cells.run(cell)
        rows.append(page.row(cell, outcome))
    page.PATH.write_text(page.HEAD + '\n'.join(rows) + '\n')
    print(f'{len(rows)} rows in {page.PATH.name}')


if __name__ == '__main__':
    main()
