"""Conversion of inquiries about flows and of their replies to protobuf."""

from gentianspoke.core import frames
from gentianspoke import errors
from gentianspoke.generated import envelope_pb2


def encode_inquiry(frame: frames.FlowInquiry) -> envelope_pb2.Body:
    """Return an inquiry as a protobuf message."""
    return envelope_pb2.Body(
        sender=frame.sender,
        logical=frame.logical,
        flow_inquiry=envelope_pb2.FlowInquiry(
            pool=frame.pool,
            service=frame.service,
            number=frame.number,
            keys=frame.keys,
            instances=frame.instances,
        ),
    )


def decode_inquiry(body: envelope_pb2.Body) -> frames.FlowInquiry:
    """Return the inquiry that a protobuf message holds.

    Raises :class:`gentianspoke.errors.PacketError` if it lists too many flows.
    """
    inquiry = body.flow_inquiry
    if len(inquiry.keys) > frames.MAX_INQUIRY_FLOWS:
        raise errors.PacketError('long-inquiry')
    return frames.FlowInquiry(
        pool=inquiry.pool,
        service=inquiry.service,
        number=inquiry.number,
        keys=tuple(inquiry.keys),
        instances=tuple(inquiry.instances),
        sender=body.sender,
        logical=body.logical,
    )


def encode_reply(frame: frames.FlowInquiryReply) -> envelope_pb2.Body:
    """Return the reply to an inquiry as a protobuf message."""
    return envelope_pb2.Body(
        sender=frame.sender,
        logical=frame.logical,
        flow_inquiry_reply=envelope_pb2.FlowInquiryReply(
            pool=frame.pool,
            number=frame.number,
            owned=frame.owned,
            absent=frame.absent,
            lists_all=frame.lists_all,
        ),
    )


def decode_reply(body: envelope_pb2.Body) -> frames.FlowInquiryReply:
    """Return the reply that a protobuf message holds."""
    reply = body.flow_inquiry_reply
    return frames.FlowInquiryReply(
        pool=reply.pool,
        number=reply.number,
        owned=reply.owned,
        absent=reply.absent,
        lists_all=reply.lists_all,
        sender=body.sender,
        logical=body.logical,
    )
