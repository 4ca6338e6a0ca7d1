"""Shared keys of a deployment, and the tags that authenticate its messages.

A tag is a keyed BLAKE2b digest (RFC 7693). A process can accept several
keys at the same time, so that no message is rejected while the processes of
a deployment change to a new key.
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
    """The accepted keys by number, and the number of the signing key.

    A ring without keys, for deployments in a trusted network, returns empty
    tags and accepts every tag.
    """

    active_id: int
    keys: dict[int, bytes]

    def compute_tag(self, body: bytes) -> bytes:
        """Return the tag of ``body``, computed with the signing key.

        The tag is empty if the ring has no keys.
        """
        if not self.keys:
            return b''
        return _compute_digest(self.keys[self.active_id], body)

    def verify_tag(self, key_id: int, tag: bytes, body: bytes) -> None:
        """Raise an error unless ``tag`` authenticates ``body``.

        Raises :class:`gentianspoke.errors.PacketError` for an unknown key
        or a tag that does not match.
        """
        if not self.keys:
            return
        key = self.keys.get(key_id)
        if key is None:
            raise errors.PacketError('unknown-key')
        if not hmac.compare_digest(_compute_digest(key, body), tag):
            raise errors.PacketError('bad-tag')


NO_KEYS = KeyRing(0, {})


def _compute_digest(key: bytes, body: bytes) -> bytes:
    digest = _create_keyed_digest(key).copy()
    digest.update(body)
    return digest.digest()


@functools.cache
def _create_keyed_digest(key: bytes) -> hashlib.blake2b:
    # The result is cached and copied for each use, because setting up a
    # keyed digest takes as long as digesting a small packet.
    return hashlib.blake2b(digest_size=TAG_BYTES, key=key)
