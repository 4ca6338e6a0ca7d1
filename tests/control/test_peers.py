"""The replica learns of each reply or failure, also if the channel closes."""

import asyncio
import types

import pytest
import replica_network

from gentianspoke.decisions.control.replica import messages
from gentianspoke import errors
from gentianspoke.shells.control import peers

REQUEST = messages.AppendRequest(1, 2, 1, 0, 0, (), 0)


class FakeLog:
    """A log that always has the same request to send and records events."""

    def __init__(self):
        """Start without events."""
        self.events = []

    async def build_request(self, peer):
        """Return the same request each time."""
        return REQUEST

    async def step(self, event):
        """Record an event."""
        self.events.append(event)


@pytest.mark.parametrize(
    ('reply', 'event'),
    [
        pytest.param(
            messages.WrongFolder(9),
            messages.ReplyReceived(REQUEST, messages.WrongFolder(9)),
            id='reply of another data folder',
        ),
        pytest.param(
            errors.ControlError('damaged'),
            messages.RequestFailed(REQUEST),
            id='no reply',
        ),
    ],
)
async def test_the_replica_learns_of_a_reply_or_failure_that_closes_a_channel(
    monkeypatch, reply, event
):
    async def send(self, channel, request):
        match reply:
            case Exception():
                raise reply
            case _:
                return reply

    monkeypatch.setattr(peers.Peers, '_send', send)
    log = FakeLog()
    member = replica_network.member(2)
    with pytest.raises(errors.ControlError):
        await peers.Peers(types.SimpleNamespace(), log)._exchange_requests(
            None, member, asyncio.Event()
        )
    assert log.events == [event]
