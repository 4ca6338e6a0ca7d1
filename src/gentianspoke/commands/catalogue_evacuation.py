"""Define the subcommands that evacuate availability zones."""

import dataclasses

import cappa

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.commands import catalogue_submission
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
    output = catalogue_output.Output(as_json)
    catalogue_submission.submit(client, output, key, evacuation=order)
