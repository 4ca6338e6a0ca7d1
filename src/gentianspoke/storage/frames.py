"""Checksummed frames, one for each write that is synced as a whole.

A frame is a magic number, the length of its body, the XXH64 of the body,
and the body. Since a frame is begun only after the one before it has been
synced, a crash can spoil just the last one, in whatever order the disk
wrote its pages. A spoiled frame before a valid one is damage.
"""

import dataclasses
import struct

import xxhash

# No valid UTF-8, so that no text within a body looks like a frame.
MAGIC = b'\xffGSJ\xfe\x01\r\n'
HEADER = struct.Struct('>8sIQ')
MAX_BODY_BYTES = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """The valid frames of a file, and where they end.

    ``is_damaged`` tells that a valid frame follows after ``end``.
    """

    bodies: tuple[bytes, ...]
    end: int
    is_damaged: bool


def encode_frame(body: bytes) -> bytes:
    """Return the frame of a body."""
    checksum = xxhash.xxh64_intdigest(body)
    return HEADER.pack(MAGIC, len(body), checksum) + body


def scan_frames(data: bytes) -> Scan:
    """Return the valid frames at the beginning of ``data``."""
    bodies: list[bytes] = []
    offset = 0
    while (body := _frame_at(data, offset)) is not None:
        bodies.append(body)
        offset += HEADER.size + len(body)
    return Scan(tuple(bodies), offset, _has_frame_after(data, offset))


def _frame_at(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    begin = offset + HEADER.size
    if magic != MAGIC or length > MAX_BODY_BYTES:
        return None
    body = data[begin : begin + length]
    if len(body) != length or xxhash.xxh64_intdigest(body) != checksum:
        return None
    return body


def _has_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _frame_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False
