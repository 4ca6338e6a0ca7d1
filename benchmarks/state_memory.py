"""Measure the memory that each item of state takes, and message sizes.

Command: ``make bench-memory``. The sizes are those that tracemalloc reports
for the production data classes and tables. The memory of the interpreter
itself is not included.
"""

import collections.abc
import dataclasses
import gc
import tracemalloc

from benchmarks import tables
from gentianspoke.codec import catalogue_entries
from gentianspoke.codec import feed
from gentianspoke.codec import frame
from gentianspoke.codec import keys
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking
from gentianspoke.decisions import routing

# Both are multiples of ``BUCKETS_PER_SERVICE``, since rankings are built for
# all buckets of a service.
SMALL_COUNT = 2 * hashing.BUCKETS_PER_SERVICE
LARGE_COUNT = 12 * hashing.BUCKETS_PER_SERVICE
SERVICE_ADDRESS = bytes((10, 1, 0, 1))
PORT = 443

StateBuilder = collections.abc.Callable[[int], object]


def make_flow_key(number: int) -> packets.FlowKey:
    """Return the key of a flow whose caller's address is ``number``."""
    caller = number.to_bytes(4, 'big')
    return packets.make_key(packets.TCP, caller, SERVICE_ADDRESS, 9_999, PORT)


def make_service(number: int) -> services.Service:
    """Return service ``number``, whose address is ``number`` too."""
    return services.Service(
        number=number,
        name=f'service-{number}',
        owner=f'owner-{number}',
        address=number.to_bytes(4, 'big'),
        ports=(PORT,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=services.Limits(),
        version=number,
    )


def make_member(number: int) -> views.Member:
    """Return a live member whose instance name and host contain ``number``."""
    return views.Member(
        number=(number << 32) + 1,
        instance=f'agent-{number}',
        host=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
        port=7_000,
        zone='zone',
        weight=100,
        state=views.State.LIVE,
        joined_view=(1 << 32) + number,
    )


def make_former_pool(number: int) -> services.FormerPool:
    """Return a former pool whose name contains ``number``."""
    return services.FormerPool(number, f'pool-{number:06d}', number)


def make_agent_state() -> agent_state.AgentState:
    """Return the state of an agent without flows."""
    return agent_state.AgentState(
        number=1,
        zone='zone',
        capacity=agent_state.Capacity(4, 10**9, 0),
        started_ms=0,
    )


def build_flows(count: int) -> object:
    """Return the state of an agent with ``count`` open flows."""
    state = make_agent_state()
    service = make_service(1)
    for number in range(count):
        flow_table.open_flow(
            state, service, make_flow_key(number), 1, number, 0
        )
    return state


def build_diversions(count: int) -> object:
    """Return the state of an agent that diverted ``count`` flows.

    All flows are diverted to the same other member.
    """
    state = make_agent_state()
    for number in range(count):
        diversion = records.Diversion(
            target=2, isn=number, service=1, bucket=1, view=1, last_used_ms=0
        )
        diversion_table.add(state, make_flow_key(number), diversion)
    return state


def build_catalogue_entries(count: int) -> object:
    """Return a routing table with ``count`` catalogue entries.

    Each entry instance keeps such a table.
    """
    table = routing.RouteTable()
    table.set_catalogue(
        1, [make_service(number) for number in range(1, count + 1)]
    )
    return table


def build_former_pools(count: int) -> object:
    """Return ``count`` former pools, as the entries of a consumer have them.

    Each has a name of its own, because names are not shared when entries are
    decoded.
    """
    return [make_former_pool(number) for number in range(count)]


def build_members(count: int) -> object:
    """Return a routing table whose views have ``count`` members in all.

    Each view has three members.
    """
    table = routing.RouteTable()
    for service_number in range(count // 3):
        members = tuple(
            make_member(service_number * 3 + index) for index in range(3)
        )
        table.set_view(views.View(service_number, 1, members))
    return table


def build_orders(count: int) -> object:
    """Return rankings that cache the orders of ``count`` buckets.

    An order lists the seven members by descending score for one bucket.
    """
    return _build_rankings(
        count, lambda ranking, bucket: ranking.rank_members(bucket)
    )


def build_homes(count: int) -> object:
    """Return rankings that cache the homes of ``count`` buckets.

    The home of a bucket is the live one of the seven members with the
    highest score for it.
    """
    return _build_rankings(count, lambda ranking, bucket: ranking.home(bucket))


def _build_rankings(
    count: int,
    compute_for_bucket: collections.abc.Callable[
        [member_ranking.Ranking, int], object
    ],
) -> list[member_ranking.Ranking]:
    members = tuple(make_member(number) for number in range(7))
    rankings: list[member_ranking.Ranking] = []
    for service_number in range(count // hashing.BUCKETS_PER_SERVICE):
        ranking = member_ranking.Ranking(
            views.View(service_number, 1, members)
        )
        for bucket in range(hashing.BUCKETS_PER_SERVICE):
            compute_for_bucket(ranking, bucket)
        rankings.append(ranking)
    return rankings


BUILDERS_BY_STATE: dict[str, StateBuilder] = {
    'open flow, agent': build_flows,
    'diversion, agent': build_diversions,
    'catalogue entry, entry': build_catalogue_entries,
    'former pool of a catalogue entry': build_former_pools,
    'member of a view': build_members,
    'order of a bucket of 7 members, agent': build_orders,
    'home of a bucket of 7 members, entry': build_homes,
}


def measure_state_bytes(build: StateBuilder, count: int) -> int:
    """Return the bytes that the result of ``build(count)`` occupies."""
    gc.collect()
    tracemalloc.start()
    state = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size


def measure_message_bytes() -> dict[str, int]:
    """Return the sizes of messages in bytes, without transport headers."""
    members = tuple(make_member(number) for number in range(1, 4))
    view = views.View(1, views.make_view_number(1, 5), members)
    ring = keys.KeyRing(1, {1: bytes(32)})
    report = frames.LoadReport(1_000, members[0].number, 2_000, 4, 3)
    service = make_service(53_000)
    with_former_pool = dataclasses.replace(
        service, former=(make_former_pool(53_001),)
    )
    entry_bytes = catalogue_entries.encode_entry(service).ByteSize()
    former_pool_bytes = (
        catalogue_entries.encode_entry(with_former_pool).ByteSize()
        - entry_bytes
    )
    return {
        'message: catalogue entry': entry_bytes,
        'message: former pool of an entry': former_pool_bytes,
        'message: view of 3 members': feed.encode_view(view).ByteSize(),
        'message: load report': len(frame.encode(report, ring)),
    }


def main() -> None:
    """Write and print a table of the bytes that one item of each kind takes.

    A state is built with ``SMALL_COUNT`` and with ``LARGE_COUNT`` items, and
    the difference is divided by the number of further items. Costs that do
    not depend on the number of items thus cancel out.
    """
    rows = [
        [name, str(size)] for name, size in measure_message_bytes().items()
    ]
    for name, build in BUILDERS_BY_STATE.items():
        # Allocates memory that is needed once per process, such as caches, so
        # that it is not measured.
        build(10)
        bytes_per_item = (
            measure_state_bytes(build, LARGE_COUNT)
            - measure_state_bytes(build, SMALL_COUNT)
        ) / (LARGE_COUNT - SMALL_COUNT)
        rows.append([name, f'{bytes_per_item:.0f}'])
    tables.write(
        'state_memory',
        'Memory by state',
        'make bench-memory',
        ['state', 'bytes each'],
        rows,
    )


if __name__ == '__main__':
    main()
