"""Start, stop and kill the gentianspoke processes of a run."""

import asyncio
import collections.abc
import contextlib
import os
import sys

from demo import deployment
from demo import plan as plans

STOP_TIMEOUT_S = 30.0
COMMAND = (sys.executable, '-m', 'gentianspoke')


class Processes:
    """The gentianspoke processes of a run, identified by instance name."""

    def __init__(
        self, plan: plans.Plan, command: tuple[str, ...] = COMMAND
    ) -> None:
        """Write the settings files of the plan without starting a process.

        ``command`` is the command line that starts a process; the role and
        the path of the settings file are appended to it.
        """
        self._plan = plan
        self._command = command
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.roles = deployment.write_settings(plan)

    async def start(self, instance: str) -> None:
        """Start the process of an instance."""
        path = self._plan.folder / f'{instance}.yaml'
        self._processes[instance] = await asyncio.create_subprocess_exec(
            *self._command,
            self.roles[instance],
            str(path),
            env={**os.environ},
        )

    def list_started_instances(self) -> list[str]:
        """Return the instances that were started and not stopped or killed.

        A process that ended by itself is included.
        """
        return list(self._processes)

    def signal(self, instance: str, signal_number: int) -> None:
        """Send a signal to the process of an instance."""
        with contextlib.suppress(ProcessLookupError):
            self._processes[instance].send_signal(signal_number)

    def get_exit_status(self, instance: str) -> int | None:
        """Return the exit status, or ``None`` while the process runs."""
        return self._processes[instance].returncode

    def get_pid(self, instance: str) -> int:
        """Return the process id of an instance."""
        return self._processes[instance].pid

    async def stop(self, instance: str) -> int:
        """Send SIGTERM to an instance and return its exit status.

        The status is the negative signal number if a signal ended the
        process. Raises ``TimeoutError`` after ``STOP_TIMEOUT_S``.
        """
        process = self._processes.pop(instance)
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def kill(self, instance: str) -> None:
        """Send SIGKILL to an instance and wait until it has ended."""
        process = self._processes.pop(instance)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()

    async def stop_all(self) -> dict[str, int]:
        """Stop all started instances and return their exit statuses."""
        instances = list(self._processes)
        statuses = await asyncio.gather(
            *(self.stop(instance) for instance in instances)
        )
        return dict(zip(instances, statuses, strict=True))

    async def kill_all(self) -> None:
        """Kill all processes that were not stopped."""
        for instance in list(self._processes):
            await self.kill(instance)


@contextlib.asynccontextmanager
async def run_processes(
    plan: plans.Plan,
    deferred_instances: frozenset[str],
    command: tuple[str, ...] = COMMAND,
) -> collections.abc.AsyncIterator[Processes]:
    """Run the processes of all instances but ``deferred_instances``.

    Processes that remain at the end of the context are killed.
    """
    processes = Processes(plan, command)
    try:
        for instance in processes.roles:
            if instance not in deferred_instances:
                await processes.start(instance)
        yield processes
    finally:
        await processes.kill_all()


async def run_command(*arguments: str) -> int:
    """Run a gentianspoke command and return its exit status."""
    process = await asyncio.create_subprocess_exec(*COMMAND, *arguments)
    return await process.wait()
