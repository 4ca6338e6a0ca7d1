"""One replica of the catalogue log, without input or output of its own.

It takes an event and the current time, and returns the effects that the
calling code has to carry out.
"""

import random

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import commits
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import elections
from gentianspoke.decisions.control.replica import lost_members
from gentianspoke.decisions.control.replica import member_changes
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import replication
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.decisions.control.replica import write_failures

NOT_LEADING = 'this control instance does not lead; ask the leader'


class Replica:
    """A replica; the calling code carries out its effects in their order."""

    def __init__(
        self,
        stored: effects.Stored,
        timing: states.Timing,
        limits: states.Limits,
        rng: random.Random,
        now: int,
    ) -> None:
        """Start as a follower with the stored state."""
        self.state = states.State(stored, timing, limits, rng, now)

    def start_without_writes(self) -> None:
        """Start although the stored state could not be written again."""
        write_failures.start_without_writes(self.state)

    def handle(self, event: messages.Event, now: int) -> list[effects.Effect]:
        """Handle an event at the time ``now`` (ms); return the effects.

        Raises ``errors.StorageError`` where a record of the leader would
        replace one that is committed.
        """
        state = self.state
        if not state.can_write and not _is_for_other_folder(state, event):
            return write_failures.handle_event(state, event, now)
        match event:
            case messages.Tick():
                result = elections.handle_tick(state, now)
                return result + lost_members.handle_tick(state, now)
            case messages.RequestReceived(request=request):
                return self._handle_request(request, now)
            case messages.ReplyReceived(request=request, reply=reply):
                return self._handle_reply(request, reply, now)
            case messages.RequestFailed(request=request):
                replication.reset_echo(state, request.to)
                return []
            case messages.Propose(requests=requests):
                return self._propose(requests, now)
            case messages.AddLearner() | messages.RemoveMember():
                return member_changes.handle_change(state, event, now)
            case messages.FormGroup(group=group):
                return member_changes.form_group(state, group)
            case messages.Synced(index=index):
                return commits.handle_synced(state, index)
            case messages.StopPlanned():
                state.stop_began_ms = now
                return []
            case messages.WriteFailed():
                return write_failures.handle_write_failed(state)
            case messages.WritesRestored():
                return []

    def build_request(self, peer: int, now: int) -> messages.Request | None:
        """Return the request to send to a peer now, ``None`` for none.

        The calling code must send the request: a leader records it as sent.
        """
        state = self.state
        match state.role.state:
            case roles.LEADER:
                return replication.build_next_request(state, peer, now)
            case roles.FOLLOWER:
                return None
            case _:
                if peer in state.answered_by or not state.group.is_voter(peer):
                    return None
                return elections.build_vote_request(state, peer)

    def build_extra_heartbeat(
        self, peer: int, now: int
    ) -> messages.AppendRequest | None:
        """Return a heartbeat to send beside an unanswered request.

        Return ``None`` if this replica does not lead or none is due. The
        calling code must send the heartbeat.
        """
        if self.state.role.state != roles.LEADER:
            return None
        return replication.build_extra_heartbeat(self.state, peer, now)

    def _handle_request(
        self, request: messages.Request, now: int
    ) -> list[effects.Effect]:
        state = self.state
        if request.to != state.number:
            reply = messages.WrongFolder(state.number)
            return [effects.Respond(reply)]
        match request:
            case messages.VoteRequest():
                return elections.handle_vote_request(state, request, now)
            case messages.AppendRequest():
                return replication.handle_append(state, request, now)
            case messages.InstallRequest():
                return replication.handle_install(state, request, now)

    def _handle_reply(
        self, request: messages.Request, reply: messages.Reply, now: int
    ) -> list[effects.Effect]:
        state = self.state
        match request, reply:
            case messages.VoteRequest(), messages.VoteReply():
                return elections.handle_vote_reply(state, request, reply, now)
            case (
                messages.AppendRequest() | messages.InstallRequest(),
                messages.AppendReply(),
            ):
                return replication.handle_append_reply(
                    state, request, reply, now
                )
            case _, messages.WrongFolder():
                if request.term == state.term:
                    state.replaced_members.add(request.to)
                return []
            case _:
                return []

    def _propose(
        self, requests: tuple[catalogue_records.Request, ...], now: int
    ) -> list[effects.Effect]:
        state = self.state
        if not state.leads(now):
            return [effects.Refused(NOT_LEADING)]
        first_index = state.log.last_index + 1
        payloads = tuple(records.Command(request) for request in requests)
        result = commits.append_as_leader(state, payloads)
        for offset, request in enumerate(requests):
            result.append(
                effects.Proposed(
                    first_index + offset, state.term, request.idempotency_key
                )
            )
        return result


def _is_for_other_folder(state: states.State, event: messages.Event) -> bool:
    match event:
        case messages.RequestReceived(request=request):
            return request.to != state.number
        case _:
            return False
