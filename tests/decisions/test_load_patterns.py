"""Load patterns of the replay: what describes no load is refused."""

import pytest

from benchmarks.policy import patterns

VALID = """
name: small
upstreams: 3
speeds: [0.6, 1.6]
utilisation: 0.5
"""


# Failure: a misspelt or impossible value is ignored, and a table shows the
# results of another load than its row names.
@pytest.mark.parametrize(
    'line',
    [
        'utilization: 0.9',
        'upstreams: 0',
        'speeds: []',
        'speeds: [0.0]',
        'utilisation: -1.0',
        'wave: 1.0',
        'long_share: 1.5',
        'requests_per_flow: 0.5',
        'fault: unknown',
    ],
)
def test_an_invalid_pattern_is_refused(tmp_path, line):
    path = tmp_path / 'pattern.yaml'
    key = line.partition(':')[0]
    kept = [item for item in VALID.splitlines() if not item.startswith(key)]
    path.write_text('\n'.join([*kept, line]))
    with pytest.raises(ValueError):
        patterns.load(path)


def test_the_patterns_of_the_benchmark_are_valid():
    names = [pattern.name for pattern in patterns.load_all()]
    assert len(set(names)) == len(names) > 0
