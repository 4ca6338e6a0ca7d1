"""The cells of the fault matrix for flows.

A cell is a run in which one or two faults are injected at one step of the
first caller's flow.
"""

import dataclasses
import itertools

from gentianspoke.core import frames
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.control import membership
from tests.matrix import world as worlds

# A step is the sending of a packet: the caller's SYN ("open"), its request
# ("forward") or its FIN ("close"), the delivery of the SYN to an upstream
# ("place") or the data of the upstream's reply ("answer"). "wait" is the
# moment at which an agent queues the SYN.
STEPS = ('open', 'wait', 'place', 'forward', 'answer', 'close')
PAIR_STEPS = ('wait', 'place', 'answer')
CALL_TIMEOUT_MS = 40_000
LATE_DELAY_MS = 4_000
REORDER_DELAY_MS = 150
# Source ports of the caller at whose flow the faults are injected, of the
# caller that opens a flow afterwards, and of the first background caller. A
# background caller starts every BACKGROUND_INTERVAL_MS until the first caller
# is done.
FIRST_CALLER_PORT = 5_000
PROBE_PORT = 5_001
FIRST_BACKGROUND_PORT = 6_000
BACKGROUND_INTERVAL_MS = 500
# At the step "wait", other requests occupy all slots of each member for
# SLOTS_FREED_AFTER_MS, so that the opening of the first caller is queued.
SLOTS = 4
SLOTS_FREED_AFTER_MS = 2_000
COMPLETE = frozenset({'complete'})
# The states in which a flow may end if its upstream is lost or silent.
# "opening" is the state of a flow whose opening got no answer. Its outcome is
# unknown, so it does not count as refused.
ANY_END = frozenset({'complete', 'refused', 'reset', 'opening'})


def drop_packet(world, send):
    """Drop the packet."""


def duplicate_packet(world, send):
    """Deliver the packet twice."""
    send()
    send()


def delay_packet(world, send):
    """Delay the packet until its sender has retransmitted it."""
    send(LATE_DELAY_MS)


def reorder_packet(world, send):
    """Delay the packet so that later packets overtake it."""
    send(REORDER_DELAY_MS)


def stop_entry(world, send):
    """Stop an entry instance."""
    world.entries.pop(0)
    send()


def add_entry_instance(world, send):
    """Start another entry instance."""
    world.add_entry()
    send()


def freeze_entry_views(world, send):
    """Stop updating the views of an entry instance, then drain the owner.

    The entry instance therefore still treats the owner as live.
    """
    world.frozen_entries.add(id(world.entries[0]))
    drain(world, send)


def restart_agent(world, send):
    """Restart the owner's agent while its upstream keeps running."""
    number = world.find_owner()
    if number in world.agents:
        world.add_agent(number, worlds.BOOKINGS, recovering=True)
    send()


def stop_upstream(world, send):
    """Stop the owner's upstream and agent."""
    number = world.find_owner()
    world.agents.pop(number, None)
    world.upstreams.pop(number, None)
    send()


def restart_upstream(world, send):
    """Restart the owner's upstream as a new incarnation."""
    number = world.find_owner()
    if number in world.agents:
        world.upstreams[number].connections.clear()
        state = world.agents[number]
        now = world.clock.now()
        # The new incarnation has a member number that no other member has.
        for action in core.on_incarnation(state, number + 100, now):
            world.carry_out_action(number, action)
    send()


def add_upstream(world, send):
    """Add an upstream, with a member number that is not in use."""
    world.add_agent(9, worlds.BOOKINGS)
    send()


def drain(world, send):
    """Drain the owner's upstream."""
    number = world.find_owner()
    if number in world.agents:
        world.agents[number].draining = True
        world.drain_started_ms[number] = world.clock.now()
    send()


def replace_leader(world, send):
    """Replace the control leader by a leader of the next term.

    The new leader adds the members of its predecessor's views.
    """
    now = world.clock.now()
    views = world.leader.list_views()
    world.leader = membership.Membership(
        world.leader.term + 1, worlds.LIMITS, now
    )
    world.leader.add_earlier_members(views, now)
    send()


def isolate_owner(world, send):
    """Drop all messages between the owner and control."""
    world.agents_without_heartbeats.add(world.find_owner())
    world.agents_without_feed.add(world.find_owner())
    send()


def drop_owner_heartbeats(world, send):
    """Drop the owner's heartbeats, but not its feed."""
    world.agents_without_heartbeats.add(world.find_owner())
    send()


def report_false_loads(world, send):
    """Send false load reports for every member to every member."""
    for state in world.agents.values():
        for number, count in zip(worlds.BOOKINGS_MEMBERS, (0, 10**6, 1)):
            report = frames.LoadReport(1, number, count, count, count)
            core.on_load(state, report, now=0)
    send()


def ignore_first_flow(world, send):
    """Make the owner's upstream ignore all packets of the first flow."""
    number = world.find_owner()
    if number in world.upstreams:
        world.upstreams[number].ignored_ports.add(FIRST_CALLER_PORT)
    send()


# An agent that starts while it is isolated from control gets no views, so the
# flow may end in every state of ``ANY_END`` under these two faults.
ISOLATED_AT_START = frozenset(
    {'agent restarts', 'owner isolated from control'}
)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault and the states in which a flow that it affects may end.

    ``inject`` takes the simulated system and a function that sends the packet,
    after a delay in milliseconds if one is given.
    ``is_packet_fault`` is true for a fault of the packet itself.
    """

    name: str
    inject: object
    allowed_ends: frozenset = COMPLETE
    is_packet_fault: bool = False


FAULTS = (
    Fault('packet lost', drop_packet, is_packet_fault=True),
    Fault('packet duplicated', duplicate_packet, is_packet_fault=True),
    Fault('packet delayed', delay_packet, is_packet_fault=True),
    Fault('packets reordered', reorder_packet, is_packet_fault=True),
    Fault('entry stops', stop_entry),
    Fault('entry starts', add_entry_instance),
    Fault('stale entry views', freeze_entry_views),
    Fault('agent restarts', restart_agent),
    Fault('upstream stops', stop_upstream, ANY_END),
    Fault('upstream restarts', restart_upstream, ANY_END),
    Fault('upstream joins', add_upstream),
    Fault('drain', drain),
    Fault('leader changes', replace_leader),
    Fault('owner isolated from control', isolate_owner),
    Fault('owner heartbeats lost', drop_owner_heartbeats),
    Fault('false load reports', report_false_loads),
    Fault('upstream ignores flow', ignore_first_flow, ANY_END),
)


UPSTREAM_IGNORES_FLOW = FAULTS[-1]


@dataclasses.dataclass(frozen=True)
class Cell:
    """One or two faults that are injected at one step of a flow."""

    step: str
    faults: tuple

    @property
    def name(self):
        """Return the cell's name in the table and in test ids."""
        return f'{self.step}: ' + ' + '.join(f.name for f in self.faults)

    @property
    def allowed_ends(self):
        """Return the states in which the flow may end."""
        if ISOLATED_AT_START <= {fault.name for fault in self.faults}:
            return ANY_END
        allowed_ends = frozenset().union(
            *(fault.allowed_ends for fault in self.faults)
        )
        if self.step == 'wait' and len(self.faults) > 1:
            # If the queue is lost, an agent decides again on the opening, and
            # may refuse it.
            return allowed_ends | {'refused'}
        return allowed_ends

    @property
    def exclusion_reason(self):
        """Return why the cell is left out, empty if it is not."""
        if self.step == 'wait' and any(f.is_packet_fault for f in self.faults):
            return 'a queued opening is not in transit'
        if self.step == 'wait' and self.faults == (UPSTREAM_IGNORES_FLOW,):
            return 'a queued opening has not reached the upstream'
        return ''


SINGLE_FAULT_CELLS = tuple(
    Cell(step, (fault,)) for fault in FAULTS for step in STEPS
)
FAULT_PAIR_CELLS = tuple(
    Cell(step, pair)
    for step in PAIR_STEPS
    for pair in itertools.combinations(FAULTS, 2)
    if not all(fault.is_packet_fault for fault in pair)
)
CELLS = SINGLE_FAULT_CELLS + FAULT_PAIR_CELLS


@dataclasses.dataclass
class Outcome:
    """The result of a cell; ``violations`` lists the violated guarantees.

    ``faults_injected`` is true if all faults were injected. ``end`` is the
    final state of the first caller's flow, or the answer to the edit in a
    cell of control.
    """

    faults_injected: bool
    end: str
    violations: list


def run(cell):
    """Run a cell, check every guarantee and return the outcome."""
    world = worlds.World()
    injected_names = []

    def intercept(step, send):
        if step != cell.step or injected_names:
            send()
            return
        # The last fault handles the packet, so a packet fault comes last.
        ordered_faults = sorted(
            cell.faults, key=lambda fault: fault.is_packet_fault
        )
        for fault in ordered_faults[:-1]:
            fault.inject(world, lambda delay_ms=0: None)
            injected_names.append(fault.name)
        ordered_faults[-1].inject(world, send)
        injected_names.append(ordered_faults[-1].name)

    world.intercept = intercept
    if cell.step == 'wait':
        world.occupy_slots(SLOTS)
        world.schedule(
            SLOTS_FREED_AFTER_MS, lambda: world.occupy_slots(-SLOTS)
        )
    deadline_ms = world.clock.now() + CALL_TIMEOUT_MS
    caller = world.start_caller(FIRST_CALLER_PORT)
    background_ports = itertools.count(FIRST_BACKGROUND_PORT)
    while not caller.is_done and world.clock.now() < deadline_ms:
        world.start_caller(next(background_ports))
        world.run(BACKGROUND_INTERVAL_MS, until=lambda: caller.is_done)
    world.run(8_000)
    probe = world.start_caller(PROBE_PORT)
    world.run(CALL_TIMEOUT_MS, until=lambda: probe.is_done)
    violations = list(_find_violations(world, cell, caller, probe))
    return Outcome(
        len(injected_names) == len(cell.faults), caller.state, violations
    )


def _find_violations(world, cell, caller, probe):
    run_ports = [port for port, _ in world.runs]
    if len(run_ports) > len(set(run_ports)):
        yield 'a request ran more than once'
    for each_caller in world.callers:
        if each_caller.state == 'refused' and each_caller.sport in run_ports:
            yield 'a refused request ran'
        if (
            each_caller.state == 'complete'
            and each_caller.sport not in run_ports
        ):
            yield 'a request was answered but did not run'
        if (
            each_caller.state == 'complete'
            and each_caller.answer != b'done for %d' % each_caller.sport
        ):
            yield 'a caller got the answer to another request'
    if any(
        upstream.misdelivered_packets for upstream in world.upstreams.values()
    ):
        yield 'a packet reached another service'
    if caller.state not in cell.allowed_ends:
        yield f'the flow ended in state {caller.state}'
    if probe.state != 'complete':
        yield f'a new flow ended in state {probe.state}'
    for number, started_ms in world.drain_started_ms.items():
        placed_ms = [
            time_ms
            for _, upstream_number, time_ms in world.placements
            if upstream_number == number
        ]
        if any(time_ms > started_ms + 5_000 for time_ms in placed_ms):
            yield 'a draining upstream got a new flow'
