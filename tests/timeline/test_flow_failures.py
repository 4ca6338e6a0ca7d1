"""Test that failed flows are found and attributed to the part at fault."""

import event_builders
import pytest

from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import events
from gentianspoke.decisions.timeline import flow_failures

FLOW = event_builders.FLOW
NO_UPSTREAM = events.FlowRefused('no-upstream')
NO_OWNER = events.FlowReset('no-owner')
SILENT = event_builders.verdict(up_repeats=4)


def collect_failures(*bodies):
    """Return a collector that has processed events one second apart.

    Each item of ``bodies`` is the body of an event of agent-1, or a pair of
    the name of another instance and the body of its event.
    """
    collector = flow_failures.FailureCollector()
    for number, item in enumerate(bodies, start=1):
        instance, body = item if isinstance(item, tuple) else ('agent-1', item)
        is_flow = isinstance(
            body, events.FlowVerdict | events.FlowRefused | events.FlowReset
        )
        collector.process_event(
            event_builders.event(
                body,
                instance,
                logical=number,
                wall_ms=number * 1_000,
                flow=FLOW if is_flow else '',
            )
        )
    return collector


@pytest.mark.parametrize(
    ('bodies', 'fault', 'outcome'),
    [
        pytest.param([SILENT], 'network', 'silent', id='verdict'),
        pytest.param(
            [events.FlowRefused('no-capacity')],
            'upstream',
            'refused-not-run',
            id='no-capacity',
        ),
        pytest.param(
            [events.FlowRefused('wait-expired')],
            'upstream',
            'refused-not-run',
            id='no-slot-in-time',
        ),
        pytest.param(
            [NO_UPSTREAM], 'upstream', 'refused-not-run', id='no-upstream'
        ),
        pytest.param(
            [
                events.FeedLost('127.0.0.1:1', 'timeout'),
                events.FlowRefused('service-retired'),
            ],
            'none',
            'refused-not-run',
            id='service-retired',
        ),
        pytest.param(
            [events.FeedLost('127.0.0.1:1', 'timeout'), NO_UPSTREAM],
            'balancer',
            'refused-not-run',
            id='no-upstream-in-a-stale-view',
        ),
        pytest.param(
            [events.FlowRefused('draining')],
            'upstream',
            'refused-not-run',
            id='draining',
        ),
        pytest.param(
            [events.FlowRefused('evacuated')],
            'none',
            'refused-not-run',
            id='evacuated',
        ),
        pytest.param(
            [events.FlowRefused('refused-before')],
            'unknown',
            'refused-not-run',
            id='first-refusal-not-in-the-logs',
        ),
        pytest.param(
            [events.FlowReset('silent-network')],
            'network',
            'silent',
            id='verdict-not-in-the-logs',
        ),
        pytest.param(
            [NO_OWNER], 'unknown', 'unknown', id='no-owner-and-no-agent-ended'
        ),
        pytest.param(
            [
                ('agent-2', events.ProcessSyncing()),
                ('agent-2', events.ProcessSyncing()),
                NO_OWNER,
            ],
            'balancer',
            'unknown',
            id='owner-crashed',
        ),
        pytest.param(
            [('agent-2', events.ProcessStopping()), NO_OWNER],
            'balancer',
            'unknown',
            id='owner-stopped',
        ),
        pytest.param(
            [
                ('agent-2', events.ProcessSyncing()),
                ('agent-2', events.ProcessStopping()),
                ('agent-2', events.ProcessStopped()),
                ('agent-2', events.ProcessSyncing()),
                NO_OWNER,
            ],
            'balancer',
            'unknown',
            id='owner-restarted',
        ),
        pytest.param(
            [events.FlowRefused('of-a-later-version')],
            'unknown',
            'refused-not-run',
            id='reason-of-another-version',
        ),
    ],
)
def test_failure_is_attributed_to_a_part_or_reported_as_unknown(
    bodies, fault, outcome
):
    (failure,) = collect_failures(*bodies).finish()
    assert failure.fault == fault
    assert failure.finding.outcome.value == outcome
    assert fault != 'unknown' or failure.finding.unknown


def test_verdict_of_an_agent_replaces_a_refusal_of_the_same_flow():
    verdict = event_builders.verdict(
        verdicts.Fault.UPSTREAM, verdicts.Outcome.REFUSED_NOT_RUN
    )
    (failure,) = collect_failures(
        events.FlowRefused('unknown-reason'), verdict
    ).finish()
    assert failure.fault == 'upstream'
    assert failure.event_count == 2


@pytest.mark.parametrize(
    ('later_bodies', 'failure_count'),
    [
        ([events.FlowReset('silent-network')], 1),
        ([events.FlowRefused('refused-before')], 1),
        ([events.FlowRefused('no-capacity')] * 2, 1),
        # The other events delay the reset beyond SAME_FLOW_WINDOW_MS.
        ([events.ProcessServing()] * 5 + [NO_OWNER], 2),
    ],
)
def test_reset_or_refusal_soon_after_a_verdict_is_merged_with_it(
    later_bodies, failure_count
):
    assert (
        len(collect_failures(SILENT, *later_bodies).finish()) == failure_count
    )


def test_second_verdict_on_a_five_tuple_is_a_second_failure():
    assert len(collect_failures(SILENT, SILENT).finish()) == 2


@pytest.mark.parametrize(
    ('bodies', 'evidence'),
    [
        pytest.param([SILENT], 'up_repeats=4', id='evidence-of-the-agent'),
        pytest.param(
            [events.UpstreamDraining(), SILENT],
            'the upstream beside agent-1 was draining',
            id='drain-of-the-upstream',
        ),
        pytest.param(
            [
                ('entry-1', events.ProcessSyncing()),
                ('entry-1', events.ProcessSyncing()),
                SILENT,
            ],
            'entry-1 ended without a planned stop',
            id='crash-of-another-instance',
        ),
        pytest.param(
            [('control-0', events.ControlIsolated(2_000)), SILENT],
            'control-0 was cut off from a majority of control',
            id='isolated-control',
        ),
    ],
)
def test_a_failure_shows_its_evidence(bodies, evidence):
    (failure,) = collect_failures(*bodies).finish()
    assert evidence in failure.finding.evidence


def test_much_later_event_is_not_evidence():
    collector = flow_failures.FailureCollector()
    later_fields = {'instance': 'agent-2', 'wall_ms': 9_000}
    for _ in range(2):
        syncing = events.ProcessSyncing()
        collector.process_event(event_builders.event(syncing, **later_fields))
    collector.process_event(
        event_builders.event(SILENT, flow=FLOW, wall_ms=5_000)
    )
    (failure,) = collector.finish()
    assert 'agent-2' not in ' '.join(failure.finding.evidence)


def test_missing_evidence_is_reported_as_unknown():
    (failure,) = collect_failures(SILENT).finish()
    assert 'the agent gave no down_repeats' in failure.finding.unknown


def test_a_crash_is_reported_as_a_cause_of_missing_events():
    collector = collect_failures(
        events.ProcessSyncing(), events.ProcessSyncing()
    )
    assert (
        'agent-1 ended without a planned stop'
        in collector.describe_missing_events()[0]
    )


def test_omitted_events_are_reported_as_missing():
    collector = collect_failures(events.EventsOmitted('flow-refused', 7))
    assert (
        '7 events were not written' in collector.describe_missing_events()[0]
    )


def test_failures_are_counted_for_each_service():
    collector = flow_failures.FailureCollector()
    for port, service in ((1, 'booking'), (2, 'booking'), (3, '')):
        flow = f'tcp 10.9.0.1:{port} > 10.1.0.1:443'
        collector.process_event(
            event_builders.event(SILENT, service=service, flow=flow)
        )
    flow = 'tcp 10.9.0.1:9 > 10.1.0.2:443'
    collector.process_event(event_builders.event(NO_UPSTREAM, flow=flow))
    booking, other = flow_failures.summarize_failures(collector.finish())
    assert (booking.service, booking.failures) == ('booking', 3)
    assert (booking.verdict, booking.share_permille) == ('network', 1000)
    assert (other.service, other.not_run) == ('?', 1)
