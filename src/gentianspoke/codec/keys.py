"""Shared keys of a deployment, and the tags that they give to frames.

A tag is a keyed BLAKE2b digest (RFC 7693). Several keys may be accepted
at a time, so that keys can be rotated without losing a frame.
"""

import dataclasses
import functools
import hashlib
import hmac

from gentianspoke import errors

TAG_BYTES = 16
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRing:
    """The keys that are accepted, and the one that signs.

    A ring without keys tags nothing and accepts everything, for
    deployments whose network is trusted.
    """

    active: int
    keys: dict[int, bytes]

    def tag(self, body: bytes) -> bytes:
        """Return the tag of ``body`` by the active key, empty without."""
        if not self.keys:
            return b''
        return _digest(self.keys[self.active], body)

    def verify(self, key_id: int, tag: bytes, body: bytes) -> None:
        """Check a tag.

        Raises :class:`gentianspoke.errors.PacketError` for an unknown key
        or a tag that does not match.
        """
        if not self.keys:
            return
        key = self.keys.get(key_id)
        if key is None:
            raise errors.PacketError('unknown-key')
        if not hmac.compare_digest(_digest(key, body), tag):
            raise errors.PacketError('bad-tag')


NO_KEYS = KeyRing(0, {})


def _digest(key: bytes, body: bytes) -> bytes:
    digest = _keyed_digest(key).copy()
    digest.update(body)
    return digest.digest()


@functools.cache
def _keyed_digest(key: bytes) -> hashlib.blake2b:
    # Setting up a keyed digest costs as much as digesting a small packet.
    return hashlib.blake2b(digest_size=TAG_BYTES, key=key)
