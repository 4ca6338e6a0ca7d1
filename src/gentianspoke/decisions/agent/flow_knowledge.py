"""What an agent can say about a flow: the answers to inquiries.

An agent knows all flows of its upstream if it has passed on every packet since
the upstream's start. After a restart of the agent alone this is not so, and
the agent does not say that a flow is absent unless its upstream has returned a
packet of the flow. Nor does it while it is joining, since only a view shows
whether it has run before. An agent may also lose single records, for example
that of a flow that was idle for too long. Such a flow is doubtful.
"""

import enum

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import known_instances
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# How long a recovering agent's word about a returned packet does not count.
# Until then, views may lack members that restart at the same time.
MIN_RECOVERING_AGE_MS = 10_000
# Largest age of the feed's confirmation at an agent whose answers count. The
# agent has then received the view with each member that control removes,
# which takes longer.
MAX_FEED_AGE_MS = 2_000
# Largest number of doubtful flows. Beyond it, the whole record is incomplete.
MAX_DOUBTFUL_FLOWS = 10_000

State = agent_state.AgentState


class Knowledge(enum.Enum):
    """What an agent knows about a flow and its upstream.

    The upstream has an ``OWNED`` flow, and the caller acknowledges the
    upstream's sequence numbers. The upstream does not have an ``ABSENT`` flow.
    """

    OWNED = 'owned'
    ABSENT = 'absent'
    UNSURE = 'unsure'


def assess_flow(state: State, key: packets.FlowKey, now: int) -> Knowledge:
    """Return what this agent knows about a flow at its own upstream."""
    flow = state.flows.get(key)
    if flow is not None:
        if flow.phase is records.Phase.OPEN and evidence.is_established(flow):
            return Knowledge.OWNED
        return Knowledge.UNSURE
    if key in state.inquiries.doubtful or state.joining:
        return Knowledge.UNSURE
    is_complete = now >= state.inquiries.complete_from_ms
    is_absent = is_complete and not state.recovering
    if not is_absent and now - state.started_ms >= MIN_RECOVERING_AGE_MS:
        is_absent = key in state.returned_flows
    return Knowledge.ABSENT if is_absent else Knowledge.UNSURE


def note_own_listing(state: State, pool: int, now: int) -> None:
    """Note that an earlier run of this agent was live with this upstream.

    An agent announces itself as live only when it has joined. If a view shows
    that the member was live before, an earlier run has placed flows of which
    this one knows nothing, even if the upstream has just started. The agent
    then recovers.
    """
    member = state.find_member(pool, state.number)
    if not state.joining or member is None or not member.joined_view:
        return
    if state.inquiries.enabled and state.inquiries.complete_from_ms <= now:
        begin_recovery(state, now)


def begin_recovery(state: State, now: int) -> None:
    """Note that the upstream may have flows from before the agent's start."""
    state.inquiries.complete_from_ms = now + state.recovery_ms
    state.recovering = True


def note_doubtful(state: State, key: packets.FlowKey, now: int) -> None:
    """Note that the upstream may have a flow that has no record."""
    inquiries = state.inquiries
    if not inquiries.enabled:
        return
    if len(inquiries.doubtful) >= MAX_DOUBTFUL_FLOWS:
        inquiries.complete_from_ms = now + state.recovery_ms
        return
    inquiries.doubtful.pop(key, None)
    inquiries.doubtful[key] = now


def expire_doubtful(state: State, now: int) -> None:
    """Forget the doubtful flows that are older than any flow may be."""
    doubtful = state.inquiries.doubtful
    while doubtful:
        key = next(iter(doubtful))
        if now - doubtful[key] < state.recovery_ms:
            return
        del doubtful[key]


def answer_inquiry(
    state: State, inquiry: frames.FlowInquiry, now: int
) -> actions.Action:
    """Return the reply to an inquiry of another member.

    The inquiry is dropped if this agent does not take part in inquiries, or if
    it does not know the service or the address of the sender.
    """
    service = state.services_by_number.get(inquiry.service)
    if not state.inquiries.enabled or service is None:
        return actions.Drop('other-service')
    asker = state.find_member(inquiry.pool, inquiry.sender)
    if asker is None or state.number == frames.ENTRY_SENDER:
        return actions.Drop('unknown-sender')
    owned = absent = 0
    for position, key in enumerate(inquiry.keys):
        match assess_flow(state, packets.FlowKey(key), now):
            case Knowledge.OWNED:
                owned |= 1 << position
            case Knowledge.ABSENT:
                absent |= 1 << position
    instances = known_instances.list_instances(
        state, services.get_all_pools(service), now
    )
    digests = known_instances.compute_digests(instances)
    has_current_feed = now - state.feed_confirmed_ms < MAX_FEED_AGE_MS
    reply = frames.FlowInquiryReply(
        pool=inquiry.pool,
        number=inquiry.number,
        owned=owned,
        absent=absent,
        lists_all=has_current_feed and set(digests) <= set(inquiry.instances),
        sender=state.number,
    )
    return actions.AnswerInquiry(asker, reply)
