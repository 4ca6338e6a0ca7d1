"""Measure the speed and memory of building a time line and explaining it.

A time line lists the events of several instances in causal order. To explain
it is to find out why flows failed.

Run ``python -m benchmarks.time_line [EVENTS]`` in the repository's root with
``src`` on ``PYTHONPATH``. Every tenth event is a verdict on a failed flow.
"""

import json
import pathlib
import random
import resource
import sys
import tempfile
import time

from gentianspoke.decisions.timeline import flow_failures
from gentianspoke.decisions.timeline import merging
from gentianspoke.telemetry import event_files

SEED = 11
INSTANCE_COUNT = 10
DEFAULT_EVENT_COUNT = 200_000
KB_PER_MB = 1_024


def write_log_files(folder: pathlib.Path, event_count: int) -> list[str]:
    """Write one log file for each instance and return the paths.

    The files hold ``event_count`` events in all. The logical clock of an
    instance advances by a random step of 1 to 3 between its events.
    """
    rng = random.Random(SEED)
    paths: list[str] = []
    for number in range(INSTANCE_COUNT):
        path = folder / f'agent-{number}.jsonl'
        paths.append(str(path))
        logical_clock = 0
        with path.open('w') as file:
            for index in range(event_count // INSTANCE_COUNT):
                logical_clock += rng.randrange(1, 4)
                event = _make_event(
                    f'agent-{number}', logical_clock, index, rng
                )
                file.write(json.dumps(event) + '\n')
    return paths


def _make_event(
    instance: str, logical_clock: int, index: int, rng: random.Random
) -> dict[str, object]:
    is_verdict = index % 10 == 0
    verdict = {'outcome': 'silent', 'fault': 'network', 'reason': 'silence'}
    port = rng.randrange(1024, 65_536)
    return {
        'event': 'flow-verdict' if is_verdict else 'catalogue-in-force',
        'instance': instance,
        'role': 'agent',
        'logical': logical_clock,
        'wall_ms': index,
        'service': 'booking' if is_verdict else '',
        'flow': f'tcp 10.9.0.1:{port} > 10.1.0.1:443' if is_verdict else '',
        'fields': verdict if is_verdict else {'version': logical_clock},
    }


def main() -> None:
    """Print one row for merging alone and one for merging and explaining.

    A row shows the number of events read, the events per second and the peak
    resident memory of this process so far in MB.
    """
    event_count = (
        int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_EVENT_COUNT
    )
    with tempfile.TemporaryDirectory() as scratch:
        paths = write_log_files(pathlib.Path(scratch), event_count)
        for case, collector in (
            ('merge', None),
            ('explain', flow_failures.FailureCollector()),
        ):
            start_s = time.perf_counter()
            counts = event_files.ReadCounts()
            streams = event_files.open_streams(paths, counts)
            for event in merging.merge(streams):
                if collector is not None:
                    collector.process_event(event)
            events_per_s = counts.events / (time.perf_counter() - start_s)
            peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            print(
                f'{case:8} {counts.events:>8} events'
                f' {events_per_s:>8.0f} a second'
                f' peak {peak_kb // KB_PER_MB} MB'
            )


if __name__ == '__main__':
    main()
