"""Rounds of inquiries about the unknown flows that were collected.

At most ``MAX_FRAMES_PER_ROUND`` frames are sent in ``ROUND_INTERVAL_MS`` about
the same pools, unless a single inquiry already takes more.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import flow_inquiry
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions.agent import known_instances
from gentianspoke.decisions.agent import state as agent_state

# How long flows are collected before the members are asked.
COLLECT_MS = 100
# Shortest time between two rounds of inquiries about the same pools.
ROUND_INTERVAL_MS = 400
MAX_FRAMES_PER_ROUND = 64
# Largest size of the flow keys in an inquiry, which has to fit into a packet
# together with the digests of the instances.
MAX_KEY_BYTES = 640

State = agent_state.AgentState
Actions = list[actions.Action]
Phase = inquiry_records.FlowPhase


def send_due(state: State, now: int) -> Actions:
    """Return the inquiries that are due about collected flows."""
    result: Actions = []
    for pools, flows in _group_collected(state).items():
        if now < state.inquiries.next_send_ms.get(pools, 0):
            continue
        if now - flows[0].since_ms >= COLLECT_MS:
            result.extend(_send_round(state, pools, flows, now))
    return result


def send_to(
    state: State,
    inquiry: inquiry_records.Inquiry,
    instances: known_instances.Instances,
    receivers: set[str],
) -> actions.Action:
    """Return the action that sends an inquiry to the named instances.

    A member that has left the view is asked too. It may still be reachable.
    """
    digests = known_instances.compute_digests(instances)
    inquiry.frame = dataclasses.replace(
        inquiry.frame, instances=digests, sender=state.number
    )
    members = tuple(
        known_instances.choose_member(instances[name])
        for name in sorted(receivers)
        if all(member.number != state.number for member in instances[name])
    )
    return actions.SendInquiry(members, inquiry.frame)


def _group_collected(
    state: State,
) -> dict[inquiry_records.Pools, list[inquiry_records.UnknownFlow]]:
    groups: dict[inquiry_records.Pools, list[inquiry_records.UnknownFlow]] = {}
    for key, flow in tuple(state.inquiries.unknown.items()):
        if flow_inquiry.has_listed_target(state, key):
            # The owner has sent a notice meanwhile.
            del state.inquiries.unknown[key]
        elif flow.phase is Phase.COLLECTED:
            groups.setdefault(flow.pools, []).append(flow)
    return groups


def _send_round(
    state: State,
    pools: inquiry_records.Pools,
    flows: list[inquiry_records.UnknownFlow],
    now: int,
) -> Actions:
    state.inquiries.next_send_ms[pools] = now + ROUND_INTERVAL_MS
    instances = known_instances.list_instances(state, pools, now)
    inquiry_count = max(1, MAX_FRAMES_PER_ROUND // max(1, len(instances)))
    result: Actions = []
    key_bytes = max(len(flow.segment.key) for flow in flows)
    chunk_size = min(frames.MAX_INQUIRY_FLOWS, MAX_KEY_BYTES // key_bytes)
    for index in range(inquiry_count):
        start = index * chunk_size
        chunk = flows[start : start + chunk_size]
        if chunk:
            inquiry = _add_inquiry(state, pools, tuple(chunk), now)
            result.append(send_to(state, inquiry, instances, set(instances)))
    return result


def _add_inquiry(
    state: State,
    pools: inquiry_records.Pools,
    flows: tuple[inquiry_records.UnknownFlow, ...],
    now: int,
) -> inquiry_records.Inquiry:
    service = state.services_by_number.get(flows[0].service)
    inquiry = inquiry_records.Inquiry(
        frames.FlowInquiry(
            pool=state.get_pool(service) if service else pools[0],
            service=flows[0].service,
            number=state.inquiries.next_number,
            keys=tuple(flow.segment.key for flow in flows),
            instances=(),
            sender=state.number,
        ),
        pools,
        flows,
        sent_ms=now,
        last_sent_ms=now,
    )
    state.inquiries.next_number += 1
    state.inquiries.outstanding[inquiry.frame.number] = inquiry
    for flow in flows:
        flow_inquiry.set_phase(flow, Phase.ASKED, now)
    return inquiry
