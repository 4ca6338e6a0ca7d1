"""Build agents' heartbeats for tests, and limits for a membership."""

from gentianspoke.core import views
from gentianspoke.decisions.control import membership

LIMITS = membership.MembershipLimits(lease_ms=3_000, suspect_timeout_ms=1_800)


def make_heartbeat(
    number=1, state=views.State.LIVE, services=(1,), acked_view=0, **fields
):
    """Return an agent's heartbeat that acknowledges ``acked_view``.

    ``acked_view`` is a view number, which the heartbeat reports for each of
    its services. ``fields`` are further fields of the announcement, or
    replace their defaults.
    """
    reports = tuple(
        membership.ServiceReport(service, acked_view) for service in services
    )
    other_fields = {
        'weight': 100,
        'recovering': False,
        'leaving': False,
    } | fields
    return membership.Announcement(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=9_000 + number,
        zone='zone-a',
        state=state,
        services=services,
        reports=reports,
        **other_fields,
    )
