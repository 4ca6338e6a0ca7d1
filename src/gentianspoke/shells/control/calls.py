"""What the services of a control instance share."""

import typing

import grpclib


async def receive(stream: typing.Any) -> typing.Any:
    """Return the request of a call.

    Raises ``grpclib.GRPCError`` where the caller sent none.
    """
    message = await stream.recv_message()
    if message is None:
        raise grpclib.GRPCError(
            grpclib.const.Status.INVALID_ARGUMENT, 'no request; send one'
        )
    return message
