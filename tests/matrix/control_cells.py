"""The cells of the fault matrix for the control group.

A cell is a run in which one or two faults are injected at one step of an edit,
or during the replacement of a member.
"""

import dataclasses
import itertools

import replica_network

from tests.matrix import cells
from tests.matrix import control_world as worlds

EARLIER_EDITS = 3
# The edits of the step "snapshot". They are more than
# ``worlds.LIMITS.compact_records``, so that the leader makes a snapshot.
SNAPSHOT_EDITS = 8
SETTLE_MS = 8_000
LOSS_RATIO = 0.3

request = replica_network.request


def stop_leader(world):
    """Stop the leader abruptly, without a handover of leadership."""
    world.replicas.pop(world.leader(), None)


def stop_follower(world):
    """Stop a follower abruptly."""
    world.replicas.pop(world.follower(), None)


def lose_leader_disk(world):
    """Stop the leader permanently, as if its disk were lost."""
    world.lose_disk(world.leader())


def lose_follower_disk(world):
    """Stop a follower permanently, as if its disk were lost."""
    world.lose_disk(world.follower())


def isolate_leader(world):
    """Drop all messages from and to the leader."""
    world.isolate(world.leader())


def drop_messages_to_leader(world):
    """Drop all messages to the leader."""
    leader = world.leader()
    world.blocked_links |= {(other, leader) for other in world.stores}


def drop_messages(world):
    """Drop each message with the probability ``LOSS_RATIO``."""
    world.loss = LOSS_RATIO


def _make_disk_fault(kind):
    def inject(world):
        folder = world.folders[world.leader()]
        folder.fail_at = folder.operation_count + 1
        folder.fault = kind

    return inject


def send_racing_edit(world):
    """Send another operator's edit that is based on the same version."""
    world.send(request('racer', name='raced'))


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of the control group.

    ``inject`` takes the simulated control group. ``is_disk_fault`` is true
    for a fault of a disk operation, and ``removes_disk`` for one that removes
    a member's disk. No fault of the control group sets ``is_packet_fault``.
    """

    name: str
    inject: object
    is_disk_fault: bool = False
    removes_disk: bool = False
    is_packet_fault: bool = False


FAULTS = (
    Fault('leader stops', stop_leader),
    Fault('follower stops', stop_follower),
    Fault('leader loses its disk', lose_leader_disk, removes_disk=True),
    Fault('follower loses its disk', lose_follower_disk, removes_disk=True),
    Fault('leader isolated', isolate_leader),
    Fault('messages to leader lost', drop_messages_to_leader),
    Fault('messages lost', drop_messages),
    Fault('torn write', _make_disk_fault('torn'), is_disk_fault=True),
    Fault('failed sync', _make_disk_fault('error'), is_disk_fault=True),
    Fault('full disk', _make_disk_fault('full'), is_disk_fault=True),
    Fault('racing edit', send_racing_edit),
)
RACING_EDIT = FAULTS[-1]
STEPS = ('edit', 'replicate', 'commit', 'catch up', 'snapshot', 'replace')
# The faults that are combined in pairs. The second of a pair is injected while
# the group handles the first. Faults of a disk operation are only injected
# alone.
PAIR_FAULTS = tuple(fault for fault in FAULTS if not fault.is_disk_fault)


@dataclasses.dataclass(frozen=True)
class Cell:
    """One or two faults of the control group that are injected at one step."""

    step: str
    faults: tuple

    @property
    def name(self):
        """Return the cell's name in the table and in test ids."""
        return f'{self.step}: ' + ' + '.join(f.name for f in self.faults)

    @property
    def exclusion_reason(self):
        """Return why the cell is left out, empty if it is not."""
        lost_disk_count = sum(fault.removes_disk for fault in self.faults)
        if lost_disk_count > 1 or (lost_disk_count and self.step == 'replace'):
            return 'losing two of three disks loses the majority'
        return ''


SINGLE_FAULT_CELLS = tuple(
    Cell(step, (fault,)) for step in STEPS for fault in FAULTS
)
FAULT_PAIR_CELLS = tuple(
    Cell(step, pair)
    for step in ('replicate', 'catch up', 'replace')
    for pair in itertools.combinations(PAIR_FAULTS, 2)
)
CELLS = SINGLE_FAULT_CELLS + FAULT_PAIR_CELLS


def run(cell):
    """Run a cell, check every guarantee and return the outcome."""
    world = worlds.ControlWorld()
    for number in range(EARLIER_EDITS):
        world.send(request(f'before-{number}'))
    injected_names = []
    edit = request('edited', name='raced')
    _reach_step(world, cell, edit)
    for fault in cell.faults:
        _ensure_leader(world)
        fault.inject(world)
        injected_names.append(fault.name)
    answer = world.send(edit)
    world.blocked_links.clear()
    world.loss = 0.0
    world.restart_stopped()
    world.run(SETTLE_MS)
    if cell.step == 'replace':
        world.add_spare()
        world.run(SETTLE_MS)
    if RACING_EDIT in cell.faults:
        # The other operator also repeats an edit that was not answered.
        send_racing_edit(world)
    repeated_answer = world.send(edit)
    later_answer = world.send(request('after'))
    disk_fault_count = sum(fault.is_disk_fault for fault in cell.faults)
    faults_injected = (
        len(injected_names) == len(cell.faults)
        and world.disk_faults >= disk_fault_count
    )
    violations = list(
        _find_violations(world, cell, answer, repeated_answer, later_answer)
    )
    end = (
        'not answered'
        if repeated_answer is None
        else _describe_answer(repeated_answer)
    )
    return cells.Outcome(faults_injected, end, violations)


def _ensure_leader(world):
    if world.leader() is not None:
        return
    if not world.has_majority():
        # The leader may be the target of a fault, and no leader is elected
        # without a majority, so the stopped members are started again.
        world.restart_stopped()
    world.wait_for_leader()


def _reach_step(world, cell, edit):
    match cell.step:
        case 'replicate':
            world.propose(world.leader(), edit)
        case 'commit':
            world.send(edit)
        case 'catch up':
            world.replicas.pop(world.follower())
            world.send(edit)
            for number in range(EARLIER_EDITS):
                world.send(request(f'missed-{number}'))
            world.restart_stopped()
        case 'snapshot':
            for number in range(SNAPSHOT_EDITS):
                world.send(request(f'more-{number}'))
        case 'replace':
            replaced = world.follower()
            world.lose_disk(replaced)
            world.remove(replaced)
            world.add_spare()


def _describe_answer(answer):
    return 'accepted' if answer.accepted else 'refused as conflict'


def _find_violations(world, cell, answer, repeated_answer, later_answer):
    if (
        repeated_answer is None
        or later_answer is None
        or not later_answer.accepted
    ):
        yield 'the group accepts no edit afterwards'
    for key, answers in world.answers_by_key.items():
        if len(answers) > 1:
            yield f'the edit {key} got different answers'
    accepted_keys = [
        key
        for key in ('edited', 'racer')
        if any(item.accepted for item in world.answers_by_key.get(key, ()))
    ]
    if len(accepted_keys) != 1:
        yield f'{len(accepted_keys)} edits of one version were accepted'
    leader = world.wait_for_leader()
    world.run(SETTLE_MS)
    states = {n: replica.state for n, replica in world.replicas.items()}
    for key, answers in world.answers_by_key.items():
        for number, state in states.items():
            if state.group.is_voter(number):
                if state.catalogue.known_answer(key) not in answers:
                    yield f'member {number} does not know the answer to {key}'
    versions = {
        state.catalogue.version
        for number, state in states.items()
        if states[leader].group.is_voter(number)
    }
    if len(versions) != 1:
        yield 'members have different catalogue versions in the end'
    if cell.step == 'replace':
        if not states[leader].group.is_voter(worlds.SPARE):
            yield 'the new member is not a voter'
    if cell.step == 'snapshot' and not states[leader].snapshot.index:
        yield 'no snapshot was made'
