"""Verdicts: the outcome of a flow, the part at fault and the evidence."""

import dataclasses
import enum


class Fault(enum.Enum):
    """The part of the path that is at fault; ``NONE`` if no part failed."""

    NETWORK = 'network'
    BALANCER = 'balancer'
    UPSTREAM = 'upstream'
    CALLER = 'caller'
    NONE = 'none'


class Outcome(enum.Enum):
    """How a flow ended, as far as an agent can determine.

    ``REFUSED_NOT_RUN`` means that the request certainly did not run,
    ``UNKNOWN`` that it may have run, and ``SILENT`` that the flow ended
    after packets stayed unanswered.
    """

    CLOSED = 'closed'
    REFUSED_NOT_RUN = 'refused-not-run'
    UNKNOWN = 'unknown'
    RESET_BY_CALLER = 'reset-by-caller'
    RESET_BY_UPSTREAM = 'reset-by-upstream'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one flow, the part at fault, and the evidence.

    ``reason`` is a short name of the cause. ``evidence`` holds pairs of a
    short name and its value. In such a name, ``up`` stands for the direction
    from the caller to the upstream and ``down`` for the other one:
    ``last_up_ms_ago`` is the time in milliseconds since the caller's last
    packet, and ``up_repeats`` is the number of its retransmissions.
    """

    outcome: Outcome
    fault: Fault
    reason: str
    evidence: tuple[tuple[str, str | int], ...] = ()
