"""The life cycle of a process as a state machine, the same in all roles."""

import collections.abc

import transitions

STATES = ('starting', 'syncing', 'serving', 'stopping', 'stopped')
TRANSITIONS = (
    {'trigger': 'sync', 'source': 'starting', 'dest': 'syncing'},
    {'trigger': 'serve', 'source': 'syncing', 'dest': 'serving'},
    {
        'trigger': 'stop',
        'source': ['starting', 'syncing', 'serving'],
        'dest': 'stopping',
    },
    {'trigger': 'finish', 'source': 'stopping', 'dest': 'stopped'},
)


class Lifecycle:
    """The state of a process, which is one of ``STATES``."""

    state: str

    def __init__(
        self, on_change: collections.abc.Callable[[str], None]
    ) -> None:
        """Begin in ``starting``; ``on_change`` gets each new state's name."""
        self._on_change = on_change
        self._machine = transitions.Machine(
            model=self,
            states=list(STATES),
            transitions=[dict(transition) for transition in TRANSITIONS],
            initial='starting',
            after_state_change=self._report_state,
            auto_transitions=False,
        )

    def advance(self, trigger: str) -> None:
        """Fire a trigger: ``sync``, ``serve``, ``stop`` or ``finish``.

        Raises ``transitions.MachineError`` if the present state has no
        transition for this trigger.
        """
        getattr(self, trigger)()

    def _report_state(self) -> None:
        self._on_change(self.state)
