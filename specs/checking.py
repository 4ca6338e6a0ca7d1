"""Search of a specification's states: all, or up to the first violation."""

import collections.abc
import dataclasses
import typing

import minicheck

Step = tuple[str, tuple]
Successors = collections.abc.Callable[[tuple], list[Step]]
Invariants = dict[str, collections.abc.Callable[[dict], bool]]


class Specification(typing.Protocol):
    """The interface of a specification for the checker."""

    name: str
    fields: tuple[str, ...]
    initial: tuple
    invariants: Invariants

    def successors(self, state: tuple) -> list[Step]:
        """Return all steps that are possible in a state.

        A step is a label and the state that it leads to.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a check.

    ``violated`` names the violated invariant, and is empty if no violation
    was found. ``trace`` holds the labels of the shortest path to the
    violation, and ``states`` the states along this path, from the initial one
    on. ``exhaustive`` tells whether all states were visited. If they were
    not, an empty ``violated`` proves nothing.
    """

    name: str
    state_count: int
    exhaustive: bool
    violated: str = ''
    trace: tuple[str, ...] = ()
    states: tuple[dict, ...] = ()

    def describe(self) -> str:
        """Return a line with the verdict and the number of states visited."""
        verdict = f'violates {self.violated}' if self.violated else 'holds'
        extent = 'all' if self.exhaustive else 'the first'
        return f'{self.name}: {verdict}; {extent} {self.state_count} states'


def check(specification: Specification, max_states: int) -> Result:
    """Visit all states and return the result.

    The search ends after ``max_states`` states. It is then not exhaustive
    and proves nothing.
    """
    return _run(specification, specification.successors, max_states)


def find_violation(specification: Specification, max_states: int) -> Result:
    """Search until the first violation and return the result.

    The search is breadth-first, so the path to the first violation is one of
    the shortest. A result with a violation is not exhaustive.
    """
    violated_names: list[str] = []

    def wrap_invariant(
        name: str, holds: collections.abc.Callable
    ) -> typing.Any:
        def check_and_record(state: dict) -> bool:
            if holds(state):
                return True
            violated_names.append(name)
            return False

        return check_and_record

    # After the first violation no state has successors, so the search ends
    # with the states that it has already found.
    def successors(state: tuple) -> list[Step]:
        return [] if violated_names else specification.successors(state)

    invariants = {
        name: wrap_invariant(name, holds)
        for name, holds in specification.invariants.items()
    }
    result = _run(specification, successors, max_states, invariants)
    return dataclasses.replace(result, exhaustive=not violated_names)


def _run(
    specification: Specification,
    successors: Successors,
    max_states: int,
    invariants: Invariants | None = None,
) -> Result:
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=specification.fields,
        initial=specification.initial,
        transitions=successors,
        invariants=invariants or specification.invariants,
    )
    report = minicheck.check_safety(protocol, max_states=max_states)
    violated, path = _find_shortest_violation(report['properties'])
    return Result(
        name=specification.name,
        state_count=report['reachable_states'],
        exhaustive=report['exhaustive'],
        violated=violated,
        trace=tuple(step['label'] for step in path[1:]),
        states=tuple(step['state'] for step in path),
    )


def _find_shortest_violation(properties: dict) -> tuple[str, list[dict]]:
    violations = [
        (name, verdict['counterexample'])
        for name, verdict in properties.items()
        if verdict['holds'] is False
    ]
    return min(violations, key=lambda item: len(item[1]), default=('', []))
