"""The gRPC service with which operators edit and read the catalogue."""

import typing

import grpclib
import grpclib.server

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import catalogue_entries
from gentianspoke.decisions.control import catalogue_records
from gentianspoke import errors
from gentianspoke.generated import catalogue_grpc
from gentianspoke.generated import catalogue_pb2
from gentianspoke.shells.control import calls
from gentianspoke.shells.control import catalogue_log
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import hub
from gentianspoke.shells import process

# Maximum number of lagging consumers that a status reply lists by name.
MAX_LISTED_LAGGARDS = 16
# The leader must be able to send one request to a peer, and get the reply,
# within ``peers.REPLY_TIMEOUT_S``.
MAX_REQUEST_BYTES = 1 << 20


class CatalogueService(catalogue_grpc.CatalogueBase):
    """Answers operators from the catalogue log of this control instance."""

    def __init__(
        self,
        proc: process.Process,
        log: catalogue_log.CatalogueLog,
        feed_hub: hub.Hub,
    ) -> None:
        """Store the log, and the hub that knows the consumers."""
        self._proc = proc
        self._log = log
        self._hub = feed_hub

    async def Apply(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.ApplyRequest,'
            ' catalogue_pb2.ApplyReply]'
        ),
    ) -> None:
        """Submit edits to the log and reply whether they are accepted.

        An instance that does not lead replies with the leader's address.
        """
        message = await calls.receive_request(stream)
        if message.ByteSize() > MAX_REQUEST_BYTES:
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT,
                f'the request is larger than {MAX_REQUEST_BYTES} bytes;'
                ' split the file',
            )
        request = _decode_or_refuse(catalogue_codec.decode_request, message)
        if request.expire_former_pools:
            # Only the leader knows how old the versions of the catalogue are.
            raise grpclib.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT,
                'former pools are removed by control alone; send edits',
            )
        key = request.idempotency_key
        is_repeated = self._log.catalogue.known_answer(key) is not None
        try:
            answer = await self._log.submit(request)
        except errors.NotLeaderError:
            leader = discovery.describe_group(self._proc, self._log).leader
            await stream.send_message(
                catalogue_pb2.ApplyReply(leader=leader, redirected=True)
            )
            return
        except errors.ControlError as exc:
            raise grpclib.GRPCError(
                grpclib.const.Status.UNAVAILABLE, str(exc)
            ) from exc
        reply = catalogue_codec.encode_answer(answer)
        reply.repeated_answer = is_repeated
        await stream.send_message(reply)
        self._proc.events.write(
            'catalogue-answered',
            accepted=answer.accepted,
            version=answer.version,
        )

    async def List(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.ListRequest,'
            ' catalogue_pb2.ListReply]'
        ),
    ) -> None:
        """Reply with the entries, without the retired ones by default."""
        request = await calls.receive_request(stream)
        entries = [
            catalogue_entries.encode_entry(entry)
            for entry in self._log.catalogue.list_entries()
            if request.include_retired or not entry.retired
        ]
        await stream.send_message(
            catalogue_pb2.ListReply(
                entries=entries,
                version=self._log.catalogue.version,
                confirmed_age_ms=self._log.get_confirmed_age_ms(),
            )
        )

    async def History(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.HistoryRequest,'
            ' catalogue_pb2.HistoryReply]'
        ),
    ) -> None:
        """Reply with all accepted versions of an entry."""
        request = await calls.receive_request(stream)
        items = [
            catalogue_codec.encode_history_item(item)
            for item in self._log.catalogue.history
            if item.entry.name == request.name
        ]
        await stream.send_message(catalogue_pb2.HistoryReply(items=items))

    async def Status(  # noqa: N802
        self,
        stream: (
            'grpclib.server.Stream[catalogue_pb2.StatusRequest,'
            ' catalogue_pb2.StatusReply]'
        ),
    ) -> None:
        """Reply with the state of the log and the status of a version.

        The status is the number of consumers that run the version, and the
        names of those that lag. Only the leader knows the consumers.
        """
        request = await calls.receive_request(stream)
        version = self._log.catalogue.version
        reply = catalogue_pb2.StatusReply(
            version=version,
            confirmed_age_ms=self._log.get_confirmed_age_ms(),
            leader=discovery.describe_group(self._proc, self._log).leader,
            term=self._log.term,
            role='leader' if self._log.is_leader else 'follower',
            evacuated_zones=sorted(self._log.catalogue.evacuated_zones),
        )
        if self._log.is_leader:
            summary = self._hub.summarize_consumers()
            requested_version = request.version or version
            reply.consumers = summary.consumer_count
            reply.in_force = summary.count_in_force(requested_version)
            reply.complete = self._hub.issues_views
            reply.laggards.extend(
                summary.list_lagging_consumers(requested_version)[
                    :MAX_LISTED_LAGGARDS
                ]
            )
        await stream.send_message(reply)


def _decode_or_refuse(
    decode: typing.Callable[[typing.Any], catalogue_records.Request],
    message: typing.Any,
) -> catalogue_records.Request:
    try:
        return decode(message)
    except errors.ControlError as exc:
        raise grpclib.GRPCError(
            grpclib.const.Status.INVALID_ARGUMENT, str(exc)
        ) from exc
