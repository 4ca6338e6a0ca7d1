"""Encoding of the frames that entry instances and agents send each other.

Each frame is carried in an envelope with an authentication tag.
"""

import google.protobuf.message

from gentianspoke.codec import inquiry_body
from gentianspoke.codec import keys
from gentianspoke.core import frames
from gentianspoke import errors
from gentianspoke.generated import envelope_pb2

ENVELOPE_VERSION = 1
# The hop limit ensures that a valid frame lists fewer members than this.
MAX_TRIED_MEMBERS = 64
PURPOSES = {int(purpose): purpose for purpose in frames.Purpose}


def encode(frame: frames.Frame, ring: keys.KeyRing) -> bytes:
    """Return a frame as the bytes of an authenticated envelope."""
    match frame:
        case frames.Forward():
            body = _encode_forward(frame)
        case frames.LoadReport():
            body = _encode_load_report(frame)
        case frames.Owned():
            body = _encode_owned(frame)
        case frames.FlowInquiry():
            body = inquiry_body.encode_inquiry(frame)
        case frames.FlowInquiryReply():
            body = inquiry_body.encode_reply(frame)
    body_bytes = body.SerializeToString()
    envelope = envelope_pb2.Envelope()
    envelope.version = ENVELOPE_VERSION
    if ring.keys:
        envelope.key_id = ring.active_id
        envelope.tag = ring.compute_tag(body_bytes)
    envelope.body = body_bytes
    return envelope.SerializeToString()


def decode(envelope_bytes: bytes, ring: keys.KeyRing) -> frames.Frame:
    """Return the frame that the bytes of an envelope hold.

    Raises :class:`gentianspoke.errors.PacketError` if the bytes are not an
    envelope of this version, if the tag is invalid, or if the frame is
    malformed.
    """
    try:
        envelope = envelope_pb2.Envelope.FromString(envelope_bytes)
    except google.protobuf.message.DecodeError as exc:
        raise errors.PacketError('not-an-envelope') from exc
    if envelope.version != ENVELOPE_VERSION:
        raise errors.PacketError('other-version')
    # Each read of the field copies the body.
    body_bytes = envelope.body
    if ring.keys:
        ring.verify_tag(envelope.key_id, envelope.tag, body_bytes)
    try:
        body = envelope_pb2.Body.FromString(body_bytes)
    except google.protobuf.message.DecodeError as exc:
        raise errors.PacketError('not-a-frame') from exc
    match body.WhichOneof('content'):
        case 'forward':
            return _decode_forward(body)
        case 'load':
            return _decode_load_report(body)
        case 'owned':
            return _decode_owned(body)
        case 'flow_inquiry':
            return inquiry_body.decode_inquiry(body)
        case 'flow_inquiry_reply':
            return inquiry_body.decode_reply(body)
        case _:
            raise errors.PacketError('empty-frame')


def _encode_forward(frame: frames.Forward) -> envelope_pb2.Body:
    # The fields are set one by one, and some of them only if they differ from
    # their default. The constructor with keyword arguments takes three times
    # as long, and this function runs for every packet.
    body = envelope_pb2.Body()
    if frame.sender:
        body.sender = frame.sender
    if frame.logical:
        body.logical = frame.logical
    forward = body.forward
    forward.service = frame.service
    forward.view = frame.view
    forward.bucket = frame.bucket
    forward.target = frame.target
    forward.packet = frame.packet
    forward.hops_left = frame.hops_left
    if frame.purpose:
        forward.purpose = int(frame.purpose)  # type: ignore[assignment]
    if frame.tried:
        forward.tried.extend(frame.tried)
    if frame.wait_left_ms:
        forward.wait_left_ms = frame.wait_left_ms
    if frame.offers_left:
        forward.offers_left = frame.offers_left
    if frame.decider:
        forward.decider = frame.decider
    if frame.pool != frame.service:
        forward.pool = frame.pool
    return body


def _decode_forward(body: envelope_pb2.Body) -> frames.Forward:
    forward = body.forward
    purpose = PURPOSES.get(forward.purpose)
    if purpose is None:
        raise errors.PacketError('unknown-purpose')
    # Most frames were forwarded by no agent before.
    tried = tuple(forward.tried) if forward.tried else ()
    if len(tried) > MAX_TRIED_MEMBERS:
        raise errors.PacketError('long-trail')
    return frames.Forward(
        service=forward.service,
        view=forward.view,
        bucket=forward.bucket,
        target=forward.target,
        packet=forward.packet,
        purpose=purpose,
        tried=tried,
        hops_left=forward.hops_left,
        wait_left_ms=forward.wait_left_ms,
        offers_left=forward.offers_left,
        sender=body.sender,
        decider=forward.decider,
        logical=body.logical,
        pool=forward.pool,
    )


def _encode_load_report(frame: frames.LoadReport) -> envelope_pb2.Body:
    return envelope_pb2.Body(
        sender=frame.sender,
        logical=frame.logical,
        load=envelope_pb2.LoadReport(
            pool=frame.pool,
            open_flows=frame.open_flows,
            running=frame.running,
            queued=frame.queued,
            slots=frame.slots,
            work_us=frame.work_us,
            cold_remaining_ms=frame.cold_remaining_ms,
        ),
    )


def _decode_load_report(body: envelope_pb2.Body) -> frames.LoadReport:
    return frames.LoadReport(
        pool=body.load.pool,
        sender=body.sender,
        open_flows=body.load.open_flows,
        running=body.load.running,
        queued=body.load.queued,
        logical=body.logical,
        slots=body.load.slots,
        work_us=body.load.work_us,
        cold_remaining_ms=body.load.cold_remaining_ms,
    )


def _encode_owned(frame: frames.Owned) -> envelope_pb2.Body:
    return envelope_pb2.Body(
        sender=frame.sender,
        logical=frame.logical,
        owned=envelope_pb2.Owned(
            service=frame.service,
            pool=frame.pool,
            bucket=frame.bucket,
            target=frame.target,
            key=frame.key,
        ),
    )


def _decode_owned(body: envelope_pb2.Body) -> frames.Owned:
    owned = body.owned
    return frames.Owned(
        service=owned.service,
        pool=owned.pool,
        bucket=owned.bucket,
        target=owned.target,
        sender=body.sender,
        key=owned.key,
        logical=body.logical,
    )
