"""Measure the time per packet at the entry, the agent and a bare forwarder.

Command: ``make bench-datapath``. Each round sends one burst for each case to
a socket on loopback. It times only the receiving side: reading the burst,
deciding and sending. The bare forwarder reads and sends in the same way, but
decides nothing. All cases take turns within one run, so that noise affects
them alike and their ratios stay comparable.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import statistics
import time

import dpkt

from benchmarks import tables
from gentianspoke import clock
from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import lifecycle
from gentianspoke.decisions import routing
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells import entry as entry_shell
from gentianspoke.shells import feed_client
from gentianspoke.shells import paced_link
from gentianspoke.shells import process
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

HOST = '127.0.0.1'
ROUND_COUNT = 400
BURST_PACKETS = 64
# Each packet of a case belongs to a different flow.
FLOW_COUNT = ROUND_COUNT * BURST_PACKETS
PAYLOAD_BYTES = 512
MEMBER_COUNT = 7
SERVICE_ADDRESS = bytes((10, 1, 0, 1))
SERVICE_PORT = 443
NS_PER_US = 1_000
US_PER_S = 1_000_000
RING = keys.KeyRing(1, {1: bytes(range(32))})

PacketHandler = collections.abc.Callable[[bytes, tuple[str, int]], object]


@dataclasses.dataclass(slots=True)
class Case:
    """A way to handle packets, and how long its bursts took so far.

    The benchmark sends ``packets`` to ``sock`` and calls ``handle`` with the
    data and the sender's address of each datagram that ``sock`` receives.
    """

    name: str
    sock: datagrams.DatagramSocket
    packets: list[bytes]
    handle: PacketHandler
    burst_times_ns: list[int] = dataclasses.field(default_factory=list)

    def compute_us_per_packet(self) -> float:
        """Return the median time per packet in microseconds."""
        return (
            statistics.median(self.burst_times_ns) / BURST_PACKETS / NS_PER_US
        )


def make_segment(number: int, flags: int, *, is_reply: bool = False) -> bytes:
    """Return an IP packet with a TCP segment of the flow ``number``.

    It goes from the caller to the service, or from the service to the caller
    if ``is_reply`` is true.
    """
    # 167_772_160 is the address 10.0.0.0.
    caller = (167_772_160 + number).to_bytes(4, 'big')
    endpoints = ((caller, 9_999), (SERVICE_ADDRESS, SERVICE_PORT))
    source, destination = reversed(endpoints) if is_reply else endpoints
    payload = b'' if flags & packets.SYN else bytes(PAYLOAD_BYTES)
    tcp_segment = dpkt.tcp.TCP(
        sport=source[1],
        dport=destination[1],
        seq=1 + number,
        ack=1,
        flags=flags,
        data=payload,
    )
    return ip.make_packet(source[0], destination[0], packets.TCP, tcp_segment)


def make_process(role: settings.Role) -> process.Process:
    """Return a process that logs errors only and serves no metrics."""
    cfg = settings.Settings(
        instance='agent-1',
        zone='zone-1',
        key_file='',
        log_file=None,
        log_level='ERROR',
        metrics=None,
        grace_ms=0,
        feeds=(),
        role=role,
    )
    own_clock = clock.Clock()
    logs.configure(None, 'ERROR')
    return process.Process(
        cfg=cfg,
        clock=own_clock,
        ring=RING,
        events=logs.EventLog('agent-1', 'agent', own_clock),
        metrics=metrics.Metrics('agent-1', 'agent'),
        life=lifecycle.Lifecycle(lambda state: None),
        stop=asyncio.Event(),
    )


def make_service() -> services.Service:
    """Return the only service of the benchmark.

    Its limits are far above the load, so that they affect no flow.
    """
    limits = services.Limits(
        connections=10 * FLOW_COUNT, bound_permille=10_000
    )
    return services.Service(
        number=1,
        name='board',
        owner='owner',
        address=SERVICE_ADDRESS,
        ports=(SERVICE_PORT,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=limits,
        version=1,
    )


def make_view(own_number: int, member_address: tuple[str, int]) -> views.View:
    """Return a view of ``MEMBER_COUNT`` members with the same address.

    One of them has the member number ``own_number``.
    """
    members = [
        views.Member(
            number=number,
            instance=f'agent-{number}',
            host=member_address[0],
            port=member_address[1],
            zone='zone-1',
            weight=100,
            state=views.State.LIVE,
            joined_view=1,
            acked_view=1,
        )
        for number in sorted({own_number, *range(1, MEMBER_COUNT)})
    ]
    return views.View(1, 1, tuple(members))


def make_entry_case(
    sock: datagrams.DatagramSocket, sink_address: tuple[str, int]
) -> tuple[Case, process.Process]:
    """Return the case of an entry that forwards segments of open flows.

    The entry's process is returned too, because it counts the packets.
    """
    proc = make_process(settings.EntrySettings(sock.address))
    link = paced_link.Link(sock, proc.clock, 0)
    entry = entry_shell.Entry(proc, sock, ip, link)
    entry.apply_update(feed_client.CatalogueUpdate(True, 1, [make_service()]))
    entry.apply_update(make_view(MEMBER_COUNT, sink_address))
    # An entry forwards nothing until a majority has confirmed its feed.
    entry.apply_update(feed_client.SourceConfirmation(0, 1))
    raw_packets = [
        make_segment(number, packets.ACK) for number in range(FLOW_COUNT)
    ]
    return Case('entry', sock, raw_packets, entry.handle_packet), proc


def make_agent(
    sock: datagrams.DatagramSocket,
    upstream_sock: datagrams.DatagramSocket,
    sink_address: tuple[str, int],
) -> agent_shell.Agent:
    """Return an agent whose upstream and fabric are at ``sink_address``.

    ``sock`` receives the agent's frames, and ``upstream_sock`` the replies of
    its upstream.
    """
    role = settings.AgentSettings(
        listen=sock.address,
        upstream_side=upstream_sock.address,
        upstream=sink_address,
        status=None,
        fabric=sink_address,
        services=('board',),
        slots=4,
        connections=10 * FLOW_COUNT,
        weight=100,
        ramp_ms=0,
    )
    proc = make_process(role)
    agent = agent_shell.Agent(
        proc, role, ip, sock, upstream_sock, 'one', False
    )
    agent.state.joining = False
    agent.apply_update(feed_client.CatalogueUpdate(True, 1, [make_service()]))
    agent.apply_update(make_view(agent.state.number, sink_address))
    return agent


def make_frames(agent: agent_shell.Agent, flags: int) -> list[bytes]:
    """Return one encoded frame for each flow that offers it to the agent.

    Each frame carries a segment with the TCP flags ``flags``.
    """
    table = routing.RouteTable()
    table.set_catalogue(1, [make_service()])
    table.set_view(agent.state.rankings[1].view)
    encoded_frames: list[bytes] = []
    for number in range(FLOW_COUNT):
        packet = ip.parse(make_segment(number, flags))
        match routing.route(table, packet):
            case actions.SendFrame(forward=forward):
                forward.target = agent.state.number
                # An agent accepts an offer even if the home of the bucket
                # is another member.
                forward.purpose = frames.Purpose.OFFER
                forward.sender = agent.state.number
                encoded_frames.append(frame.encode(forward, RING))
    return encoded_frames


async def measure_burst(case: Case, sender: datagrams.DatagramSocket) -> None:
    """Send one burst, handle it and record how long the handling took."""
    first_index = len(case.burst_times_ns) * BURST_PACKETS
    for offset in range(BURST_PACKETS):
        data = case.packets[(first_index + offset) % len(case.packets)]
        sender.send(data, case.sock.address)
    start_ns = time.perf_counter_ns()
    handled_count = 0
    while handled_count < BURST_PACKETS:
        for data, address in await case.sock.receive_burst():
            case.handle(data, address)
            handled_count += 1
    case.burst_times_ns.append(time.perf_counter_ns() - start_ns)


async def discard_received(sink: datagrams.DatagramSocket) -> None:
    """Read and discard datagrams at the sink until none is left."""
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(0):
                await sink.receive_burst()


async def measure_cases() -> list[Case]:
    """Run ``ROUND_COUNT`` rounds of all cases in turn and return the cases."""
    with contextlib.ExitStack() as stack:

        def open_socket() -> datagrams.DatagramSocket:
            return stack.enter_context(datagrams.open_datagrams((HOST, 0)))

        sender, sink, bare = open_socket(), open_socket(), open_socket()
        requests = [
            make_segment(number, packets.ACK) for number in range(FLOW_COUNT)
        ]
        agent_sock, upstream_sock = open_socket(), open_socket()
        agent = make_agent(agent_sock, upstream_sock, sink.address)
        entry_case, entry_process = make_entry_case(
            open_socket(), sink.address
        )
        replies = [
            make_segment(number, packets.ACK, is_reply=True)
            for number in range(FLOW_COUNT)
        ]
        cases = [
            Case(
                'bare forwarder',
                bare,
                requests,
                lambda data, _: bare.send(data, sink.address),
            ),
            entry_case,
            Case(
                'agent, openings',
                agent_sock,
                make_frames(agent, packets.SYN),
                lambda data, _: agent.handle_frame(data),
            ),
            Case(
                'agent, to upstream',
                agent_sock,
                make_frames(agent, packets.ACK),
                lambda data, _: agent.handle_frame(data),
            ),
            Case(
                'agent, to caller',
                upstream_sock,
                replies,
                lambda data, _: agent.handle_reply(data),
            ),
        ]
        for _ in range(ROUND_COUNT):
            for case in cases:
                await measure_burst(case, sender)
                await discard_received(sink)
        check_forwarded_packets(entry_process)
        check_opened_flows(agent)
        return cases


def check_forwarded_packets(entry_process: process.Process) -> None:
    """Raise ``SystemExit`` if the entry did not forward all its packets.

    The time of a packet that is dropped is not that of the case.
    """
    counts = entry_process.metrics.counts
    if counts.packets['forwarded'] != FLOW_COUNT:
        raise SystemExit(
            f'the entry forwarded {counts.packets["forwarded"]} of'
            f' {FLOW_COUNT} packets and dropped {dict(counts.dropped)}, so the'
            ' times do not cover the measured work'
        )


def check_opened_flows(agent: agent_shell.Agent) -> None:
    """Raise ``SystemExit`` if the agent did not do all the measured work.

    This is so if it did not open all flows, or if it dropped reports on
    flows. The times would then not be those of the cases in the table.
    """
    counts = agent.state.counts[1]
    is_work_incomplete = (
        agent.state.dropped_flow_reports or counts.open_flows != FLOW_COUNT
    )
    if is_work_incomplete:
        raise SystemExit(
            f'{counts.open_flows} of {FLOW_COUNT} flows were opened, or'
            ' reports on flows were dropped, so the times do not cover the'
            ' measured work'
        )


def main() -> None:
    """Measure all cases, then write and print the table."""
    cases = asyncio.run(measure_cases())
    bare_us = cases[0].compute_us_per_packet()
    rows = [
        [
            case.name,
            f'{case.compute_us_per_packet():.1f}',
            f'{US_PER_S / case.compute_us_per_packet():,.0f}',
            f'{case.compute_us_per_packet() / bare_us:.2f}',
        ]
        for case in cases
    ]
    tables.write(
        'datapath',
        f'Cost of a packet of {PAYLOAD_BYTES} bytes, {FLOW_COUNT} flows',
        'make bench-datapath',
        ['case', 'us a packet', 'packets a second', 'ratio to bare'],
        rows,
    )


if __name__ == '__main__':
    main()
