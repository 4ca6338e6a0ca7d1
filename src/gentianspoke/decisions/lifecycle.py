"""The life of a process as a state machine, the same for every role."""

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
    """Where a process stands: starting, syncing, serving, stopping."""

    state: str

    def __init__(
        self, on_change: collections.abc.Callable[[str], None]
    ) -> None:
        """Begin as starting; ``on_change`` gets the name of each state."""
        self._on_change = on_change
        self._machine = transitions.Machine(
            model=self,
            states=list(STATES),
            transitions=[dict(item) for item in TRANSITIONS],
            initial='starting',
            after_state_change=self._report,
            auto_transitions=False,
        )

    def advance(self, trigger: str) -> None:
        """Fire a trigger: ``sync``, ``serve``, ``stop`` or ``finish``.

        Raises ``transitions.MachineError`` where the state has none.
        """
        getattr(self, trigger)()

    def _report(self) -> None:
        self._on_change(self.state)
