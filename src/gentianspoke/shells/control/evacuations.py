"""Orders to evacuate availability zones, for front ends."""

import uuid

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import zone_orders
from gentianspoke.shells.control import documents
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process


class Evacuations:
    """Carries out evacuation orders at the leader.

    An instance that does not lead, or keeps no log, returns the address of
    the leader, or :class:`documents.Unavailable` if it knows no leader.
    """

    def __init__(
        self,
        proc: process.Process,
        log: replicated_log.ReplicatedLog | None,
    ) -> None:
        """Write to a log, which is ``None`` if this instance keeps none."""
        self._proc = proc
        self._log = log

    def find_redirect(
        self,
    ) -> documents.AskLeader | documents.Unavailable | None:
        """Return the outcome of all orders here, ``None`` if it leads."""
        return documents.find_redirect(self._proc, self._log)

    def list_zones(self) -> list[str]:
        """Return the evacuated zones that this instance knows, sorted."""
        if self._log is None:
            return []
        return sorted(self._log.catalogue.evacuated_zones)

    async def carry_out(self, order: zone_orders.Order) -> documents.Outcome:
        """Carry out an order; return the outcome once it is durable.

        An order is durable once a majority of voters has stored it. One that
        changes nothing is accepted without a write, once a majority has
        confirmed this leader.
        """
        if self._log is None or not self._log.is_leader:
            return documents.redirect_to_leader(self._proc, self._log)
        if _changes_nothing(self._log, order):
            return await documents.accept_without_write(
                self._log, self._log.catalogue.version
            )
        request = catalogue_records.Request(
            f'evacuation/{uuid.uuid4().hex}', '', (), evacuation=order
        )
        match await documents.submit(self._proc, self._log, request):
            case catalogue_records.Answer() as answer:
                self._proc.events.write(
                    'catalogue-answered',
                    accepted=answer.accepted,
                    version=answer.version,
                )
                return documents.Accepted(answer.version)
            case outcome:
                return outcome


def _changes_nothing(
    log: replicated_log.ReplicatedLog, order: zone_orders.Order
) -> bool:
    # An earlier order whose outcome is unknown may still be committed. An
    # order that undoes it has to follow it in the log.
    zones = log.catalogue.evacuated_zones
    return log.is_settled and zone_orders.apply_order(zones, order) == zones
