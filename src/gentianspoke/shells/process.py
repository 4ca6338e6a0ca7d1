"""What every process has: logs, metrics, signals, its life cycle."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import signal

from gentianspoke import clock
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.decisions import lifecycle
from gentianspoke import errors
from gentianspoke.net import pages
from gentianspoke.shells import control_sources
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


@dataclasses.dataclass(slots=True)
class Process:
    """What the tasks of one process share."""

    cfg: settings.Settings
    clock: clock.Clock
    ring: keys.KeyRing
    events: logs.EventLog
    metrics: metrics.Metrics
    life: lifecycle.Lifecycle
    stop: asyncio.Event
    sources: control_sources.Sources = dataclasses.field(init=False)
    on_reload: list[collections.abc.Callable[[], None]] = dataclasses.field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        """Begin with the control instances that the settings name."""
        self.sources = control_sources.Sources(self.cfg.feeds)

    def current_ring(self) -> keys.KeyRing:
        """Return the keys in force; a rotation changes them."""
        return self.ring

    def reload(self) -> None:
        """Take what has changed in files that the settings name."""
        self.events.write('process-reloads')
        if self.cfg.key_file:
            self.reload_keys()
        for take in self.on_reload:
            take()

    def reload_keys(self) -> None:
        """Read the key file again; keep the keys where it is not valid."""
        try:
            self.ring = load_ring(self.cfg)
        except errors.KeyFileError as exc:
            self.events.write('keys-not-read', reason=str(exc))
        else:
            ids = ' '.join(str(number) for number in sorted(self.ring.keys))
            self.events.write(
                'keys-read', active=self.ring.active, accepted=ids
            )

    def write_refused_call(self, method: str, reason: str) -> None:
        """Note a call that was refused because it holds no valid token."""
        self.events.write('call-refused', method=method, reason=reason)

    def render_page(self, path: str) -> pages.Page:
        """Return the page at ``path``: ``/metrics`` or ``/ready``."""
        match path:
            case '/metrics':
                body, headers = self.metrics.render()
                return 200, body, headers['Content-Type']
            case '/ready':
                ready = self.life.state == 'serving'
                body = self.life.state.encode()
                return (200 if ready else 503), body, 'text/plain'
            case _:
                return 404, b'see /metrics or /ready', 'text/plain'


def load_ring(cfg: settings.Settings) -> keys.KeyRing:
    """Return the keys of the key file, none where no file is named.

    Raises :class:`gentianspoke.errors.KeyFileError`.
    """
    if not cfg.key_file:
        return keys.NO_KEYS
    # Reading the file takes libraries that cost more memory than all else
    # in a process without keys.
    from gentianspoke.config import key_file

    return key_file.load(cfg.key_file)


@contextlib.asynccontextmanager
async def run_process(
    cfg: settings.Settings, role: str
) -> collections.abc.AsyncIterator[Process]:
    """Set up what a process has and report its end on the time line."""
    logical = logs.last_logical_clock(cfg.log_file)
    logs.configure(cfg.log_file, cfg.log_level)
    own_clock = clock.Clock()
    events = logs.EventLog(cfg.instance, role, own_clock, logical)
    life = lifecycle.Lifecycle(lambda state: events.write(f'process-{state}'))
    process = Process(
        cfg=cfg,
        clock=own_clock,
        ring=load_ring(cfg),
        events=events,
        metrics=metrics.Metrics(cfg.instance, role),
        life=life,
        stop=asyncio.Event(),
    )
    if not process.ring.keys:
        events.write('frames-unsigned')
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(_stop_on_signal(process.stop))
        stack.enter_context(_reload_on_signal(process))
        if cfg.metrics is not None:
            await stack.enter_async_context(
                pages.serve_pages(cfg.metrics, process.render_page)
            )
        life.advance('sync')
        yield process
        if life.state != 'stopping':
            life.advance('stop')
        life.advance('finish')


@contextlib.contextmanager
def _stop_on_signal(
    stop: asyncio.Event,
) -> collections.abc.Iterator[None]:
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    try:
        yield
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)


@contextlib.contextmanager
def _reload_on_signal(
    process: Process,
) -> collections.abc.Iterator[None]:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(RELOAD_SIGNAL, process.reload)
    try:
        yield
    finally:
        loop.remove_signal_handler(RELOAD_SIGNAL)


@contextlib.asynccontextmanager
async def run_tasks(
    *tasks: collections.abc.Coroutine[object, object, None],
) -> collections.abc.AsyncIterator[None]:
    """Run tasks during the context, cancel them at its end.

    An error in a task ends the context with that error.
    """
    try:
        async with asyncio.TaskGroup() as group:
            running = [group.create_task(task) for task in tasks]
            yield
            for task in running:
                task.cancel()
    except BaseExceptionGroup as exc:
        # The command line prints an own error as one line, so it must not
        # come wrapped in a group of errors.
        own = exc.subgroup(errors.GentianspokeError)
        if own is None:
            raise
        raise _first(own) from exc


def _first(group: BaseExceptionGroup[errors.GentianspokeError]) -> Exception:
    for exc in group.exceptions:
        match exc:
            case BaseExceptionGroup():
                return _first(exc)
            case _:
                return exc
    raise group
