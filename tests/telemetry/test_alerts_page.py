"""Test that the alerts page describes exactly the exported metrics.

A metric without a description, or an alert on a name that no process
exports, would otherwise be noticed only during an incident.
"""

import ast
import pathlib
import re

import pytest

from gentianspoke.telemetry import metrics

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / 'docs/operators/alerts.md').read_text()
SHELLS = sorted((ROOT / 'src/gentianspoke/shells').rglob('*.py'))
# Suffixes of the series that a Prometheus histogram consists of.
HISTOGRAM_SUFFIXES = r'_(count|bucket|sum)$'
GAUGE = re.compile('[a-z_]+')


def exported_metrics():
    """Return the names of all collectors of a process."""
    registry = metrics.Metrics('agent-1', 'agent').registry
    return {collector.name for collector in registry.get_all()}


def exported_gauges():
    """Return the names of all gauges that the modules in shells set."""
    names = set()
    for path in SHELLS:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.FunctionDef(name='_set_gauges' | 'set_gauges'):
                    names |= gauge_names(node)
    return names - {'name'}


def gauge_names(function):
    """Return the string literals of a function that are gauge names."""
    return {
        item.value
        for item in ast.walk(function)
        if isinstance(item, ast.Constant)
        and isinstance(item.value, str)
        and GAUGE.fullmatch(item.value)
    }


@pytest.mark.parametrize('name', sorted(exported_metrics()))
def test_every_metric_is_described(name):
    assert f'| `{name}` |' in PAGE


@pytest.mark.parametrize('name', sorted(exported_gauges()))
def test_every_gauge_is_described(name):
    tables = PAGE.partition('## Alerts')[0]
    assert f'`{name}`' in tables


def test_alerts_use_only_exported_metrics():
    alerts = PAGE.partition('## Alerts')[2]
    named = {
        re.sub(HISTOGRAM_SUFFIXES, '', name)
        for name in re.findall(r'gentianspoke_[a-z_]+', alerts)
    }
    assert named and named <= exported_metrics()
    counts = set(re.findall(r'name="([a-z_]+)"', alerts))
    assert counts and counts <= exported_gauges()
