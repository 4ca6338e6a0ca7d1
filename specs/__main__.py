"""Check all specifications at the larger bounds: ``make model``."""

import collections.abc
import sys

from specs import catalogue_cases
from specs import checking
from specs import fresh_start
from specs import handover_cases


def print_proofs(results: collections.abc.Iterable[checking.Result]) -> int:
    """Print the results; return how many do not hold in all states."""
    faults = 0
    for result in results:
        print(result.describe(), flush=True)
        faults += not result.exhaustive or bool(result.violated)
    return faults


def print_seed(text: str, result: checking.Result) -> int:
    """Print the trace of a seeded mistake; return 1 if it has none."""
    print(f'{text}: {result.describe()}', flush=True)
    for number, label in enumerate(result.trace, start=1):
        print(f'  {number}. {label}', flush=True)
    return 0 if result.violated else 1


def main() -> int:
    """Print all results; return 1 if any differs from what is expected."""
    faults = 0
    for seed in handover_cases.SEEDS:
        faults += print_seed(seed.mistake.value, handover_cases.find(seed))
    for mistake in catalogue_cases.MISTAKES:
        faults += print_seed(mistake.value, catalogue_cases.find(mistake))
    for seeded in fresh_start.Mistake:
        wrong = fresh_start.FreshStart(mistake=seeded)
        found = checking.find_violation(wrong, catalogue_cases.MAX_STATES)
        faults += print_seed(seeded.value, found)
    right = fresh_start.FreshStart()
    faults += print_proofs([checking.check(right, catalogue_cases.MAX_STATES)])
    logs = (*catalogue_cases.SMALL.values(), *catalogue_cases.LARGE.values())
    faults += print_proofs(map(catalogue_cases.prove, logs))
    bounds = handover_cases.SMALL + handover_cases.LARGE
    faults += print_proofs(map(handover_cases.prove, bounds))
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
