"""The parts that all processes share: logs, metrics, signals, life cycle."""

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
    """The state that the tasks of one process share.

    ``ring`` holds the current keys, and ``sources`` the known control
    instances. ``stop`` is set by a stop signal. The callbacks in
    ``on_reload`` are called by :meth:`reload`.
    """

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
        """Start with the control instances from the settings."""
        self.sources = control_sources.Sources(self.cfg.feeds)

    def get_current_ring(self) -> keys.KeyRing:
        """Return the current keys; a reload of the key file replaces them."""
        return self.ring

    def reload(self) -> None:
        """Reload the key file and call all reload callbacks."""
        self.events.write('process-reloads')
        if self.cfg.key_file:
            self.reload_keys()
        for callback in self.on_reload:
            callback()

    def reload_keys(self) -> None:
        """Read the key file again; keep the old keys if it is not valid."""
        try:
            self.ring = load_ring(self.cfg)
        except errors.KeyFileError as exc:
            self.events.write('keys-not-read', reason=str(exc))
        else:
            ids = ' '.join(str(key_id) for key_id in sorted(self.ring.keys))
            self.events.write(
                'keys-read', active=self.ring.active_id, accepted=ids
            )

    def log_refused_call(self, method: str, reason: str) -> None:
        """Write an event for a call that was refused because of its token."""
        self.events.write('call-refused', method=method, reason=reason)

    def render_page(self, path: str) -> pages.Page:
        """Return the page at ``path``.

        The result is the HTTP status, the body and the content type.
        ``/ready`` has the status 200 only while the process serves, and 503
        otherwise. A path other than ``/metrics`` and ``/ready`` has 404.
        """
        match path:
            case '/metrics':
                body, headers = self.metrics.render()
                return 200, body, headers['Content-Type']
            case '/ready':
                is_ready = self.life.state == 'serving'
                body = self.life.state.encode()
                return (200 if is_ready else 503), body, 'text/plain'
            case _:
                return 404, b'see /metrics or /ready', 'text/plain'


def load_ring(cfg: settings.Settings) -> keys.KeyRing:
    """Return the keys of the key file, or no keys if no file is configured.

    Raises :class:`gentianspoke.errors.KeyFileError` if the file is not
    valid.
    """
    if not cfg.key_file:
        return keys.NO_KEYS
    # The libraries that read the file need more memory than everything else
    # in a process without keys, so they are only imported if needed.
    from gentianspoke.config import key_file

    return key_file.load(cfg.key_file)


@contextlib.asynccontextmanager
async def run_process(
    cfg: settings.Settings, role: str
) -> collections.abc.AsyncIterator[Process]:
    """Set up a process for the ``with`` block.

    The set-up covers the log, the metrics and their page, the keys and the
    signal handlers. The changes of the life cycle are written as events.
    Raises :class:`gentianspoke.errors.KeyFileError` if the key file is not
    valid.
    """
    logical = logs.read_last_logical_clock(cfg.log_file)
    logs.configure(cfg.log_file, cfg.log_level)
    process_clock = clock.Clock()
    events = logs.EventLog(cfg.instance, role, process_clock, logical)
    life = lifecycle.Lifecycle(lambda state: events.write(f'process-{state}'))
    process = Process(
        cfg=cfg,
        clock=process_clock,
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
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    try:
        yield
    finally:
        for signal_number in STOP_SIGNALS:
            loop.remove_signal_handler(signal_number)


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
    *coroutines: collections.abc.Coroutine[object, object, None],
) -> collections.abc.AsyncIterator[None]:
    """Run coroutines as tasks during the ``with`` block.

    The tasks are cancelled at the end of the block. If a task raises an
    error, the block is cancelled. A ``GentianspokeError`` is then raised by
    itself, and any other error in an exception group.
    """
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in coroutines]
            yield
            for task in tasks:
                task.cancel()
    except BaseExceptionGroup as exc:
        # The command line prints a GentianspokeError as one line, so it must
        # not be wrapped in an exception group.
        own_errors = exc.subgroup(errors.GentianspokeError)
        if own_errors is None:
            raise
        raise _find_first_error(own_errors) from exc


def _find_first_error(
    group: BaseExceptionGroup[errors.GentianspokeError],
) -> Exception:
    for exc in group.exceptions:
        match exc:
            case BaseExceptionGroup():
                return _find_first_error(exc)
            case _:
                return exc
    raise group
