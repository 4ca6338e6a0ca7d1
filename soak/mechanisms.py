"""Disable single mechanisms of the product in a soak run.

A run without a mechanism has to fail, which shows that the checks of the
soak detect the loss of that mechanism.
"""

import enum


class Mechanism(enum.Enum):
    """A mechanism that a run can disable."""

    ANSWERS = 'answers'
    MAJORITY = 'majority'
    ADOPTION = 'adoption'


def disable(mechanism: Mechanism) -> None:
    """Disable a mechanism in this process.

    This has to happen before the program starts.
    """
    match mechanism:
        case Mechanism.ANSWERS:
            _disable_known_answers()
        case Mechanism.MAJORITY:
            _reduce_quorum_to_one()
        case Mechanism.ADOPTION:
            _disable_adoption()


def _disable_known_answers() -> None:
    from gentianspoke.decisions.control import catalogue

    # Without the stored answers to earlier requests, a resent edit is
    # processed as a new edit.
    setattr(catalogue.Catalogue, 'known_answer', lambda *_: None)


def _reduce_quorum_to_one() -> None:
    from gentianspoke.decisions.control.replica import group

    # With a quorum of one, each side of a network partition elects its own
    # leader and accepts edits.
    setattr(group.Group, 'quorum', property(lambda _: 1))


def _disable_adoption() -> None:
    from gentianspoke.decisions.agent import adoption

    # Without adoption, an agent that restarted does not recognise the open
    # flows of its upstream.
    setattr(adoption, '_may_adopt_here', lambda *_: False)
