"""Reports the state of this instance in the group by metrics and events."""

import asyncio

from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

POLL_INTERVAL_S = 0.25
# An instance that no majority has confirmed for this long is reported as
# isolated. Consumers leave a source earlier, after
# ``feed_client.MAX_STALENESS_MS``.
MAX_CONFIRMED_AGE_MS = 2_000


async def report_state(
    proc: process.Process, log: replicated_log.ReplicatedLog
) -> None:
    """Set the gauges, and report isolation and its end, until cancelled."""
    # No majority has confirmed an instance that has just started.
    is_isolated = True
    evacuated_zones: frozenset[str] = frozenset()
    while True:
        age_ms = log.get_confirmed_age_ms()
        _set_gauges(proc, log, age_ms)
        report_evacuations(proc, log, evacuated_zones)
        evacuated_zones = log.catalogue.evacuated_zones
        if (age_ms >= MAX_CONFIRMED_AGE_MS) != is_isolated:
            is_isolated = not is_isolated
            name = 'control-isolated' if is_isolated else 'control-confirmed'
            proc.events.write(name, confirmed_age_ms=age_ms)
        await asyncio.sleep(POLL_INTERVAL_S)


def report_evacuations(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    earlier_zones: frozenset[str],
) -> None:
    """Report the zones whose evacuation this instance has started or ended.

    Each instance reports what it applies, so that the report does not depend
    on the leader that accepted the order. An instance that restarts reports
    the zones that are evacuated then.
    """
    zones = log.catalogue.evacuated_zones
    version = log.catalogue.version
    for zone in sorted(zones - earlier_zones):
        proc.events.write('evacuation-started', zone=zone, version=version)
    for zone in sorted(earlier_zones - zones):
        proc.events.write('evacuation-ended', zone=zone, version=version)


def _set_gauges(
    proc: process.Process, log: replicated_log.ReplicatedLog, age_ms: int
) -> None:
    state = log.replica.state
    values = {
        'log_leads': int(log.is_leader),
        'log_can_write': int(state.can_write),
        'log_term': state.term,
        'log_voters': len(state.group.voters),
        'log_committed_index': state.commit_index,
        'log_kept_records': len(state.log.records),
        'log_confirmed_age_ms': age_ms,
        'catalogue_version': log.catalogue.version,
        'evacuated_zones': len(log.catalogue.evacuated_zones),
    }
    for name, value in values.items():
        proc.metrics.set_gauge(name, value)
