"""What is checked: bounds in which all holds, mistakes that must be found."""

import dataclasses

from specs import checking
from specs import handover

Mistake = handover.Mistake
NO_FAULT = handover.Bounds(
    stale_sources=False, crashes=False, new_leaders=False
)
MAX_STATES = 5_000_000
# Searches of the test suite; all of them together take some 10 s.
SMALL = (
    dataclasses.replace(handover.Bounds(), view_numbers=2),
    dataclasses.replace(NO_FAULT, view_numbers=2, offers=1),
)
LARGE = (
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
_SETTLED_MEMBERS = dataclasses.replace(NO_FAULT, settled=(1, 2))
_LEADER_CHANGES = dataclasses.replace(_SETTLED_MEMBERS, new_leaders=True)


@dataclasses.dataclass(frozen=True, slots=True)
class SeededMistake:
    """A seeded mistake, with bounds in which it must be found.

    ``runs_in_test_suite`` tells that the test suite has the time for it.
    """

    mistake: Mistake
    bounds: handover.Bounds
    runs_in_test_suite: bool = True


SEEDS = (
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
        Mistake.DEPOSED_GRANTS,
        dataclasses.replace(_LEADER_CHANGES, lease_ticks=2, view_numbers=3),
        runs_in_test_suite=False,
    ),
    SeededMistake(Mistake.GRANT_BEFORE_ACK, _SETTLED_MEMBERS),
    SeededMistake(
        Mistake.RESTART_ACTS,
        dataclasses.replace(
            NO_FAULT,
            settled=(2,),
            view_numbers=3,
            crashes=True,
            stale_sources=True,
        ),
    ),
    SeededMistake(
        Mistake.NO_ASKING,
        dataclasses.replace(NO_FAULT, settled=(2,), view_numbers=3, offers=1),
    ),
)


def prove(bounds: handover.Bounds) -> checking.Result:
    """Visit every state within the bounds."""
    return checking.check(handover.Handover(bounds), MAX_STATES)


def find(seed: SeededMistake) -> checking.Result:
    """Search for the shortest trace of a seeded mistake."""
    specification = handover.Handover(seed.bounds, seed.mistake)
    return checking.find_violation(specification, MAX_STATES)
