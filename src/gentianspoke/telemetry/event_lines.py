"""Decode lines of the log into events, validated by the schema's models."""

import json
import re
import typing

import pydantic

from gentianspoke.core import verdicts
from gentianspoke.decisions.timeline import events
from gentianspoke.generated import event_model

_WORD_BOUNDARY = re.compile(r'(?<!^)(?=[A-Z])')


def derive_kind(model: type[pydantic.BaseModel]) -> str:
    """Return the kind of event whose fields ``model`` describes.

    The kind is the name of the model in lower case, with hyphens between
    its words.
    """
    return _WORD_BOUNDARY.sub('-', model.__name__).lower()


def _collect_models_by_kind() -> dict[str, type[pydantic.BaseModel]]:
    attributes = vars(event_model).values()
    return {
        derive_kind(model): model
        for model in attributes
        if isinstance(model, type)
        and issubclass(model, pydantic.BaseModel)
        and model not in (pydantic.BaseModel, event_model.Event)
    }


# The model of the fields of each kind of event that the schema defines.
MODELS_BY_KIND = _collect_models_by_kind()


def decode(line: str) -> events.Event | None:
    """Return the event on a line, or ``None`` for a log line without one.

    The body is ``OtherKind`` if the kind has no data class, or if the
    fields do not match the schema, as in a line of another version of this
    program. The command ``timeline`` prints an event with this body, but
    ``explain`` does not evaluate the event's fields.

    Raises ``ValueError`` if the line is neither an event nor a log line of
    this program, and ``RecursionError`` if its JSON is nested too deeply.
    """
    content = json.loads(line)
    if not isinstance(content, dict):
        raise ValueError('not a JSON object')
    if 'event' not in content:
        return None
    validated = event_model.Event.model_validate(content)
    return events.Event(
        kind=validated.event,
        instance=validated.instance,
        role=validated.role,
        logical=validated.logical,
        wall_ms=validated.wall_ms,
        service=validated.service,
        flow=validated.flow,
        fields=tuple(validated.fields.items()),
        body=_decode_body(validated),
    )


def _decode_body(validated: event_model.Event) -> events.Body:
    fields_model = MODELS_BY_KIND.get(validated.event)
    if fields_model is None:
        return events.OtherKind()
    try:
        fields = fields_model.model_validate(validated.fields)
    except pydantic.ValidationError:
        # The fields are of another version, so their meaning is unknown.
        # The event is still shown with its fields.
        return events.OtherKind()
    match fields:
        case event_model.FlowVerdict():
            return events.FlowVerdict(_decode_verdict(fields))
        case _:
            data_class: typing.Any = getattr(
                events, fields_model.__name__, None
            )
            if data_class is None:
                return events.OtherKind()
            return data_class(**fields.model_dump())


def _decode_verdict(fields: event_model.FlowVerdict) -> verdicts.Verdict:
    evidence = tuple((fields.model_extra or {}).items())
    return verdicts.Verdict(
        verdicts.Outcome(fields.outcome.value),
        verdicts.Fault(fields.fault.value),
        fields.reason,
        evidence,
    )
