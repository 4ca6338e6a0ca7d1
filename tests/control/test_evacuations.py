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
LEADER = documents.AskLeader('10.0.0.4')
BUSY = documents.Unavailable(str(errors.BusyError()))
NOT_CONFIRMED = documents.Unavailable(documents.NOT_CONFIRMED)


class FakeLog(local_log.LocalLog):
    """A log that lists its writes and confirmations.

    ``error`` is raised by each write. The other fields are those of the
    replicated log.
    """

    def __init__(self, error=None, is_confirmed=True, **fields):
        super().__init__()
        self.leader = '10.0.0.4:7720'
        self.error = error
        self.is_confirmed = is_confirmed
        self.is_settled = fields.get('is_settled', True)
        self.is_leader = fields.get('is_leader', True)
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
        ({}, START_A, ['write'], documents.Accepted(1)),
        ({}, END_A, ['confirm'], documents.Accepted(0)),
        ({'is_settled': False}, END_A, ['write'], documents.Accepted(0)),
        ({'is_confirmed': False}, END_A, ['confirm'], NOT_CONFIRMED),
        ({'error': errors.NotLeaderError('')}, START_A, ['write'], LEADER),
        ({'error': errors.BusyError()}, START_A, ['write'], BUSY),
        ({'is_leader': False}, START_A, [], LEADER),
    ],
)
async def test_an_order_is_acknowledged_only_by_a_majority(
    fields, order, calls, outcome
):
    # Guards against an answer by a follower or a deposed leader, and against
    # an end that is accepted before an earlier start is committed.
    log = FakeLog(**fields)
    proc = control_fakes.make_process('control-0')
    own_evacuations = evacuations.Evacuations(proc, log)
    assert await own_evacuations.carry_out(order) == outcome
    assert log.calls == calls


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
        ('', 'a', ['evacuation-started']),
        ('a', '', ['evacuation-ended']),
        ('a', 'a', []),
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
