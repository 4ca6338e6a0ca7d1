"""Carries out faults, each in a task of its own, so that they overlap."""

import asyncio
import resource
import signal

from soak import environment as worlds
from soak import faults

World = worlds.World
# No file of a process may grow beyond this while its disk is full.
FULL_BYTES = 1


async def strike(world: World, timed: list[faults.Timed]) -> None:
    """Carry out faults at their times; return when all are over."""
    begun = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for item in timed:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, begun + item.at_s - now))
            group.create_task(_carry_out(world, item.fault))


async def _carry_out(world: World, fault: faults.Fault) -> None:
    reached = await _strike_one(world, fault)
    if reached:
        world.notes.faults[type(fault).__name__] += 1


async def _strike_one(world: World, fault: faults.Fault) -> bool:
    """Carry out a fault and undo it; return whether it struck anything."""
    match fault:
        case faults.Restart(instance=instance):
            return await _restart(world, instance)
        case faults.Drain(number=number, lasts_s=lasts_s):
            up = world.stage.ups[number]
            up.drain()
            await asyncio.sleep(lasts_s)
            up.draining_since = None
            return True
        case faults.Kill(instances=instances, lasts_s=lasts_s):
            return await _kill(world, instances, lasts_s)
        case faults.Freeze(instance=instance, lasts_s=lasts_s):
            return await _freeze(world, instance, lasts_s)
        case faults.FullDisk(instance=instance, lasts_s=lasts_s):
            return await _fill_disk(world, instance, lasts_s)
        case faults.Delay(number=number, delay_s=delay_s, lasts_s=lasts_s):
            proxy = world.proxies[number]
            before = proxy.delayed
            proxy.delay_s = delay_s
            await asyncio.sleep(lasts_s)
            proxy.delay_s = 0.0
            return proxy.delayed > before
        case faults.OneWay(number=number, way=way, lasts_s=lasts_s):
            proxy = world.proxies[number]
            before = proxy.dropped
            proxy.lost = way
            await asyncio.sleep(lasts_s)
            proxy.lost = ''
            return proxy.dropped > before
        case faults.Silence(number=number):
            return world.proxies[number].silence() > 0
        case faults.Reset(number=number):
            return world.proxies[number].reset() > 0


async def _restart(world: World, instance: str) -> bool:
    running = world.stage.processes
    if not world.is_free(instance):
        return False
    with world.excuse([instance]):
        was_loading = world.is_loading(instance)
        status = await running.stop(instance)
        world.notes.check(
            'a planned stop ends well',
            status == 0 or (was_loading and status == -signal.SIGTERM),
            f'{instance} ended with status {status}',
        )
        await world.start(instance)
    return True


async def _kill(
    world: World, instances: tuple[str, ...], lasts_s: float
) -> bool:
    running = world.stage.processes
    struck = [name for name in instances if world.is_free(name)]
    with world.excuse(struck):
        for name in struck:
            await running.kill(name)
        await asyncio.sleep(lasts_s)
        for name in struck:
            await world.start(name)
    return bool(struck)


async def _freeze(world: World, instance: str, lasts_s: float) -> bool:
    running = world.stage.processes
    if not world.is_free(instance):
        return False
    with world.excuse([instance]):
        running.signal(instance, signal.SIGSTOP)
        await asyncio.sleep(lasts_s)
        running.signal(instance, signal.SIGCONT)
    return True


async def _fill_disk(world: World, instance: str, lasts_s: float) -> bool:
    running = world.stage.processes
    if not world.is_free(instance):
        return False
    pid = running.pid(instance)
    world.filled.add(pid)
    with world.excuse([instance]):
        _limit_files(pid, FULL_BYTES)
        await asyncio.sleep(lasts_s)
        if running.pid(instance) == pid and running.status(instance) is None:
            _limit_files(pid, resource.RLIM_INFINITY)
    return True


def _limit_files(pid: int, most_bytes: int) -> None:
    limits = (most_bytes, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
