"""Test that names visible outside the process are the documented ones.

Each of them is derived from a name in the code at run time. Renaming that
class, field or state would change a log line, a message or a printed report
without raising an error.
"""

import dataclasses
import json
import pathlib

import pytest

from gentianspoke.commands import catalogue_output
from gentianspoke.core import services
from gentianspoke.decisions.control.replica import group
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions import lifecycle
from gentianspoke.generated import catalogue_pb2
from gentianspoke.generated import replica_pb2
from gentianspoke.shells import catalogue_client
from gentianspoke.telemetry import event_lines
from soak import mechanisms

ROOT = pathlib.Path(__file__).resolve().parents[2]
CATALOGUE_FILE = ROOT / 'schema/models/catalogue_file.json'


def list_field_names(data_class):
    """Return the names of the fields of a data class, in their order."""
    return [field.name for field in dataclasses.fields(data_class)]


def list_schema_classes():
    """Return the traffic classes that the catalogue file's schema allows."""
    schema = json.loads(CATALOGUE_FILE.read_text())
    entry = schema['definitions']['ServiceEntry']
    return entry['properties']['class']['enum']


@pytest.mark.parametrize(
    ('actual', 'documented'),
    [
        pytest.param(
            [f'process-{state}' for state in lifecycle.STATES[1:]],
            [
                'process-syncing',
                'process-serving',
                'process-stopping',
                'process-stopped',
            ],
            id='kinds of events for process states',
        ),
        pytest.param(
            [f'replica-{role}' for role in roles.STATES],
            [
                'replica-follower',
                'replica-pre-candidate',
                'replica-candidate',
                'replica-leader',
            ],
            id='kinds of events for replica roles',
        ),
    ],
)
def test_each_state_has_its_own_kind_of_event(actual, documented):
    assert actual == documented
    assert set(actual) <= set(event_lines.MODELS_BY_KIND)


@pytest.mark.parametrize(
    ('actual', 'documented'),
    [
        pytest.param(
            [
                traffic_class.__name__.lower()
                for traffic_class in (
                    services.Board,
                    services.Booking,
                    services.Upload,
                    services.Download,
                )
            ],
            list_schema_classes(),
            id='traffic classes of a catalogue file',
        ),
        pytest.param(
            list_field_names(services.Limits),
            list(catalogue_pb2.Limits.DESCRIPTOR.fields_by_name),
            id='fields of Limits in a catalogue message',
        ),
        pytest.param(
            list_field_names(group.Member),
            list(replica_pb2.GroupMember.DESCRIPTOR.fields_by_name),
            id='fields of GroupMember in a replica message',
        ),
        pytest.param(
            list_field_names(catalogue_output.Change),
            ['name', 'field', 'old', 'new'],
            id='JSON keys of catalogue diff',
        ),
        pytest.param(
            list_field_names(catalogue_client.Status),
            [
                'address',
                'role',
                'term',
                'version',
                'confirmed_age_ms',
                'leader',
                'consumers',
                'in_force',
                'laggards',
                'complete',
                'evacuated_zones',
            ],
            id='JSON keys of catalogue status',
        ),
    ],
)
def test_external_names_are_the_documented_ones(actual, documented):
    assert sorted(actual) == sorted(documented)


@pytest.mark.parametrize('mechanism', list(mechanisms.Mechanism))
def test_the_soak_replaces_only_existing_attributes(monkeypatch, mechanism):
    replaced = []

    def record(owner, name, replacement):
        replaced.append((owner, name))

    monkeypatch.setattr(mechanisms, 'setattr', record, raising=False)
    mechanisms.disable(mechanism)
    assert replaced
    assert all(hasattr(owner, name) for owner, name in replaced)
