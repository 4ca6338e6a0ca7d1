"""Check all specifications and find a violation for each seeded mistake.

``make model`` runs this module.
"""

import collections.abc
import sys

from specs import catalogue_cases
from specs import checking
from specs import flow_inquiry
from specs import fresh_start
from specs import handover_cases
from specs import silent_upstream


def print_proofs(results: collections.abc.Iterable[checking.Result]) -> int:
    """Print the results; return how many are not proofs.

    A search that found a violation or ended early proves nothing.
    """
    unexpected_count = 0
    for result in results:
        print(result.describe(), flush=True)
        unexpected_count += not result.exhaustive or bool(result.violated)
    return unexpected_count


def print_mistake(description: str, result: checking.Result) -> int:
    """Print the path to the violation that a mistake causes.

    Return 1 if the search found no violation, and 0 if it found one.
    """
    print(f'{description}: {result.describe()}', flush=True)
    for number, label in enumerate(result.trace, start=1):
        print(f'  {number}. {label}', flush=True)
    return 0 if result.violated else 1


def check_flow_inquiries() -> int:
    """Check both specifications of flows; return how many results differ."""
    unexpected_count = 0
    for mistake, bounds in flow_inquiry.BOUNDS_OF_MISTAKES.items():
        specification = flow_inquiry.FlowInquiry(bounds, mistake)
        result = checking.find_violation(
            specification, catalogue_cases.MAX_STATES
        )
        unexpected_count += print_mistake(mistake.value, result)
    silence = silent_upstream.Mistake.SILENCE
    silent = silent_upstream.SilentUpstream(silent_upstream.OTHER, silence)
    result = checking.find_violation(silent, catalogue_cases.MAX_STATES)
    unexpected_count += print_mistake(silence.value, result)
    bounds_to_prove = flow_inquiry.SMALL_BOUNDS + flow_inquiry.LARGE_BOUNDS
    specifications: list[checking.Specification] = [
        flow_inquiry.FlowInquiry(bounds) for bounds in bounds_to_prove
    ]
    for holder in silent_upstream.HOLDERS:
        specifications.append(silent_upstream.SilentUpstream(holder))
    return unexpected_count + print_proofs(
        checking.check(specification, catalogue_cases.MAX_STATES)
        for specification in specifications
    )


def main() -> int:
    """Print all results; return 1 if any differs from what is expected."""
    unexpected_count = 0
    for case in handover_cases.SEEDED_MISTAKES:
        unexpected_count += print_mistake(
            case.mistake.value, handover_cases.find_violation(case)
        )
    for mistake in catalogue_cases.MISTAKES:
        unexpected_count += print_mistake(
            mistake.value, catalogue_cases.find_violation(mistake)
        )
    for fresh_start_mistake in fresh_start.Mistake:
        specification = fresh_start.FreshStart(mistake=fresh_start_mistake)
        result = checking.find_violation(
            specification, catalogue_cases.MAX_STATES
        )
        unexpected_count += print_mistake(fresh_start_mistake.value, result)
    without_mistake = fresh_start.FreshStart()
    unexpected_count += print_proofs(
        [checking.check(without_mistake, catalogue_cases.MAX_STATES)]
    )
    unexpected_count += check_flow_inquiries()
    log_bounds = (
        *catalogue_cases.SMALL_BOUNDS.values(),
        *catalogue_cases.LARGE_BOUNDS.values(),
    )
    unexpected_count += print_proofs(map(catalogue_cases.prove, log_bounds))
    handover_bounds = handover_cases.SMALL_BOUNDS + handover_cases.LARGE_BOUNDS
    unexpected_count += print_proofs(
        map(handover_cases.prove, handover_bounds)
    )
    return 1 if unexpected_count else 0


if __name__ == '__main__':
    sys.exit(main())
