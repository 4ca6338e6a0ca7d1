"""An operator that edits, sends edits again, and reads the catalogue."""

import asyncio
import dataclasses
import random

from gentianspoke.config import key_file
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke import errors
from gentianspoke.shells import catalogue_client
from soak import environment as worlds

PAUSE_S = 0.3
AGAIN_SHARE = 0.3
# Addresses of the edits' entries, which no caller uses.
NETWORK = (10, 200)
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """An edit that was accepted, when, and by which answer."""

    request: catalogue.Request
    answer: catalogue.Answer
    at_s: float


class Operator:
    """Checks from outside that what was acknowledged stays so."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Ask the control instances through their proxies."""
        plan = world.stage.plan
        ring = key_file.load(str(plan.keys))
        self._client = catalogue_client.CatalogueClient(plan.reached, ring)
        self._notes = world.notes
        self._rng = rng
        self._count = 0
        self.done: list[Acknowledged] = []

    async def work(self) -> None:
        """Edit, edit again and read, until cancelled."""
        while True:
            try:
                await self._edit()
                if self.done and self._rng.random() < AGAIN_SHARE:
                    await self._edit_again(self._rng.choice(self.done))
                await self.read()
            except errors.ControlError:
                # Nobody answered, or the outcome is unknown: both are
                # allowed while faults strike.
                self._notes.faults['operator unanswered'] += 1
            await asyncio.sleep(PAUSE_S)

    async def finish(self) -> None:
        """Check after the last fault that all is there and goes on."""
        await self._edit()
        for item in self.done:
            await self._edit_again(item)
        await self.read()

    async def read(self) -> None:
        """Check that a read has all that its age promises."""
        sent_s = _now_s()
        listing = await self._client.list_entries()
        as_of_s = sent_s - listing.confirmed_age_ms / MS_PER_S
        if listing.confirmed_age_ms >= catalogue_client.FRESH_MS:
            return
        missing = [
            item.request.edits[0].name
            for item in self.done
            if item.at_s <= as_of_s
            and item.request.edits[0].name not in listing.entries
        ]
        self._notes.check(
            'a read has what was acknowledged before it was confirmed',
            not missing,
            f'{missing} missing in version {listing.version}',
        )

    async def _edit(self) -> None:
        self._count += 1
        request = _request(self._count)
        applied = await self._client.apply(request)
        if applied.answer.accepted:
            self.done.append(Acknowledged(request, applied.answer, _now_s()))
        self._notes.check(
            'a new entry is accepted',
            applied.answer.accepted,
            f'{request.idempotency_key}: {applied.answer}',
        )

    async def _edit_again(self, item: Acknowledged) -> None:
        applied = await self._client.apply(item.request)
        self._notes.check(
            'an edit that is sent again has its first answer',
            applied.answer == item.answer,
            f'{item.request.idempotency_key}: {applied.answer}',
        )


def _request(number: int) -> catalogue.Request:
    name = f'soak-{number}'
    entry = services.Service(
        number=0,
        name=name,
        owner='soak',
        address=bytes((*NETWORK, number // 256, number % 256)),
        ports=(443,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=services.Limits(),
        version=0,
    )
    edit = catalogue.Edit(name, 0, catalogue.Put(entry))
    return catalogue.Request(name, 'operator', (edit,))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
