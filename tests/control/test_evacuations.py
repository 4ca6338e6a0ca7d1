"""An acknowledged evacuation order is durable, and the leader applies it."""

import asyncio

import control_fakes
import control_group
import heartbeats
import local_log
import pytest

from gentianspoke.core import views
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2
from gentianspoke.shells.control import documents
from gentianspoke.shells.control import evacuations
from gentianspoke.shells.control import monitor

BASE_PORT = 30_240
START_A, END_A = zone_orders.Start('zone-a'), zone_orders.End('zone-a')
ZONES = frozenset({'zone-a'})


class FakeLog(local_log.LocalLog):
    """A log that counts its writes and confirmations.

    A test sets the error of a write, whether a majority confirms the leader,
    and whether all records are committed.
    """

    def __init__(self, error=None, is_confirmed=True, is_settled=True):
        super().__init__()
        self.leader = '10.0.0.4:7720'
        self.error = error
        self.is_confirmed = is_confirmed
        self.is_settled = is_settled
        self.calls = []

    async def submit(self, request):
        """Apply the order, or raise the error."""
        self.calls.append('write')
        if self.error is not None:
            raise self.error
        return await super().submit(request)

    async def confirm_leadership(self):
        """Return whether a majority confirms the leader."""
        self.calls.append('confirm')
        return self.is_confirmed


def make_request(order, key):
    return catalogue.Request(key, 'operator', (), evacuation=order)


@pytest.mark.parametrize(
    ('fields', 'order', 'calls', 'outcome'),
    [
        pytest.param({}, START_A, ['write'], documents.Accepted(1), id='new'),
        pytest.param(
            {}, END_A, ['confirm'], documents.Accepted(0), id='no-change'
        ),
        pytest.param(
            {'is_settled': False},
            END_A,
            ['write'],
            documents.Accepted(0),
            id='no-change-but-a-record-is-not-committed',
        ),
        pytest.param(
            {'is_confirmed': False},
            END_A,
            ['confirm'],
            documents.Unavailable(documents.NOT_CONFIRMED),
            id='not-confirmed',
        ),
        pytest.param(
            {'error': errors.NotLeaderError('')},
            START_A,
            ['write'],
            documents.AskLeader('10.0.0.4'),
            id='lead-lost',
        ),
        pytest.param(
            {'error': errors.BusyError()},
            START_A,
            ['write'],
            documents.Unavailable(str(errors.BusyError())),
            id='busy',
        ),
    ],
)
async def test_an_order_is_acknowledged_only_by_a_majority(
    fields, order, calls, outcome
):
    # Guards against an acknowledgement by a leader that was deposed, and
    # against an end that is accepted before an earlier start is committed.
    log = FakeLog(**fields)
    proc = control_fakes.make_process('control-0')
    own_evacuations = evacuations.Evacuations(proc, log)
    assert await own_evacuations.carry_out(order) == outcome
    assert log.calls == calls


async def test_only_the_leader_answers():
    # Guards against an answer from a follower's older state.
    log = FakeLog()
    log.is_leader = False
    proc = control_fakes.make_process('control-0')
    own_evacuations = evacuations.Evacuations(proc, log)
    leader = documents.AskLeader('10.0.0.4')
    assert own_evacuations.find_redirect() == leader
    assert await own_evacuations.carry_out(START_A) == leader
    assert log.calls == []


async def test_the_leader_issues_views_of_the_evacuated_zones():
    # Guards against an order that stays in the log without effect, also after
    # a change of the leader.
    log = control_fakes.FakeLog()
    async with control_fakes.run_control(
        'control-0', BASE_PORT, log
    ) as control:

        def is_listed_as(state):
            control.leadership.announce(heartbeats.make_heartbeat(1))
            view = control.hub.source.views.get(1)
            return view is not None and view.members[0].state is state

        await log.submit(make_request(START_A, 'start'))
        await control_fakes.wait_until(
            lambda: is_listed_as(views.State.EVACUATED)
        )
        log.term = 2
        await log.submit(make_request(END_A, 'end'))
        await control_fakes.wait_until(lambda: is_listed_as(views.State.LIVE))
    assert control.hub.source.views[1].number >> views.TERM_SHIFT_BITS == 2


@pytest.mark.parametrize(
    ('earlier_zones', 'zones', 'expected'),
    [
        pytest.param((), ZONES, ['evacuation-started'], id='started'),
        pytest.param(ZONES, (), ['evacuation-ended'], id='ended'),
        pytest.param(ZONES, ZONES, [], id='unchanged'),
    ],
)
def test_each_change_is_on_the_time_line_once(
    monkeypatch, earlier_zones, zones, expected
):
    # Guards against an evacuation that the time line does not show.
    proc = control_fakes.make_process('control-0')
    kinds = []
    monkeypatch.setattr(
        proc.events, 'write', lambda kind, **_: kinds.append(kind)
    )
    log = FakeLog()
    log.catalogue.evacuated_zones = frozenset(zones)
    monitor.report_evacuations(proc, log, frozenset(earlier_zones))
    assert kinds == expected


async def test_an_order_survives_a_kill_of_all_and_the_loss_of_a_disk(
    tmp_path,
):
    # Guards against an acknowledgement before a majority has stored the order.
    async with control_group.run_group(tmp_path, BASE_PORT + 10, 3) as group:
        leader = await group.wait_for_leader()
        assert (await group.apply(make_request(START_A, 'start'))).accepted
        await asyncio.gather(*map(group.kill, tuple(group.processes)))
        group.remove_data_folder(leader)
        survivors = [name for name in group.addresses if name != leader]
        await group.start(*survivors)
        new_leader = await group.wait_for_leader()
        status = await group.call_catalogue(
            new_leader, 'Status', catalogue_pb2.StatusRequest()
        )
        assert list(status.evacuated_zones) == ['zone-a']
