"""Tokens and proofs by which two processes show that they share a key.

The process that makes a call, here named the caller, sends a token in the
call's metadata. The metadata of the reply carries a proof that is computed
over the token's nonce. Tokens and proofs contain keyed BLAKE2b digests
(RFC 7693). A token is valid only once, and only if its time differs from the
receiver's by at most ``MAX_CLOCK_SKEW_MS``.
"""

import dataclasses
import secrets

from gentianspoke.codec import keys
from gentianspoke import errors

NONCE_BYTES = 12
FIELD_SEPARATOR = '.'
# The digested bytes begin with one of these contexts, so that the tag of a
# call is never valid as the tag of a reply, nor the other way round.
CALL_CONTEXT = b'gentianspoke call\0'
REPLY_CONTEXT = b'gentianspoke reply\0'
# Limits the difference between the wall clocks of two instances.
MAX_CLOCK_SKEW_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The part of a call that shows that the calling process has a key.

    ``key_id`` is the number of the key by which ``tag`` was computed.
    ``wall_ms`` is the time of the call in ms since 1970.
    """

    key_id: int
    wall_ms: int
    nonce: str
    tag: str

    def render(self) -> str:
        """Return the token as the text that call metadata carries."""
        fields = (str(self.key_id), str(self.wall_ms), self.nonce, self.tag)
        return FIELD_SEPARATOR.join(fields)


def make_token(
    ring: keys.KeyRing, method: str, caller: str, wall_ms: int
) -> Token:
    """Return a token for one call of ``method`` by the instance ``caller``.

    ``wall_ms`` is the caller's time in ms since 1970.
    """
    nonce = secrets.token_hex(NONCE_BYTES)
    body = _encode_call(method, caller, wall_ms, nonce)
    return Token(ring.active_id, wall_ms, nonce, ring.compute_tag(body).hex())


def parse_token(text: str) -> Token:
    """Return the token that a text represents, without checking its tag.

    Raises :class:`gentianspoke.errors.ChannelError` if the text is not a
    token.
    """
    fields = text.split(FIELD_SEPARATOR)
    try:
        key_id, wall_ms, nonce, tag = fields
        return Token(int(key_id), int(wall_ms), nonce, tag)
    except ValueError as exc:
        raise errors.ChannelError('no valid token') from exc


def make_proof(ring: keys.KeyRing, nonce: str) -> str:
    """Return the proof that this process has a shared key.

    ``nonce`` is the nonce in the token of the call. The result is the text
    that the metadata of the reply carries.
    """
    tag = ring.compute_tag(REPLY_CONTEXT + nonce.encode()).hex()
    return FIELD_SEPARATOR.join((str(ring.active_id), nonce, tag))


def check_proof(ring: keys.KeyRing, text: str) -> str:
    """Check the tag of a proof and return the nonce in the proof.

    Raises :class:`gentianspoke.errors.ChannelError` if the proof is
    malformed or its tag is invalid.
    """
    try:
        key_id, nonce, tag = text.split(FIELD_SEPARATOR)
        ring.verify_tag(
            int(key_id), bytes.fromhex(tag), REPLY_CONTEXT + nonce.encode()
        )
    except (ValueError, errors.PacketError) as exc:
        raise errors.ChannelError('no valid proof of a key') from exc
    return nonce


class TokenGuard:
    """Checks tokens and rejects those that have been used before.

    Nonces are kept in a recent and an older set, which are rotated after
    ``2 * MAX_CLOCK_SKEW_MS``. Together they hold every nonce whose token is
    not yet expired.
    """

    def __init__(self) -> None:
        """Create a guard that has seen no token."""
        self._recent_nonces: set[str] = set()
        self._older_nonces: set[str] = set()
        self._rotated_ms = 0

    def consume_token(
        self,
        ring: keys.KeyRing,
        token: Token,
        method: str,
        caller: str,
        wall_ms: int,
    ) -> None:
        """Record a valid token as used, and raise an error for any other.

        ``wall_ms`` is the receiver's time in ms since 1970. Raises
        :class:`gentianspoke.errors.ChannelError` with the reason if the tag
        is invalid, the clocks differ too much, or the token has been used
        before.
        """
        body = _encode_call(method, caller, token.wall_ms, token.nonce)
        try:
            ring.verify_tag(token.key_id, bytes.fromhex(token.tag), body)
        except (ValueError, errors.PacketError) as exc:
            raise errors.ChannelError('unknown key or wrong tag') from exc
        if abs(wall_ms - token.wall_ms) > MAX_CLOCK_SKEW_MS:
            raise errors.ChannelError(
                f'its clock is {abs(wall_ms - token.wall_ms)} ms away'
            )
        self._rotate(wall_ms)
        if (
            token.nonce in self._recent_nonces
            or token.nonce in self._older_nonces
        ):
            raise errors.ChannelError('its token was used before')
        self._recent_nonces.add(token.nonce)

    def _rotate(self, wall_ms: int) -> None:
        # A token from a clock that is ahead by MAX_CLOCK_SKEW_MS stays valid
        # for twice that time, so its nonce must be kept for as long.
        if wall_ms - self._rotated_ms >= 2 * MAX_CLOCK_SKEW_MS:
            self._older_nonces = self._recent_nonces
            self._recent_nonces = set()
            self._rotated_ms = wall_ms


def _encode_call(method: str, caller: str, wall_ms: int, nonce: str) -> bytes:
    fields = (method, caller, str(wall_ms), nonce)
    return CALL_CONTEXT + '\0'.join(fields).encode()
