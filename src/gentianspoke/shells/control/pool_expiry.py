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
    while True:
        own_expiry.note_version(log.catalogue.version, proc.clock.now())
        version = own_expiry.find_expired_version(proc.clock.now())
        if version:
            await store.expire_former_pools(version)
        await asyncio.sleep(interval_s)
