"""Memory of each kind of state, as a slope over many items.

Command: ``make bench-memory``. Sizes are those that tracemalloc counts
for the real data classes and tables, without the interpreter's own.
"""

import collections.abc
import gc
import tracemalloc

from benchmarks import tables
from gentianspoke.codec import catalogue
from gentianspoke.codec import feed
from gentianspoke.codec import frame
from gentianspoke.codec import keys
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables as flow_tables
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing

FEW = 2 * hashing.BUCKETS_PER_SERVICE
MANY = 12 * hashing.BUCKETS_PER_SERVICE
SERVICE = bytes((10, 1, 0, 1))
PORT = 443

Build = collections.abc.Callable[[int], object]


def key_of(number: int) -> packets.FlowKey:
    """Return the key of the flow with this number."""
    caller = number.to_bytes(4, 'big')
    return packets.make_key(packets.TCP, caller, SERVICE, 9_999, PORT)


def service_of(number: int) -> services.Service:
    """Return a catalogue entry with an address of its own."""
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


def member_of(number: int) -> views.Member:
    """Return a live member."""
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


def agent() -> agent_state.AgentState:
    """Return the state of an agent without flows."""
    return agent_state.AgentState(
        number=1,
        zone='zone',
        capacity=agent_state.Capacity(4, 10**9, 0),
        started_ms=0,
    )


def build_flows(count: int) -> object:
    """Return an agent with so many open flows."""
    state = agent()
    entry = service_of(1)
    for number in range(count):
        flow_tables.open_flow(state, entry, key_of(number), 1, number, 0)
    return state


def build_diversions(count: int) -> object:
    """Return an agent that placed so many flows elsewhere."""
    state = agent()
    for number in range(count):
        diversion = records.Diversion(
            target=2, isn=number, service=1, bucket=1, view=1, used_ms=0
        )
        diversion_table.add(state, key_of(number), diversion)
    return state


def build_entries(count: int) -> object:
    """Return an entry's table with so many catalogue entries."""
    table = routing.RouteTable()
    table.set_catalogue(1, [service_of(item) for item in range(1, count + 1)])
    return table


def build_members(count: int) -> object:
    """Return views of three members each, with so many members in all."""
    table = routing.RouteTable()
    for service in range(count // 3):
        members = tuple(member_of(service * 3 + item) for item in range(3))
        table.set_view(views.View(service, 1, members))
    return table


def build_orders(count: int) -> object:
    """Return rankings of seven members with so many orders computed."""
    return _rankings(count, lambda ranking, bucket: ranking.order(bucket))


def build_homes(count: int) -> object:
    """Return rankings of seven members with so many homes computed."""
    return _rankings(count, lambda ranking, bucket: ranking.home(bucket))


def _rankings(
    count: int, ask: collections.abc.Callable[[hashing.Ranking, int], object]
) -> list[hashing.Ranking]:
    members = tuple(member_of(item) for item in range(7))
    rankings: list[hashing.Ranking] = []
    for service in range(count // hashing.BUCKETS_PER_SERVICE):
        ranking = hashing.Ranking(views.View(service, 1, members))
        for bucket in range(hashing.BUCKETS_PER_SERVICE):
            ask(ranking, bucket)
        rankings.append(ranking)
    return rankings


BUILDS: dict[str, Build] = {
    'open flow, agent': build_flows,
    'diversion, agent': build_diversions,
    'catalogue entry, entry': build_entries,
    'member of a view': build_members,
    'order of a bucket of 7 members, agent': build_orders,
    'home of a bucket of 7 members, entry': build_homes,
}


def size_of(build: Build, count: int) -> int:
    """Return the bytes that a build of so many items holds."""
    gc.collect()
    tracemalloc.start()
    held = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size


def message_sizes() -> dict[str, int]:
    """Return the bytes of messages, without what carries them."""
    members = tuple(member_of(item) for item in range(1, 4))
    view = views.View(1, views.make_view_number(1, 5), members)
    ring = keys.KeyRing(1, {1: bytes(32)})
    report = frames.LoadReport(1_000, members[0].number, 2_000, 4, 3)
    entry = catalogue.encode_entry(service_of(53_000))
    return {
        'message: catalogue entry': entry.ByteSize(),
        'message: view of 3 members': feed.encode_view(view).ByteSize(),
        'message: load report': len(frame.encode(report, ring)),
    }


def main() -> None:
    """Print the bytes of one item of each kind."""
    rows = [[name, str(size)] for name, size in message_sizes().items()]
    for name, build in BUILDS.items():
        build(10)
        slope = (size_of(build, MANY) - size_of(build, FEW)) / (MANY - FEW)
        rows.append([name, f'{slope:.0f}'])
    tables.write(
        'state_memory',
        'Memory by state',
        'make bench-memory',
        ['state', 'bytes each'],
        rows,
    )


if __name__ == '__main__':
    main()
