"""Opens the catalogue log in the data folder of this instance."""

import collections.abc
import concurrent.futures
import contextlib
import random
import secrets

from gentianspoke.config import settings
from gentianspoke.core import shares
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import replica
from gentianspoke.decisions.control.replica import state as states
from gentianspoke import errors
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process
from gentianspoke.storage import folder as folders
from gentianspoke.storage import journal as journals
from gentianspoke.storage import replica_store

INSTANCE_NUMBER_BITS = 63
# Interval of the leader's heartbeats, in thousandths of the minimum election
# timeout.
HEARTBEAT_INTERVAL_PERMILLE = 150


@contextlib.contextmanager
def open_log(
    proc: process.Process, control_settings: settings.ControlSettings
) -> collections.abc.Iterator[replicated_log.ReplicatedLog]:
    """Lock the data folder and open the log in it, or create one.

    Raises :class:`gentianspoke.errors.StorageError` if the folder cannot be
    used, :class:`gentianspoke.errors.ControlError` if a stored record or
    snapshot is invalid, and :class:`gentianspoke.errors.IdentityError` if the
    folder belongs to another instance.
    """
    with (
        folders.open_folder(control_settings.data_folder) as folder,
        concurrent.futures.ThreadPoolExecutor(1) as executor,
    ):
        store = replica_store.ReplicaStore(journals.Journal(folder))
        own_replica = _load_replica(proc, store, control_settings)
        yield replicated_log.ReplicatedLog(
            own_replica, store, executor, proc.clock, proc.events
        )


def _load_replica(
    proc: process.Process,
    store: replica_store.ReplicaStore,
    control_settings: settings.ControlSettings,
) -> replica.Replica:
    own_name = control_settings.member or proc.cfg.instance
    loaded_state = store.load()
    if loaded_state is None:
        # An odd number cannot be 0, which stands for no instance.
        number = secrets.randbits(INSTANCE_NUMBER_BITS) | 1
        stored = states.build_initial_stored(number, own_name)
    else:
        stored = loaded_state.stored
    if stored.instance != own_name:
        raise errors.IdentityError(
            f'{control_settings.data_folder}: this data folder belongs to'
            f' {stored.instance}; give {own_name} a folder of its own'
        )
    write_error = _try_save(store, stored)
    proc.events.write(
        'log-opened',
        is_new=loaded_state is None,
        cut_bytes=loaded_state.cut_bytes if loaded_state else 0,
        term=stored.vote.term,
        records=len(stored.records),
    )
    own_replica = replica.Replica(
        stored,
        _build_timing(control_settings.election_ms),
        states.Limits(
            control_settings.compact_records,
            control_settings.kept_records,
            control_settings.tolerate,
        ),
        random.Random(stored.number ^ proc.clock.now()),
        proc.clock.now(),
    )
    if write_error is not None:
        proc.events.write('log-unwritable', reason=str(write_error))
        own_replica.start_without_writes()
    return own_replica


def _try_save(
    store: replica_store.ReplicaStore, stored: effects.Stored
) -> errors.WriteError | None:
    """Write and sync the whole state; return the error if that fails.

    After a failed sync before the restart, the content that was read may be
    only in the page cache and not on the disk.
    """
    try:
        store.save_all(stored)
    except errors.WriteError as exc:
        return exc
    return None


def _build_timing(election_ms: int) -> states.Timing:
    return states.Timing(
        heartbeat_interval_ms=election_ms
        * HEARTBEAT_INTERVAL_PERMILLE
        // shares.PERMILLE,
        min_election_timeout_ms=election_ms,
        max_election_timeout_ms=2 * election_ms,
    )
