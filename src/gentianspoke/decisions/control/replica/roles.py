"""The roles of a replica as a state machine."""

import transitions

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'
STATES = (FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER)
TRANSITIONS = (
    # No message from a leader arrived for an election timeout: start a
    # pre-vote.
    {
        'trigger': 'suspect',
        'source': [FOLLOWER, PRE_CANDIDATE, CANDIDATE],
        'dest': PRE_CANDIDATE,
    },
    {'trigger': 'campaign', 'source': PRE_CANDIDATE, 'dest': CANDIDATE},
    {'trigger': 'win', 'source': CANDIDATE, 'dest': LEADER},
    {'trigger': 'follow', 'source': list(STATES), 'dest': FOLLOWER},
)


class RoleMachine:
    """The role of a replica, which is one of ``STATES``."""

    state: str

    def __init__(self) -> None:
        """Start as a follower."""
        self._machine = transitions.Machine(
            model=self,
            states=list(STATES),
            transitions=[dict(transition) for transition in TRANSITIONS],
            initial=FOLLOWER,
            auto_transitions=False,
        )

    def advance(self, trigger: str) -> None:
        """Fire a trigger: ``suspect``, ``campaign``, ``win`` or ``follow``.

        Raises ``transitions.MachineError`` if the current role has no
        transition for this trigger.
        """
        getattr(self, trigger)()
