"""Decides which catalogue versions no open flow is left of.

A flow is open for ``flow_lifetime_ms`` at most. An instance that is cut off
from control goes on placing flows by the catalogue version that it has, so a
version is kept for a multiple of that time after its successor was applied.
The catalogue's log contains no times. Each control instance therefore measures
the age of the versions by its own steady clock, from the moment at which it
first saw them. An instance that has just started considers none old.
"""

import collections

LIFETIMES_KEPT = 2


class FlowExpiry:
    """The versions of the catalogue that one control instance has seen."""

    def __init__(self, flow_lifetime_ms: int) -> None:
        """Start without a version; ``flow_lifetime_ms`` is a flow's age."""
        self._kept_ms = flow_lifetime_ms * LIFETIMES_KEPT
        # Versions and the times at which they were first seen, oldest first.
        self._seen: collections.deque[tuple[int, int]] = collections.deque()
        self._expired_version = 0

    def note_version(self, version: int, now: int) -> None:
        """Note the version that the catalogue has now."""
        newest = self._seen[-1][0] if self._seen else self._expired_version
        if version > newest:
            self._seen.append((version, now))

    def find_expired_version(self, now: int) -> int:
        """Return the newest version that is old enough, 0 if none is.

        What has got no new flows since this version has no open flow.
        """
        while self._seen and now - self._seen[0][1] >= self._kept_ms:
            self._expired_version = self._seen.popleft()[0]
        return self._expired_version
