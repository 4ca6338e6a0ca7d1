"""The roles of a replica as a state machine."""

import transitions

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'
STATES = (FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER)
TRANSITIONS = (
    # No leader is heard: ask whether an election would be won.
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
    """Where a replica stands between follower and leader."""

    state: str

    def __init__(self) -> None:
        """Begin as a follower."""
        self._machine = transitions.Machine(
            model=self,
            states=list(STATES),
            transitions=[dict(item) for item in TRANSITIONS],
            initial=FOLLOWER,
            auto_transitions=False,
        )

    def advance(self, trigger: str) -> None:
        """Fire a trigger: ``suspect``, ``campaign``, ``win``, ``become_follower``.

        Raises ``transitions.MachineError`` where the role has none.
        """
        getattr(self, trigger)()
