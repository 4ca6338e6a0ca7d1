"""Define how the catalogue's subcommands send requests."""

import asyncio
import uuid

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import zone_orders
from gentianspoke.shells import catalogue_client


def submit(
    client: catalogue_client.CatalogueClient,
    output: catalogue_output.Output,
    key: str,
    edits: tuple[catalogue_records.Edit, ...] = (),
    evacuation: zone_orders.Order | None = None,
) -> catalogue_records.Answer:
    """Send a request, print its answer and return it.

    ``key`` is the idempotency key; an empty one is replaced by a random one.
    Raises :class:`gentianspoke.errors.OutcomeUnknownError` if no leader
    answers in time.
    """
    request = catalogue_records.Request(
        idempotency_key=key or uuid.uuid4().hex,
        operator=options.find_operator_name(),
        edits=edits,
        evacuation=evacuation,
    )
    result = asyncio.run(client.apply(request))
    output.print_applied(result, request.idempotency_key)
    return result.answer
