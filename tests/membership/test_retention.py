"""Silent members stay listed while their upstreams may still run.

Guards against a reset of a flow whose agent restarts as planned, or is cut off
from control, and was removed from the view with its lease: other agents then
asked all listed members about the flow, and not its owner.
"""

import dataclasses

import heartbeats
import pytest

from gentianspoke.decisions.control import membership

RETENTION_MS = 60_000
REMOVAL_MS = heartbeats.LIMITS.removal_timeout_ms
SILENT, OTHER, SUCCESSOR = 1, 2, 3


def keep_alive(members, numbers, until_ms):
    for now in (*range(0, until_ms, 500), until_ms):
        for number in numbers:
            heartbeat = heartbeats.make_heartbeat(number)
            if number == SUCCESSOR:
                heartbeat = dataclasses.replace(
                    heartbeat, instance=f'agent-{SILENT}'
                )
            members.announce(heartbeat, now)
        members.tick(now)


@pytest.mark.parametrize(
    ('retention_ms', 'leaving', 'others', 'silent_ms', 'is_listed'),
    [
        pytest.param(
            RETENTION_MS, False, (OTHER,), REMOVAL_MS, True, id='restarts'
        ),
        pytest.param(
            RETENTION_MS,
            False,
            (OTHER,),
            RETENTION_MS - 1,
            True,
            id='cut-off-for-long',
        ),
        pytest.param(
            RETENTION_MS, False, (OTHER,), RETENTION_MS, False, id='too-long'
        ),
        pytest.param(
            RETENTION_MS,
            True,
            (OTHER,),
            REMOVAL_MS,
            False,
            id='upstream-has-left',
        ),
        pytest.param(
            RETENTION_MS,
            False,
            (OTHER, SUCCESSOR),
            REMOVAL_MS,
            False,
            id='upstream-has-restarted',
        ),
        pytest.param(
            0, False, (OTHER,), REMOVAL_MS, False, id='without-the-setting'
        ),
    ],
)
def test_a_silent_member_stays_listed_while_its_upstream_may_run(
    retention_ms, leaving, others, silent_ms, is_listed
):
    limits = dataclasses.replace(heartbeats.LIMITS, retention_ms=retention_ms)
    members = membership.Membership(1, limits, 0)
    members.announce(heartbeats.make_heartbeat(SILENT), 0)
    if leaving:
        members.announce(heartbeats.make_heartbeat(SILENT, leaving=True), 0)
    keep_alive(members, others, silent_ms)
    numbers = {member.number for member in members.get_view(1).members}
    assert (SILENT in numbers) == is_listed
