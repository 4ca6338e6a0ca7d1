"""Removes former pools from the catalogue when no flow can need them."""

import asyncio

from gentianspoke import clock
from gentianspoke.decisions.control import flow_expiry
from gentianspoke.shells.control import documents
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process

# The versions are looked at this often within the lifetime of a flow, which
# limits how many times are kept.
CHECKS_PER_LIFETIME = 60


async def expire(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    store: documents.Documents,
    flow_lifetime_ms: int,
) -> None:
    """Remove former pools while this instance leads, until cancelled.

    Return at once if ``flow_lifetime_ms`` is 0, which means no limit.
    """
    if not flow_lifetime_ms:
        return
    interval_s = flow_lifetime_ms / clock.MS_PER_S / CHECKS_PER_LIFETIME
    own_expiry = flow_expiry.FlowExpiry(flow_lifetime_ms)
    done_version = 0
    while True:
        own_expiry.note_version(log.catalogue.version, proc.clock.now())
        version = own_expiry.find_expired_version(proc.clock.now())
        # The entries are searched once for each expired version. A pool that
        # a retired entry brings back later goes with the next one.
        if version > done_version and await store.expire_former_pools(version):
            done_version = version
        await asyncio.sleep(interval_s)
