"""Test that written events match the schema and can be read back."""

import ast
import dataclasses
import json
import pathlib
import typing

import loguru
import pytest

from gentianspoke import clock
from gentianspoke.decisions.timeline import events
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import event_lines
from gentianspoke.telemetry import logs

ROOT = pathlib.Path(__file__).resolve().parents[2]
SCHEMA = json.loads((ROOT / 'schema/models/event.json').read_text())
# The schema's fields of each kind, by the name of the kind's definition.
FIELDS = {
    name: definition.get('properties', {})
    for name, definition in SCHEMA['definitions'].items()
}
# Example values by the JSON type of a field.
EXAMPLES = {'string': 'some text', 'integer': 3, 'boolean': True}


@pytest.fixture(autouse=True)
def _remove_log_handlers():
    yield
    loguru.logger.remove()


def make_fields(model_name):
    """Return example values for the fields of a definition in the schema."""
    return {
        name: field.get('enum', [EXAMPLES[field['type']]])[0]
        for name, field in FIELDS[model_name].items()
    }


def write_and_read(tmp_path, *writes):
    """Write events and return the events read back, with the counts.

    Each item of ``writes`` is a kind of event with its fields.
    """
    path = tmp_path / 'agent-1.jsonl'
    logs.configure(str(path), 'INFO')
    log = logs.EventLog('agent-1', 'agent', clock.ManualClock(5))
    for kind, fields in writes:
        log.write(kind, **fields)
    counts = event_files.ReadCounts()
    (stream,) = event_files.open_streams([str(path)], counts)
    return list(stream), counts


@pytest.mark.parametrize('model_name', sorted(FIELDS))
def test_every_kind_is_read_back_as_it_was_written(tmp_path, model_name):
    kind = next(
        kind
        for kind, model in event_lines.MODELS_BY_KIND.items()
        if model.__name__ == model_name
    )
    (event,), _ = write_and_read(tmp_path, (kind, make_fields(model_name)))
    assert dict(event.fields) == make_fields(model_name)
    expected_class = getattr(events, model_name, events.OtherKind)
    assert type(event.body) is expected_class
    if expected_class not in (events.FlowVerdict, events.OtherKind):
        assert dataclasses.asdict(event.body) == make_fields(model_name)


def test_a_verdict_keeps_its_additional_fields_as_evidence(tmp_path):
    fields = {**make_fields('FlowVerdict'), 'unanswered_ms': 9, 'view': 4}
    (event,), _ = write_and_read(tmp_path, ('flow-verdict', fields))
    assert event.body.verdict.evidence == (('unanswered_ms', 9), ('view', 4))


def test_events_beyond_the_rate_limit_are_omitted_and_counted(tmp_path):
    path = tmp_path / 'agent-1.jsonl'
    logs.configure(str(path), 'INFO')
    time = clock.ManualClock(5)
    log = logs.EventLog('agent-1', 'agent', time)
    for _ in range(logs.MAX_EVENTS_PER_WINDOW + 7):
        log.write('flow-refused', reason='no-capacity')
    log.write('process-serving')
    time.advance(logs.EVENT_WINDOW_MS)
    log.write('flow-refused', reason='no-capacity')
    (stream,) = event_files.open_streams([str(path)], event_files.ReadCounts())
    *_, serving, omitted, refused = stream
    assert serving.logical == logs.MAX_EVENTS_PER_WINDOW + 1
    assert omitted.body == events.EventsOmitted('flow-refused', 7)
    assert refused.kind == 'flow-refused'


@pytest.mark.parametrize(
    ('kind', 'fields'),
    [
        pytest.param('of-a-later-version', {'x': 1}, id='unknown-kind'),
        pytest.param('catalogue-in-force', {}, id='missing-field'),
        pytest.param(
            'flow-verdict',
            {'outcome': 'vanished', 'fault': 'none', 'reason': ''},
            id='unknown-outcome',
        ),
    ],
)
def test_an_event_of_another_version_becomes_other_kind(
    tmp_path, kind, fields
):
    (event,), _ = write_and_read(tmp_path, (kind, fields))
    assert event.body == events.OtherKind()
    assert dict(event.fields) == fields


def test_every_data_class_corresponds_to_a_kind_of_the_schema():
    body_names = {body.__name__ for body in typing.get_args(events.Body)}
    assert body_names - {'OtherKind'} <= set(FIELDS)


def find_event_writes():
    """Yield the location, kind and field names of each event write in src."""
    for path in sorted((ROOT / 'src').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(
                        attr='write' | '_write_flow', value=owner
                    ),
                    args=[ast.Constant(value=str(kind)), *_],
                    keywords=keywords,
                ) if 'events' in ast.unparse(owner) or 'self' == ast.unparse(
                    owner
                ):
                    names = {
                        keyword.arg for keyword in keywords if keyword.arg
                    }
                    yield f'{path.name}:{node.lineno}', kind, names


def test_the_source_writes_only_kinds_and_fields_of_the_schema():
    writes = list(find_event_writes())
    assert writes
    for location, kind, names in writes:
        model = event_lines.MODELS_BY_KIND.get(kind)
        assert model is not None, f'{location}: {kind} is not in event.json'
        allowed_names = {'service', 'flow', *FIELDS[model.__name__]}
        assert (
            names <= allowed_names
        ), f'{location}: {names - allowed_names} not in event.json'
