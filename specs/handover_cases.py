"""The bounds and mistakes for checks of the hand-over specification."""

import dataclasses

from specs import checking
from specs import handover

Mistake = handover.Mistake
NO_FAULT = handover.Bounds(
    stale_sources=False, crashes=False, new_leaders=False
)
MAX_STATES = 5_000_000
# The bounds that the test suite searches, which takes about 10 s in total.
SMALL_BOUNDS = (
    dataclasses.replace(handover.Bounds(), view_numbers=2),
    dataclasses.replace(NO_FAULT, view_numbers=2, offers=1),
)
# Further bounds, which only "make model" searches.
LARGE_BOUNDS = (
    dataclasses.replace(NO_FAULT, view_numbers=3),
    dataclasses.replace(NO_FAULT, view_numbers=3, stale_sources=True),
    dataclasses.replace(NO_FAULT, view_numbers=3, crashes=True),
    dataclasses.replace(NO_FAULT, view_numbers=3, new_leaders=True),
    dataclasses.replace(NO_FAULT, view_numbers=2, offers=1, crashes=True),
    dataclasses.replace(NO_FAULT, view_numbers=2, offers=1, new_leaders=True),
    dataclasses.replace(
        NO_FAULT, view_numbers=2, lease_ticks=2, late_replies=True
    ),
)
# Agents 1 and 2 are live members when the search begins.
_SETTLED_MEMBERS = dataclasses.replace(NO_FAULT, settled=(1, 2))
_LEADER_CHANGES = dataclasses.replace(_SETTLED_MEMBERS, new_leaders=True)


@dataclasses.dataclass(frozen=True, slots=True)
class SeededMistake:
    """A mistake and the bounds in which the search must find it.

    ``runs_in_test_suite`` is false where the search takes too long for the
    test suite.
    """

    mistake: Mistake
    bounds: handover.Bounds
    runs_in_test_suite: bool = True


SEEDED_MISTAKES = (
    SeededMistake(Mistake.REMOVAL_BEFORE_LEASE_END, _SETTLED_MEMBERS),
    SeededMistake(Mistake.DRIFT_BEYOND_BOUND, _SETTLED_MEMBERS),
    SeededMistake(
        Mistake.LEASE_FROM_REPLY,
        dataclasses.replace(
            _SETTLED_MEMBERS, lease_ticks=2, late_replies=True
        ),
    ),
    SeededMistake(Mistake.NO_LEASE, _SETTLED_MEMBERS),
    SeededMistake(Mistake.NO_ACKNOWLEDGEMENT, _SETTLED_MEMBERS),
    SeededMistake(Mistake.NEW_LEADER_ISSUES, _LEADER_CHANGES),
    SeededMistake(Mistake.NEW_LEADER_GRANTS, _LEADER_CHANGES),
    SeededMistake(
        Mistake.DEPOSED_LEADER_GRANTS,
        dataclasses.replace(_LEADER_CHANGES, lease_ticks=2, view_numbers=3),
        runs_in_test_suite=False,
    ),
    SeededMistake(Mistake.GRANT_BEFORE_ACK, _SETTLED_MEMBERS),
    SeededMistake(
        Mistake.RESTARTED_MEMBER_ACTS,
        dataclasses.replace(
            NO_FAULT,
            settled=(2,),
            view_numbers=3,
            crashes=True,
            stale_sources=True,
        ),
    ),
    SeededMistake(
        Mistake.OTHERS_NOT_ASKED,
        dataclasses.replace(NO_FAULT, settled=(2,), view_numbers=3, offers=1),
    ),
)


def prove(bounds: handover.Bounds) -> checking.Result:
    """Check the specification without mistakes and return the result.

    The search covers all states within the bounds, but ends after
    ``MAX_STATES`` states. The result says whether it was exhaustive.
    """
    return checking.check(handover.Handover(bounds), MAX_STATES)


def find_violation(case: SeededMistake) -> checking.Result:
    """Search for a violation that the case's mistake causes.

    The trace of the returned result is one of the shortest to a violation.
    """
    specification = handover.Handover(case.bounds, case.mistake)
    return checking.find_violation(specification, MAX_STATES)
