"""Check all specifications at the larger bounds: ``make model``."""

import sys

from specs import tables


def main() -> int:
    """Print each verdict; return 1 where one is not as it must be."""
    faults = 0
    for bounds in tables.SMALL + tables.LARGE:
        result = tables.prove(bounds)
        print(result.describe(), bounds, flush=True)
        faults += not result.exhaustive or bool(result.violated)
    for seed in tables.SEEDS:
        result = tables.find(seed)
        print(f'{seed.mistake.value}: {result.describe()}', flush=True)
        for number, label in enumerate(result.trace, start=1):
            print(f'  {number}. {label}', flush=True)
        faults += not result.violated
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
