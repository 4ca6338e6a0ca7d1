"""Simulate an operator who edits and reads the catalogue."""

import asyncio
import dataclasses
import random

from gentianspoke.config import key_file
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke import errors
from gentianspoke.shells import catalogue_client
from soak import environment as environments

EDIT_INTERVAL_S = 0.3
RESEND_PROBABILITY = 0.3
# The first two bytes of the addresses of the services that the operator adds.
# No caller opens flows to these services.
ADDRESS_PREFIX = (10, 200)
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedEdit:
    """An accepted edit with its answer and the time of the answer.

    ``answered_at_s`` is in seconds of the event loop's clock.
    """

    request: catalogue_records.Request
    answer: catalogue_records.Answer
    answered_at_s: float


class Operator:
    """A simulated operator that checks that acknowledged edits are not lost.

    It uses the client of the operators' commands to edit the catalogue, to
    resend edits that were accepted, and to read the catalogue.
    """

    def __init__(
        self, environment: environments.Environment, rng: random.Random
    ) -> None:
        """Create a client that reaches control instances through proxies.

        ``rng`` determines which edits are resent.
        """
        plan = environment.testbed.plan
        ring = key_file.load(str(plan.key_path))
        self._client = catalogue_client.CatalogueClient(
            plan.advertised_control, ring
        )
        self._run_record = environment.run_record
        self._rng = rng
        self._edit_count = 0
        self.acknowledged_edits: list[AcknowledgedEdit] = []

    async def run(self) -> None:
        """Add entries, resend edits and read the catalogue until cancelled."""
        while True:
            try:
                await self._add_entry()
                if (
                    self.acknowledged_edits
                    and self._rng.random() < RESEND_PROBABILITY
                ):
                    await self._resend_edit(
                        self._rng.choice(self.acknowledged_edits)
                    )
                await self.check_read()
            except errors.ControlError:
                # No control instance answered, or the outcome of the edit is
                # unknown. Both are allowed during faults.
                self._run_record.faults['operator got no answer'] += 1
            await asyncio.sleep(EDIT_INTERVAL_S)

    async def check_final_state(self) -> None:
        """Check after the last fault that edits work and that none was lost.

        Raises ``ControlError`` if the control instances do not answer.
        """
        await self._add_entry()
        for acknowledged_edit in self.acknowledged_edits:
            await self._resend_edit(acknowledged_edit)
        await self.check_read()

    async def check_read(self) -> None:
        """Check that a read contains every edit that it has to contain.

        A read is complete up to the time at which a majority last confirmed
        the control instance that answers it. Edits that were acknowledged
        before this time have to be in it. A read is not checked if the
        confirmation is at least ``MAX_READ_STALENESS_MS`` old. The commands
        that print the catalogue warn that such a read may lack entries.
        """
        sent_at_s = _get_time_s()
        listing = await self._client.list_entries()
        complete_until_s = sent_at_s - listing.confirmed_age_ms / MS_PER_S
        if listing.confirmed_age_ms >= catalogue_client.MAX_READ_STALENESS_MS:
            return
        missing_names = [
            acknowledged_edit.request.edits[0].name
            for acknowledged_edit in self.acknowledged_edits
            if acknowledged_edit.answered_at_s <= complete_until_s
            and acknowledged_edit.request.edits[0].name not in listing.entries
        ]
        self._run_record.check(
            'a read has what was acknowledged before it was confirmed',
            not missing_names,
            f'{missing_names} missing in version {listing.version}',
        )

    async def _add_entry(self) -> None:
        self._edit_count += 1
        request = _make_request(self._edit_count)
        applied = await self._client.apply(request)
        if applied.answer.accepted:
            self.acknowledged_edits.append(
                AcknowledgedEdit(request, applied.answer, _get_time_s())
            )
        self._run_record.check(
            'a new entry is accepted',
            applied.answer.accepted,
            f'{request.idempotency_key}: {applied.answer}',
        )

    async def _resend_edit(self, acknowledged_edit: AcknowledgedEdit) -> None:
        applied = await self._client.apply(acknowledged_edit.request)
        self._run_record.check(
            'an edit that is sent again has its first answer',
            applied.answer == acknowledged_edit.answer,
            f'{acknowledged_edit.request.idempotency_key}: {applied.answer}',
        )


def _make_request(number: int) -> catalogue_records.Request:
    name = f'soak-{number}'
    entry = services.Service(
        number=0,
        name=name,
        owner='soak',
        address=bytes((*ADDRESS_PREFIX, number // 256, number % 256)),
        ports=(443,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=services.Limits(),
        version=0,
    )
    edit = catalogue_records.Edit(name, 0, catalogue_records.Put(entry))
    return catalogue_records.Request(name, 'operator', (edit,))


def _get_time_s() -> float:
    return asyncio.get_running_loop().time()
