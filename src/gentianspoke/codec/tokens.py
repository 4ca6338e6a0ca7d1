"""Tokens by which two processes show each other that they hold a key.

A caller sends a token with each call, as call metadata; the answer
carries a proof over the token's nonce. Both are keyed BLAKE2b digests
(RFC 7693). A token is valid for a window of time and only once.
"""

import dataclasses
import secrets

from gentianspoke.codec import keys
from gentianspoke import errors

NONCE_BYTES = 12
FIELD_SEPARATOR = '.'
CALL_CONTEXT = b'gentianspoke call\0'
REPLY_CONTEXT = b'gentianspoke reply\0'
# How far the wall clocks of two instances may be apart.
MAX_CLOCK_SKEW_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """What a caller sends: who calls, when, and a nonce."""

    key_id: int
    wall_ms: int
    nonce: str
    tag: str

    def render(self) -> str:
        """Return the token as one text."""
        fields = (str(self.key_id), str(self.wall_ms), self.nonce, self.tag)
        return FIELD_SEPARATOR.join(fields)


def make_token(
    ring: keys.KeyRing, method: str, caller: str, wall_ms: int
) -> Token:
    """Return a token for one call of ``method`` by instance ``caller``."""
    nonce = secrets.token_hex(NONCE_BYTES)
    body = _call_body(method, caller, wall_ms, nonce)
    return Token(ring.active, wall_ms, nonce, ring.tag(body).hex())


def parse_token(text: str) -> Token:
    """Return a token from its text.

    Raises :class:`gentianspoke.errors.ChannelError`.
    """
    fields = text.split(FIELD_SEPARATOR)
    try:
        key_id, wall_ms, nonce, tag = fields
        return Token(int(key_id), int(wall_ms), nonce, tag)
    except ValueError as exc:
        raise errors.ChannelError('no valid token') from exc


def make_proof(ring: keys.KeyRing, nonce: str) -> str:
    """Return what shows the caller that the answer's sender has a key."""
    tag = ring.tag(REPLY_CONTEXT + nonce.encode()).hex()
    return FIELD_SEPARATOR.join((str(ring.active), nonce, tag))


def check_proof(ring: keys.KeyRing, text: str) -> str:
    """Return the nonce that a proof is for.

    Raises :class:`gentianspoke.errors.ChannelError`.
    """
    try:
        key_id, nonce, tag = text.split(FIELD_SEPARATOR)
        ring.verify(
            int(key_id), bytes.fromhex(tag), REPLY_CONTEXT + nonce.encode()
        )
    except (ValueError, errors.PacketError) as exc:
        raise errors.ChannelError('no valid proof of a key') from exc
    return nonce


class TokenGuard:
    """Checks tokens and remembers those that were used.

    Two sets of nonces, changed over once in each window, hold every nonce
    whose token would still be in time.
    """

    def __init__(self) -> None:
        """Begin without a used token."""
        self._recent: set[str] = set()
        self._older: set[str] = set()
        self._rotated_ms = 0

    def check(
        self,
        ring: keys.KeyRing,
        token: Token,
        method: str,
        caller: str,
        wall_ms: int,
    ) -> None:
        """Accept a token once.

        Raises :class:`gentianspoke.errors.ChannelError`, which says why.
        """
        body = _call_body(method, caller, token.wall_ms, token.nonce)
        try:
            ring.verify(token.key_id, bytes.fromhex(token.tag), body)
        except (ValueError, errors.PacketError) as exc:
            raise errors.ChannelError('unknown key or wrong tag') from exc
        if abs(wall_ms - token.wall_ms) > MAX_CLOCK_SKEW_MS:
            raise errors.ChannelError(
                f'its clock is {abs(wall_ms - token.wall_ms)} ms away'
            )
        self._rotate(wall_ms)
        if token.nonce in self._recent or token.nonce in self._older:
            raise errors.ChannelError('its token was used before')
        self._recent.add(token.nonce)

    def _rotate(self, wall_ms: int) -> None:
        # A token may be ahead by one window and is in time for two.
        if wall_ms - self._rotated_ms >= 2 * MAX_CLOCK_SKEW_MS:
            self._older = self._recent
            self._recent = set()
            self._rotated_ms = wall_ms


def _call_body(method: str, caller: str, wall_ms: int, nonce: str) -> bytes:
    fields = (method, caller, str(wall_ms), nonce)
    return CALL_CONTEXT + '\0'.join(fields).encode()
