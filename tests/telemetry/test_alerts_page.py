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
GAUGE_NAME = re.compile('[a-z_]+')


def find_exported_metrics():
    """Return the names of all collectors of a process."""
    registry = metrics.Metrics('agent-1', 'agent').registry
    return {collector.name for collector in registry.get_all()}


def find_exported_gauges():
    """Return the names of all gauges that the modules in shells set."""
    names = set()
    for path in SHELLS:
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.FunctionDef(name='_set_gauges' | 'set_gauges'):
                    names |= find_gauge_names(node)
    # 'name' is the label of the gauges and not the name of a gauge.
    return names - {'name'}


def find_gauge_names(function):
    """Return the string literals of a function that are gauge names."""
    return {
        node.value
        for node in ast.walk(function)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and GAUGE_NAME.fullmatch(node.value)
    }


@pytest.mark.parametrize('name', sorted(find_exported_metrics()))
def test_every_metric_is_described(name):
    assert f'| `{name}` |' in PAGE


@pytest.mark.parametrize('name', sorted(find_exported_gauges()))
def test_every_gauge_is_described(name):
    tables = PAGE.partition('## Alerts')[0]
    assert f'`{name}`' in tables


def test_alerts_use_only_exported_metrics():
    alerts = PAGE.partition('## Alerts')[2]
    used_metrics = {
        re.sub(HISTOGRAM_SUFFIXES, '', name)
        for name in re.findall(r'gentianspoke_[a-z_]+', alerts)
    }
    assert used_metrics and used_metrics <= find_exported_metrics()
    used_gauges = set(re.findall(r'name="([a-z_]+)"', alerts))
    assert used_gauges and used_gauges <= find_exported_gauges()
