"""Tests that consumers may follow any control instance and leave stale ones.

A control instance is stale if no majority has confirmed it recently. A control
instance that does not lead relays the views of the leader.
"""

import asyncio
import contextlib

import builders
import control_fakes
import heartbeats
import pytest
import replica_network

from gentianspoke.core import views
from gentianspoke.decisions.control import catalogue
from gentianspoke.shells.control import feed_service
from gentianspoke.shells.control import relay
from gentianspoke.shells import feed_client
from gentianspoke.shells import process
from soak import proxy as soak_proxy

PORTS = (31_020, 31_021, 31_022)
PROXY_PORT = 31_023
LEADER = f'{control_fakes.HOST}:{PORTS[0]}'


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Shorten the intervals of the feeds, but keep their order by length."""
    monkeypatch.setattr(feed_service, 'CONFIRMATION_INTERVAL_MS', 50)
    monkeypatch.setattr(feed_service, 'COALESCING_DELAY_S', 0.01)
    monkeypatch.setattr(feed_client, 'MAX_STALENESS_MS', 500)
    monkeypatch.setattr(feed_client, 'MIN_BACKOFF_S', 0.02)
    monkeypatch.setattr(feed_client, 'MAX_BACKOFF_S', 0.1)
    monkeypatch.setattr(relay, 'POLL_INTERVAL_S', 0.02)


class Consumer:
    """A consumer that receives updates as an entry process does.

    It records the updates: ``orders`` holds the number and the revision of
    each view, and ``confirmation_ages_ms`` the age of each confirmation.
    """

    def __init__(self, name, ports=PORTS, role=None):
        feeds = [(control_fakes.HOST, port) for port in ports]
        self.proc = control_fakes.make_process(name, feeds, role)
        self.version = 0
        self.views = {}
        self.orders = []
        self.confirmation_ages_ms = []

    def apply_update(self, update):
        match update:
            case feed_client.CatalogueUpdate(version=version):
                self.version = version
            case views.View():
                self.views[update.service] = update
                self.orders.append(update.order)
            case feed_client.SourceConfirmation(age_ms=age_ms):
                self.confirmation_ages_ms.append(age_ms)
        return self.version

    def follow(self):
        return feed_client.follow_feeds(self.proc, 'entry', self.apply_update)


@contextlib.asynccontextmanager
async def run_cluster(instance_count=3):
    """Run a leader and its followers, which share one catalogue.

    The first of ``instance_count`` control instances is the leader.
    """
    shared = catalogue.Catalogue()
    shared.apply(replica_network.request('first', name='a'))
    async with contextlib.AsyncExitStack() as stack:
        controls = []
        for position in range(instance_count):
            log = control_fakes.FakeLog(shared)
            log.is_leader = position == 0
            log.leader = LEADER
            control_context = control_fakes.run_control(
                f'control-{position}', PORTS[position], log
            )
            controls.append(await stack.enter_async_context(control_context))
        yield controls


def announce(control, number, **fields):
    control.leadership.announce(heartbeats.make_heartbeat(number, **fields))


@pytest.mark.parametrize('position', [0, 1, 2])
async def test_any_control_instance_serves_the_leaders_views(position):
    async with run_cluster() as controls:
        consumer = Consumer('entry-1', (PORTS[position],))
        async with process.run_tasks(consumer.follow()):
            announce(controls[0], 1)
            await control_fakes.wait_until(lambda: 1 in consumer.views)
            await control_fakes.wait_until(
                lambda: consumer.confirmation_ages_ms
            )
            announce(controls[0], 2)
            await control_fakes.wait_until(lambda: has_member(consumer, 2))
            await control_fakes.wait_until(lambda: consumer.version == 1)
            summarize = controls[0].hub.summarize_consumers
            await control_fakes.wait_until(
                lambda: summarize().count_in_force(1) == 1
            )
        assert summarize().consumer_count == 1


async def test_only_the_leader_accepts_announcements():
    async with run_cluster() as controls:
        announce(controls[0], 1)
        with pytest.raises(Exception, match=LEADER):
            announce(controls[1], 1)


async def test_the_age_of_relayed_views_includes_the_age_at_the_leader():
    async with run_cluster() as controls:
        controls[0].log.reported_age_ms = 300
        follower_relay = controls[1].relay
        await control_fakes.wait_until(
            lambda: follower_relay.get_views_age_ms() is not None
        )
        assert follower_relay.get_views_age_ms() >= 300


@pytest.mark.parametrize(
    'fault', ['no-majority', 'silent', 'relay-without-a-leader']
)
async def test_a_consumer_leaves_a_stale_source_for_a_fresh_one(fault):
    async with run_cluster() as controls:
        consumer = Consumer('entry-1', PORTS[1:])
        async with process.run_tasks(consumer.follow()):
            await control_fakes.wait_until(
                lambda: consumer.confirmation_ages_ms
            )
            stale_control, fresh_control = controls[1], controls[2]
            if not has_consumer(stale_control):
                stale_control, fresh_control = fresh_control, stale_control
            match fault:
                case 'no-majority':
                    stale_control.log.reported_age_ms = 5_000
                case 'silent':
                    stale_control.feed._make_confirmation = raise_timeout
                case 'relay-without-a-leader':
                    stale_control.log.leader = ''
            await control_fakes.wait_until(lambda: has_consumer(fresh_control))
            announce(controls[0], 1)
            await control_fakes.wait_until(lambda: 1 in consumer.views)
        assert consumer.orders == sorted(consumer.orders)


@pytest.mark.parametrize('direction', ['to', 'from'])
async def test_a_consumer_leaves_a_source_after_a_one_way_partition(
    direction, monkeypatch
):
    proxy = soak_proxy.Proxy((control_fakes.HOST, PROXY_PORT))
    async with run_cluster() as controls, proxy.run(controls[1].address):
        consumer = Consumer('entry-1')
        feed = feed_client.FeedConsumer(
            consumer.proc, 'entry', consumer.apply_update
        )
        follow_task = asyncio.create_task(feed.follow(proxy.address))
        await control_fakes.wait_until(lambda: consumer.confirmation_ages_ms)
        # On a busy machine, a consumer may need longer for its first message.
        monkeypatch.setattr(feed_service, 'CONSUMER_TIMEOUT_S', 0.5)
        proxy.lost_direction = direction
        await control_fakes.wait_until(follow_task.done)
        consumer.confirmation_ages_ms.clear()
        await feed.follow(
            controls[2].address, lambda: not consumer.confirmation_ages_ms
        )
        assert consumer.confirmation_ages_ms


def has_member(consumer, number):
    return any(member.number == number for member in consumer.views[1].members)


def raise_timeout(feed_subscriber):
    raise TimeoutError


def has_consumer(control):
    return control.hub.consumers.summarize(0).consumer_count > 0


async def test_a_new_leader_issues_newer_views():
    async with run_cluster(2) as controls:
        consumer = Consumer('entry-1', PORTS[1:2])
        old_leader, new_leader = controls
        async with process.run_tasks(consumer.follow()):
            announce(old_leader, 1)
            await control_fakes.wait_until(lambda: 1 in consumer.views)
            order_before = consumer.views[1].order
            old_leader.log.is_leader = False
            old_leader.log.leader = new_leader.log.leader = (
                f'{control_fakes.HOST}:{PORTS[1]}'
            )
            old_leader.log.term = new_leader.log.term = 2
            new_leader.log.is_leader = True
            announce(new_leader, 1)
            await control_fakes.wait_until(
                lambda: consumer.views[1].order > order_before
            )
        (member,) = consumer.views[1].members
        assert member.joined_view >> views.TERM_SHIFT_BITS == 2


async def test_a_consumer_that_changes_its_source_gets_only_differences():
    async with run_cluster() as controls:
        consumer = Consumer('entry-1', PORTS[1:2])
        feed = feed_client.FeedConsumer(
            consumer.proc, 'entry', consumer.apply_update
        )
        announce(controls[0], 1)
        for port, expected_count in ((PORTS[1], 1), (PORTS[2], 1)):
            consumer.confirmation_ages_ms.clear()
            control = controls[PORTS.index(port)]
            await control_fakes.wait_until(lambda: control.hub.source.views)
            await feed.follow(
                (control_fakes.HOST, port),
                lambda: not consumer.confirmation_ages_ms,
            )
            assert len(consumer.orders) == expected_count


async def test_a_copy_that_differs_is_sent_again():
    async with run_cluster(1) as controls:
        consumer = Consumer('entry-1', PORTS[:1])
        feed = feed_client.FeedConsumer(
            consumer.proc, 'entry', consumer.apply_update
        )
        announce(controls[0], 1)
        await control_fakes.wait_until(lambda: controls[0].hub.source.views)
        wrong_view = builders.view(builders.member(9))
        right_view = controls[0].hub.source.views[1]
        feed.copy.store_view(
            views.View(
                1,
                right_view.number,
                wrong_view.members,
                right_view.revision,
            )
        )
        await feed.follow(
            controls[0].address, lambda: consumer.views.get(1) is None
        )
    assert [
        member.number for member in feed.copy.views_by_pool[1].members
    ] == [1]


async def test_a_relay_leaves_a_silent_leader_once_another_is_named(
    monkeypatch,
):
    monkeypatch.setattr(feed_service, 'CONSUMER_TIMEOUT_S', 60)
    async with run_cluster() as controls:
        old_leader, relay_control, new_leader = controls
        announce(old_leader, 1)
        await control_fakes.wait_until(lambda: relay_control.hub.source.views)
        monkeypatch.setattr(feed_client, 'MAX_STALENESS_MS', 60_000)
        monkeypatch.setattr(feed_service, 'CONFIRMATION_INTERVAL_MS', 60_000)
        old_leader.hub.source.store_view = lambda view: False
        # The longer limits keep the relay from leaving the leader because it
        # is silent. The relay still waits for one message with the earlier
        # timeout.
        await asyncio.sleep(0.1)
        for control in controls:
            control.log.is_leader = control is new_leader
            control.log.leader = f'{control_fakes.HOST}:{PORTS[2]}'
            control.log.term = 2
        announce(new_leader, 1)
        await control_fakes.wait_until(
            lambda: relay_control.hub.source.views[1].number
            >> views.TERM_SHIFT_BITS
            == 2
        )
