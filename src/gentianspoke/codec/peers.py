"""Conversion of messages among control instances to protobuf and back."""

from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control.replica import messages
from gentianspoke import errors
from gentianspoke.generated import replica_pb2


def encode_request(
    request: messages.VoteRequest | messages.AppendRequest,
) -> replica_pb2.PeerRequest:
    """Return a request to a control instance as a protobuf message."""
    match request:
        case messages.VoteRequest():
            vote = replica_pb2.VoteRequest(
                sender=request.sender,
                to=request.to,
                term=request.term,
                last_index=request.last_index,
                last_term=request.last_term,
                pre=request.pre,
                unopposed=request.unopposed,
            )
            return replica_pb2.PeerRequest(vote=vote)
        case messages.AppendRequest():
            append = replica_pb2.AppendRequest(
                sender=request.sender,
                to=request.to,
                term=request.term,
                previous_index=request.previous_index,
                previous_term=request.previous_term,
                records=[codec.encode_record(r) for r in request.records],
                commit_index=request.commit_index,
                echo_ms=request.echo_ms,
                confirmed_age_ms=request.confirmed_age_ms,
                heartbeat_only=request.is_heartbeat_only,
            )
            return replica_pb2.PeerRequest(append=append)


def decode_vote_request(
    message: replica_pb2.VoteRequest,
) -> messages.VoteRequest:
    """Return the vote request that a protobuf message holds."""
    return messages.VoteRequest(
        sender=message.sender,
        to=message.to,
        term=message.term,
        last_index=message.last_index,
        last_term=message.last_term,
        pre=message.pre,
        unopposed=message.unopposed,
    )


def decode_append_request(
    message: replica_pb2.AppendRequest,
) -> messages.AppendRequest:
    """Return the append request that a protobuf message holds.

    Raises :class:`gentianspoke.errors.ControlError` if a record is invalid.
    """
    return messages.AppendRequest(
        sender=message.sender,
        to=message.to,
        term=message.term,
        previous_index=message.previous_index,
        previous_term=message.previous_term,
        records=tuple(codec.decode_record(r) for r in message.records),
        commit_index=message.commit_index,
        echo_ms=message.echo_ms,
        confirmed_age_ms=message.confirmed_age_ms,
        is_heartbeat_only=message.heartbeat_only,
    )


def encode_reply(reply: messages.Reply) -> replica_pb2.PeerReply:
    """Return a control instance's reply as a protobuf message."""
    match reply:
        case messages.VoteReply():
            vote = replica_pb2.VoteReply(
                sender=reply.sender,
                term=reply.term,
                granted=reply.granted,
                willing=reply.willing,
            )
            return replica_pb2.PeerReply(vote=vote)
        case messages.AppendReply():
            append = replica_pb2.AppendReply(
                sender=reply.sender,
                term=reply.term,
                success=reply.success,
                match_index=reply.match_index,
                clock_ms=reply.clock_ms,
                cannot_write=not reply.can_write,
                stopping=reply.stopping,
            )
            return replica_pb2.PeerReply(append=append)
        case messages.WrongFolder(number=number):
            wrong_folder_message = replica_pb2.WrongFolder(number=number)
            return replica_pb2.PeerReply(wrong_folder=wrong_folder_message)


def decode_reply(message: replica_pb2.PeerReply) -> messages.Reply:
    """Return the reply of a control instance that a protobuf message holds.

    Raises :class:`gentianspoke.errors.ControlError` for an unknown kind of
    reply.
    """
    match message.WhichOneof('content'):
        case 'vote':
            vote = message.vote
            return messages.VoteReply(
                vote.sender, vote.term, vote.granted, vote.willing
            )
        case 'append':
            append = message.append
            return messages.AppendReply(
                sender=append.sender,
                term=append.term,
                success=append.success,
                match_index=append.match_index,
                clock_ms=append.clock_ms,
                can_write=not append.cannot_write,
                stopping=append.stopping,
            )
        case 'wrong_folder':
            return messages.WrongFolder(message.wrong_folder.number)
        case _:
            raise errors.ControlError(
                'a control instance gave an unknown reply; run the same'
                ' version on all of them'
            )
