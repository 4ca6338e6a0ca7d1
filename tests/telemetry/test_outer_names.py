"""Names that leave the process at run time are the documented ones.

Each of them is made from a name in the code, so that a renamed class, field
or state would change a log line, a message or a printed report without any
error.
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


def field_names(data_class):
    """Return the names of a data class's fields, in their order."""
    return [item.name for item in dataclasses.fields(data_class)]


def schema_classes():
    """Return the traffic classes that a catalogue file may name."""
    schema = json.loads(CATALOGUE_FILE.read_text())
    entry = schema['definitions']['ServiceEntry']
    return entry['properties']['class']['enum']


@pytest.mark.parametrize(
    ('made', 'documented'),
    [
        pytest.param(
            [f'process-{state}' for state in lifecycle.STATES[1:]],
            [
                'process-syncing',
                'process-serving',
                'process-stopping',
                'process-stopped',
            ],
            id='events of process states',
        ),
        pytest.param(
            [f'replica-{role}' for role in roles.STATES],
            [
                'replica-follower',
                'replica-pre-candidate',
                'replica-candidate',
                'replica-leader',
            ],
            id='events of replica roles',
        ),
    ],
)
def test_each_state_has_its_kind_of_event(made, documented):
    assert made == documented
    assert set(made) <= set(event_lines.MODELS)


@pytest.mark.parametrize(
    ('made', 'documented'),
    [
        pytest.param(
            [
                kind.__name__.lower()
                for kind in (
                    services.Board,
                    services.Booking,
                    services.Upload,
                )
            ],
            schema_classes(),
            id='traffic classes of a catalogue file',
        ),
        pytest.param(
            field_names(services.Limits),
            list(catalogue_pb2.Limits.DESCRIPTOR.fields_by_name),
            id='limits in a catalogue message',
        ),
        pytest.param(
            field_names(group.Member),
            list(replica_pb2.GroupMember.DESCRIPTOR.fields_by_name),
            id='member of the control group in a message',
        ),
        pytest.param(
            field_names(catalogue_output.Change),
            ['name', 'field', 'old', 'new'],
            id='JSON of catalogue diff',
        ),
        pytest.param(
            field_names(catalogue_client.Status),
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
            ],
            id='JSON of catalogue status',
        ),
    ],
)
def test_names_written_out_are_the_documented_ones(made, documented):
    assert sorted(made) == sorted(documented)


@pytest.mark.parametrize('mechanism', list(mechanisms.Mechanism))
def test_a_mechanism_that_the_soak_takes_out_exists(monkeypatch, mechanism):
    replaced = []

    def record(owner, name, replacement):
        replaced.append((owner, name))

    monkeypatch.setattr(mechanisms, 'setattr', record, raising=False)
    mechanisms.disable(mechanism)
    assert replaced
    assert all(hasattr(owner, name) for owner, name in replaced)
