"""Define the subcommands that evacuate availability zones."""

import asyncio
import dataclasses
import uuid

import cappa

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import zone_orders


@cappa.command(name='evacuate')
@dataclasses.dataclass
class Evacuate:
    """Evacuate an availability zone: its upstreams get no new flows."""

    zone: str
    control: options.Control
    key_file: options.KeyFile
    key: options.IdempotencyKey = ''
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Start the evacuation and print the accepted catalogue version.

        A zone that is already evacuated stays so. Raises
        :class:`gentianspoke.errors.OutcomeUnknownError` if no leader answers
        in time.
        """
        order = zone_orders.Start(self.zone)
        _submit(order, self.control, self.key_file, self.key, self.as_json)


@cappa.command(name='restore')
@dataclasses.dataclass
class Restore:
    """End the evacuation of an availability zone."""

    zone: str
    control: options.Control
    key_file: options.KeyFile
    key: options.IdempotencyKey = ''
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """End the evacuation and print the accepted catalogue version.

        A zone that is not evacuated stays so. Raises
        :class:`gentianspoke.errors.OutcomeUnknownError` if no leader answers
        in time.
        """
        order = zone_orders.End(self.zone)
        _submit(order, self.control, self.key_file, self.key, self.as_json)


def _submit(
    order: zone_orders.Order,
    control: str,
    key_path: str,
    key: str,
    as_json: bool,
) -> None:
    client = options.create_client(control, key_path)
    request = catalogue_records.Request(
        idempotency_key=key or uuid.uuid4().hex,
        operator=options.find_operator_name(),
        edits=(),
        evacuation=order,
    )
    result = asyncio.run(client.apply(request))
    output = catalogue_output.Output(as_json)
    output.print_applied(result, request.idempotency_key)
