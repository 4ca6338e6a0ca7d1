"""The gRPC service that other control instances call to replicate the log."""

import asyncio
import dataclasses

import google.protobuf.message
import grpclib
import grpclib.server

from gentianspoke.codec import packing
from gentianspoke.codec import peers as codec
from gentianspoke.codec import replica as replica_codec
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import write_failures
from gentianspoke import errors
from gentianspoke.generated import replica_grpc
from gentianspoke.generated import replica_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

MAX_SNAPSHOT_BYTES = 1 << 28
# Messages from this size on are decoded in a thread, so that the event loop
# handles heartbeats meanwhile.
MIN_THREAD_BYTES = 4 * 1024
MESSAGE_ERRORS = (
    errors.ControlError,
    google.protobuf.message.DecodeError,
)


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """The parts of a snapshot that have been received so far.

    ``sender`` is the number of the instance that sends the snapshot, and
    ``index`` is the index in the log up to which the snapshot reaches.
    """

    sender: int
    index: int
    data: bytearray


class ReplicaService(replica_grpc.ReplicaBase):
    """Answers the replication requests of other control instances."""

    def __init__(
        self, proc: process.Process, log: replicated_log.ReplicatedLog
    ) -> None:
        """Answer from a log."""
        self._proc = proc
        self._log = log
        self._partial_snapshot = PartialSnapshot(0, 0, bytearray())

    async def Exchange(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[replica_pb2.PeerRequest,'
            ' replica_pb2.PeerReply]'
        ),
    ) -> None:
        """Answer one request of a peer."""
        request = await calls.receive_request(stream)
        try:
            reply = await self._answer(request)
        except MESSAGE_ERRORS as exc:
            self._proc.events.write('peer-refused', reason=repr(exc))
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(exc)
            ) from exc
        await stream.send_message(reply)

    async def _answer(
        self, request: replica_pb2.PeerRequest
    ) -> replica_pb2.PeerReply:
        match request.WhichOneof('content'):
            case 'vote':
                return await self._handle_request(
                    codec.decode_vote_request(request.vote)
                )
            case 'append':
                return await self._handle_request(
                    await _decode_append(request.append)
                )
            case 'install':
                return await self._receive_snapshot_part(request.install)
            case 'identify':
                return self._make_identify_reply()
            case _:
                raise errors.ControlError(
                    'unknown request; run the same version on all control'
                    ' instances'
                )

    async def _handle_request(
        self, request: messages.Request
    ) -> replica_pb2.PeerReply:
        new_effects = await self._log.step(messages.RequestReceived(request))
        for effect in new_effects:
            match effect:
                case effects.Respond(reply=reply):
                    return codec.encode_reply(reply)
        # The replica responds to each request, but no response is sent if what
        # it promises could not be written.
        raise grpclib.GRPCError(
            grpclib.const.Status.UNAVAILABLE,
            write_failures.CANNOT_WRITE,
        )

    def _make_identify_reply(self) -> replica_pb2.PeerReply:
        state = self._log.replica.state
        identify = replica_pb2.IdentifyReply(
            number=state.number,
            instance=state.instance,
            group=replica_codec.encode_group(state.group),
        )
        return replica_pb2.PeerReply(identify=identify)

    async def _receive_snapshot_part(
        self, part: replica_pb2.InstallRequest
    ) -> replica_pb2.PeerReply:
        if part.offset == 0:
            self._partial_snapshot = PartialSnapshot(
                part.sender, part.snapshot_index, bytearray()
            )
        partial_snapshot = self._partial_snapshot
        is_next = (
            partial_snapshot.sender,
            partial_snapshot.index,
            len(partial_snapshot.data),
        ) == (
            part.sender,
            part.snapshot_index,
            part.offset,
        )
        if not is_next or part.total > MAX_SNAPSHOT_BYTES:
            raise errors.ControlError(
                'not the next part of a snapshot; send it from its beginning'
            )
        partial_snapshot.data += part.data
        if len(partial_snapshot.data) < part.total:
            part_taken = replica_pb2.InstallPartTaken()
            return replica_pb2.PeerReply(part_taken=part_taken)
        data = bytes(partial_snapshot.data)
        partial_snapshot.data.clear()
        request = messages.InstallRequest(
            sender=part.sender,
            to=part.to,
            term=part.term,
            snapshot=await asyncio.to_thread(_decode_snapshot, data),
        )
        return await self._handle_request(request)


async def _decode_append(
    message: replica_pb2.AppendRequest,
) -> messages.AppendRequest:
    if message.ByteSize() < MIN_THREAD_BYTES:
        return codec.decode_append_request(message)
    return await asyncio.to_thread(codec.decode_append_request, message)


def _decode_snapshot(data: bytes) -> records.Snapshot:
    message = replica_pb2.Snapshot.FromString(packing.unpack(data))
    return replica_codec.decode_snapshot(message)
