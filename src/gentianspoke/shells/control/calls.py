"""Receives requests for all gRPC services of a control instance."""

import typing

import grpclib


async def receive_request(stream: typing.Any) -> typing.Any:
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
