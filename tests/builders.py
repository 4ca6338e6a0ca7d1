"""Functions that build packets, services, members and views for tests."""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views

CALLER_ADDRESS = bytes((10, 9, 0, 1))
SERVICE_ADDRESS = bytes((10, 1, 0, 1))
SERVICE_PORT = 443


def flow_key(sport: int = 5_000, dport: int = SERVICE_PORT) -> packets.FlowKey:
    """Return the key of a TCP flow from the caller to the service."""
    return packets.make_key(
        packets.TCP, CALLER_ADDRESS, SERVICE_ADDRESS, sport, dport
    )


def segment(
    flags: int = packets.SYN, seq: int = 100, sport: int = 5_000
) -> packets.Segment:
    """Return a TCP segment without payload, a SYN by default."""
    return packets.Segment(flow_key(sport), flags, seq, 0, 0, b'raw')


def service(
    traffic: services.TrafficClass = services.Booking(False),
    number: int = 1,
    **limits: int,
) -> services.Service:
    """Return a service as an accepted catalogue entry describes it."""
    return services.Service(
        number=number,
        name=f'service-{number}',
        owner='owner',
        address=SERVICE_ADDRESS,
        ports=(SERVICE_PORT,),
        protocol=packets.TCP,
        traffic=traffic,
        limits=services.Limits(**limits),
        version=1,
    )


def member(
    number: int,
    state: views.State = views.State.LIVE,
    joined_view: int = 1,
    closed_view: int = 0,
    acked_view: int = 1,
    oldest_flow_view: int = 0,
    recovering: bool = False,
) -> views.Member:
    """Return a member of a view, live unless ``state`` says otherwise."""
    return views.Member(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=9_000 + number,
        zone=f'zone-{number % 3}',
        weight=100,
        state=state,
        joined_view=joined_view,
        closed_view=closed_view,
        acked_view=acked_view,
        oldest_flow_view=oldest_flow_view,
        recovering=recovering,
    )


def view(*members: views.Member, number: int = 1) -> views.View:
    """Return a view of service 1 with the given members."""
    return views.View(1, number, tuple(members))
