"""Merging the events of several processes in causal order.

Lamport, "Time, clocks, and the ordering of events in a distributed
system" (1978): an event that may have caused another one has a smaller
logical clock value. Wall clocks only break ties.
"""

import collections.abc
import heapq

from gentianspoke.decisions.timeline import events

Stream = collections.abc.Iterable[events.Event]
Key = tuple[int, int, str]
KeyedEvent = tuple[Key, events.Event]


def merge(streams: collections.abc.Iterable[Stream]) -> Stream:
    """Yield all events in causal order.

    Each stream yields the events of one process in the order in which the
    process wrote them. This order is preserved even if the process
    restarted and its logical clock was reset. At most one event of
    each stream is held in memory.
    """
    keyed_streams = [_add_keys(stream) for stream in streams]
    for _, event in heapq.merge(*keyed_streams, key=lambda item: item[0]):
        yield event


def _add_keys(stream: Stream) -> collections.abc.Iterator[KeyedEvent]:
    logical = 0
    wall_ms = 0
    for event in stream:
        if event.logical > logical:
            logical = event.logical
            wall_ms = event.wall_ms
        # The wall clock may be set back. The key must not decrease while
        # the logical clock stays the same, because the merge requires sorted
        # streams.
        wall_ms = max(wall_ms, event.wall_ms)
        yield (logical, wall_ms, event.instance), event
