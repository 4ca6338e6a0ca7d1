"""Mechanisms that a run can take out, to show that its checks catch it."""

import enum


class Mechanism(enum.Enum):
    """What one run goes without."""

    ANSWERS = 'answers'
    MAJORITY = 'majority'
    ADOPTION = 'adoption'


def disable(mechanism: Mechanism) -> None:
    """Take a mechanism out of this process, before the program starts."""
    match mechanism:
        case Mechanism.ANSWERS:
            _disable_known_answers()
        case Mechanism.MAJORITY:
            _reduce_quorum_to_one()
        case Mechanism.ADOPTION:
            _disable_adoption()


def _disable_known_answers() -> None:
    from gentianspoke.decisions.control import catalogue

    # An edit that is sent again is taken for a new one.
    setattr(catalogue.Catalogue, 'known_answer', lambda *_: None)


def _reduce_quorum_to_one() -> None:
    from gentianspoke.decisions.control.replica import group

    # Each side of a cut elects its own leader and accepts edits.
    setattr(group.Group, 'quorum', property(lambda _: 1))


def _disable_adoption() -> None:
    from gentianspoke.decisions.agent import adoption

    # An agent that restarted disowns the flows of its upstream.
    setattr(adoption, '_may_adopt_here', lambda *_: False)
