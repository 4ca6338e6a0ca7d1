"""Compression of large messages by zlib (RFC 1950), with a size limit."""

import zlib

from gentianspoke import errors

# The fastest level. Texts with many similar entries shrink to less than a
# tenth by it.
COMPRESSION_LEVEL = 1
MAX_UNPACKED_BYTES = 64 * 1024 * 1024


def pack(data: bytes) -> bytes:
    """Return the compressed form of data."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the data of a compressed form.

    Raises :class:`gentianspoke.errors.ControlError` if ``packed`` is no
    complete compressed form, or if the data is larger than
    ``MAX_UNPACKED_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise errors.ControlError(
            f'compressed data cannot be read ({exc}); run the same version on'
            ' all instances'
        ) from exc
    if not decompressor.eof:
        raise errors.ControlError(
            'compressed data is incomplete or too large; run the same version'
            ' on all instances'
        )
    return data
