"""Receiving requests, which all services of a control instance share."""

import typing

import grpclib


async def receive(stream: typing.Any) -> typing.Any:
    """Return the next request message of a call.

    Raises ``grpclib.GRPCError`` with the status ``INVALID_ARGUMENT`` if the
    caller ended the call without a request.
    """
    message = await stream.recv_message()
    if message is None:
        raise grpclib.GRPCError(
            grpclib.const.Status.INVALID_ARGUMENT, 'no request; send one'
        )
    return message
