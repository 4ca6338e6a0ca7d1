"""Checksummed frames, one for each write that is followed by a sync.

A frame is a magic number, the length of its body, the XXH64 checksum of the
body, and the body. A frame is written only after the one before it has been
synced. A crash can therefore corrupt only the last frame, whatever the
order in which the disk wrote its pages. A corrupt frame before a valid one
means that the file is damaged.

These are frames of a file, unlike those of :mod:`gentianspoke.core.frames`,
which entry instances and agents send each other.
"""

import dataclasses
import struct

import xxhash

# The magic number is not valid UTF-8, so text in a body cannot contain it.
MAGIC = b'\xffGSJ\xfe\x01\r\n'
HEADER = struct.Struct('>8sIQ')
MAX_BODY_BYTES = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """The bodies of the valid frames at the beginning of a file.

    ``end`` is the offset in bytes at which the last of them ends, or 0 if
    there is none. ``is_damaged`` is true if a valid frame follows later in
    the file, after bytes that are no valid frame.
    """

    bodies: tuple[bytes, ...]
    end: int
    is_damaged: bool


def encode_frame(body: bytes) -> bytes:
    """Return a frame with the given body."""
    checksum = xxhash.xxh64_intdigest(body)
    return HEADER.pack(MAGIC, len(body), checksum) + body


def scan_frames(data: bytes) -> Scan:
    """Return the valid frames at the beginning of ``data``.

    The result also says whether ``data`` is damaged.
    """
    bodies: list[bytes] = []
    offset = 0
    while (body := _read_body(data, offset)) is not None:
        bodies.append(body)
        offset += HEADER.size + len(body)
    return Scan(tuple(bodies), offset, _has_frame_after(data, offset))


def _read_body(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    body_offset = offset + HEADER.size
    if magic != MAGIC or length > MAX_BODY_BYTES:
        return None
    body = data[body_offset : body_offset + length]
    if len(body) != length or xxhash.xxh64_intdigest(body) != checksum:
        return None
    return body


def _has_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _read_body(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False
