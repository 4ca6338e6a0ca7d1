"""States of agents, and an in-memory network between them."""

import builders

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking

LEASE_MS = 3_000


def agent(
    number: int,
    service: services.Service,
    view: views.View | None = None,
    slots: int = 4,
    lease_until_ms: int = LEASE_MS,
    **fields: object,
) -> agent_state.AgentState:
    """Return the state of an agent whose upstream serves ``service``.

    ``fields`` are further fields of the agent's state.
    """
    state = agent_state.AgentState(
        number=number,
        zone=f'zone-{number % 3}',
        capacity=agent_state.Capacity(slots, 2_000, 0),
        started_ms=0,
        lease_until_ms=lease_until_ms,
        **fields,
    )
    state.set_catalogue([service])
    if view is not None:
        state.set_view(view)
    return state


def ranked_members(members: int = 3, sport: int = 5_000) -> list[int]:
    """Return the member numbers in the rank order of the flow's bucket.

    The members are 1 to ``members``; the flow is the one with the source
    port ``sport``.
    """
    ranking = member_ranking.Ranking(
        builders.view(*(builders.member(n + 1) for n in range(members)))
    )
    bucket = hashing.bucket_of(builders.flow_key(sport), 1)
    return [member.number for member in ranking.rank_members(bucket)]


def forward(
    target: int,
    packet: packets.Packet,
    purpose: frames.Purpose = frames.Purpose.ROUTE,
    wait_left_ms: int = 0,
    **fields: object,
) -> frames.Forward:
    """Return a frame that forwards a packet as an entry instance does.

    ``fields`` are further fields of the frame.
    """
    return frames.Forward(
        service=1,
        view=1,
        bucket=hashing.bucket_of(packet.key, 1),
        target=target,
        packet=packet.raw,
        purpose=purpose,
        hops_left=24,
        wait_left_ms=wait_left_ms,
        offers_left=2,
        **fields,
    )


class AgentNetwork:
    """Delivers frames between agents and records the packets' outcomes.

    The agents run the production code of the decisions. ``delivering_agents``
    lists the number of an agent each time that it delivers a packet to its
    upstream. ``refusal_reasons`` and ``drop_reasons`` list the reasons for
    refusing and dropping packets. ``resets`` lists the side of the flow that
    was reset, caller or upstream, with the reason.

    Frames to ``held_targets`` are kept in ``held_frames`` until they are
    released. Frames to ``unreachable_targets`` are lost.
    """

    def __init__(self, *states: agent_state.AgentState) -> None:
        """Connect the agents; no frame is held back or lost at first."""
        self.states = {state.number: state for state in states}
        self.held_frames: list[frames.Forward] = []
        self.held_targets: set[int] = set()
        self.unreachable_targets: set[int] = set()
        self.delivering_agents: list[int] = []
        self.refusal_reasons: list[str] = []
        self.drop_reasons: list[str] = []
        self.resets: list[str] = []

    def send(
        self,
        target: int,
        packet: packets.Packet,
        now: int = 0,
        **fields: object,
    ) -> None:
        """Send a packet like an entry instance; apply the agents' actions."""
        self._deliver_frame(forward(target, packet, **fields), packet, now)

    def release_held_frames(
        self, packet: packets.Packet, now: int = 0
    ) -> None:
        """Deliver the held frames, and hold back no further frames."""
        self.held_targets.clear()
        frames_to_deliver, self.held_frames = self.held_frames, []
        for frame in frames_to_deliver:
            self._deliver_frame(frame, packet, now)

    def carry_out(self, number: int, decided: list[actions.Action]) -> None:
        """Carry out actions of agent ``number`` that no frame caused.

        Such actions come from the agent's timer or a packet of its upstream.
        None of them may send a frame.
        """
        self._apply_actions(number, decided, None, 0)

    def _deliver_frame(
        self, frame: frames.Forward, packet: packets.Packet, now: int
    ) -> None:
        if frame.target in self.held_targets:
            self.held_frames.append(frame)
        elif (
            frame.target in self.states
            and frame.target not in self.unreachable_targets
        ):
            state = self.states[frame.target]
            decided = core.on_forward(state, frame, packet, now)
            self._apply_actions(frame.target, decided, packet, now)

    def _apply_actions(
        self,
        number: int,
        decided: list[actions.Action],
        packet: packets.Packet | None,
        now: int,
    ) -> None:
        for action in decided:
            match action:
                case actions.Deliver():
                    self.delivering_agents.append(number)
                case actions.SendFrame(forward=next_frame):
                    assert packet is not None
                    self._deliver_frame(next_frame, packet, now)
                case actions.Refuse(reason=reason):
                    self.refusal_reasons.append(reason)
                case actions.Drop(reason=reason):
                    self.drop_reasons.append(reason)
                case actions.ResetCaller(reason=reason):
                    self.resets.append(f'caller {reason}')
                case actions.ResetUpstream(reason=reason):
                    self.resets.append(f'upstream {reason}')
