"""Inject faults, each in its own task so that they can overlap."""

import asyncio
import contextlib
import resource
import signal

from soak import environment as environments
from soak import faults

Environment = environments.Environment
# A full disk is simulated by this maximum size of the files of a process.
FULL_DISK_MAX_FILE_BYTES = 1


async def inject_all(
    environment: Environment, scheduled_faults: list[faults.ScheduledFault]
) -> None:
    """Inject each fault at its time and return when all have ended."""
    started_at = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for scheduled_fault in scheduled_faults:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(
                max(0.0, started_at + scheduled_fault.start_offset_s - now)
            )
            group.create_task(
                _inject_and_count(environment, scheduled_fault.fault)
            )


async def _inject_and_count(
    environment: Environment, fault: faults.Fault
) -> None:
    had_effect = await _inject(environment, fault)
    if had_effect:
        environment.run_record.faults[type(fault).__name__] += 1


async def _inject(environment: Environment, fault: faults.Fault) -> bool:
    """Inject a fault, end it, and return whether it had an effect."""
    match fault:
        case faults.Restart(instance=instance):
            return await _restart(environment, instance)
        case faults.Drain(upstream_index=index, duration_s=duration_s):
            upstream = environment.testbed.simulated_upstreams[index]
            upstream.drain()
            await asyncio.sleep(duration_s)
            upstream.draining_since = None
            return True
        case faults.Kill(instances=instances, duration_s=duration_s):
            return await _kill(environment, instances, duration_s)
        case faults.Freeze(instance=instance, duration_s=duration_s):
            return await _freeze(environment, instance, duration_s)
        case faults.FullDisk(instance=instance, duration_s=duration_s):
            return await _fill_disk(environment, instance, duration_s)
        case faults.Delay(
            control_index=index, delay_s=delay_s, duration_s=duration_s
        ):
            proxy = environment.proxies[index]
            delayed_before = proxy.delayed_bytes
            proxy.delay_s = delay_s
            await asyncio.sleep(duration_s)
            proxy.delay_s = 0.0
            return proxy.delayed_bytes > delayed_before
        case faults.OneWay(
            control_index=index, direction=direction, duration_s=duration_s
        ):
            proxy = environment.proxies[index]
            dropped_before = proxy.dropped_bytes
            proxy.lost_direction = direction
            await asyncio.sleep(duration_s)
            proxy.lost_direction = ''
            return proxy.dropped_bytes > dropped_before
        case faults.Silence(control_index=index):
            return environment.proxies[index].silence() > 0
        case faults.Reset(control_index=index):
            return environment.proxies[index].reset() > 0


async def _restart(environment: Environment, instance: str) -> bool:
    processes = environment.testbed.processes
    if not environment.is_available(instance):
        return False
    with environment.allow_exit([instance]):
        was_starting = environment.is_starting(instance)
        status = await processes.stop(instance)
        # A process may not have installed its signal handlers yet while it
        # starts, and SIGTERM then kills it.
        environment.run_record.check(
            'a planned stop exits with status 0',
            status == 0 or (was_starting and status == -signal.SIGTERM),
            f'{instance} ended with status {status}',
        )
        await environment.start(instance)
    return True


async def _kill(
    environment: Environment, instances: tuple[str, ...], duration_s: float
) -> bool:
    processes = environment.testbed.processes
    killed_instances = [
        instance
        for instance in instances
        if environment.is_available(instance)
    ]
    with environment.allow_exit(killed_instances):
        for instance in killed_instances:
            await processes.kill(instance)
        await asyncio.sleep(duration_s)
        for instance in killed_instances:
            await environment.start(instance)
    return bool(killed_instances)


async def _freeze(
    environment: Environment, instance: str, duration_s: float
) -> bool:
    processes = environment.testbed.processes
    if not environment.is_available(instance):
        return False
    with environment.allow_exit([instance]):
        processes.signal(instance, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        processes.signal(instance, signal.SIGCONT)
    return True


async def _fill_disk(
    environment: Environment, instance: str, duration_s: float
) -> bool:
    processes = environment.testbed.processes
    if not environment.is_available(instance):
        return False
    pid = processes.get_pid(instance)
    environment.disk_filled_pids.add(pid)
    with environment.allow_exit([instance]):
        _limit_file_size(pid, FULL_DISK_MAX_FILE_BYTES)
        await asyncio.sleep(duration_s)
        if (
            processes.get_pid(instance) == pid
            and processes.get_exit_status(instance) is None
        ):
            _limit_file_size(pid, resource.RLIM_INFINITY)
    return True


def _limit_file_size(pid: int, max_bytes: int) -> None:
    limits = (max_bytes, resource.RLIM_INFINITY)
    # A process that could not write may have ended before its exit status is
    # known. ``Environment.supervise_processes`` checks this exit and restarts
    # the process.
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
