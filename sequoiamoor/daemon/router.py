"""The router process that serves the project's own interface."""

from __future__ import annotations

import gc
import itertools
import logging
import signal
import sys
from functools import partial
from pathlib import Path

import curio

from ..allocator import bound_free_memory
from ..core.drain import DrainEndReason
from ..core.retries import Retries
from ..logs import configure_logs
from ..net.acceptor import Acceptor
from ..net.platform import PlatformClient
from ..net.receiving import limit_receive_buffer
from ..net.signals import SignalWatch
from ..net.timed_selector import TimedSelector
from ..settings import RouterSettings, read_settings
from .accept_probe import AcceptProbe
from .calls import CallServer
from .debug import DebugPages
from .gateway import Gateway
from .listener import CallListener
from .pages import Pages
from .pollers import Pollers
from .process import READ_BEFORE_EXIT_SECONDS, RouterProcess, TaskFunction
from .records import Records
from .reloading import SettingsFile

_LOG = logging.getLogger(__name__)

BROKEN_EXIT_CODE = 3
"""Exit code after a background task failed repeatedly."""

COLLECTION_THRESHOLDS = (5_000, 10, 2)
"""Thresholds of the garbage collector. Objects of hundreds of requests live at the same
time; with the default of 700, many collections a second look at them in vain. A full
collection comes after about as many new objects as by default, which bounds memory."""


class Router(RouterProcess):
    """A router that serves the project's own interface."""

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__(settings)
        policy = self._policy
        address = settings.platform.to_address()
        self._platform = PlatformClient(
            address,
            timeout=self._options.platform_timeout,
            observe=self.metrics.count_platform_operation,
        )
        self._records = Records(
            PlatformClient(
                address,
                timeout=self._options.table_timeout,
                observe=self.metrics.count_platform_operation,
            ),
            options=self._options,
            metrics=self.metrics,
            rng=self._rng,
        )
        self._calls = CallServer(
            self.board,
            policy,
            self.metrics,
            perform=self._control.perform,
            records=self._records,
            retries=Retries(self._options, rng=self._rng),
        )
        self._pages = Pages(
            self.board,
            self.metrics,
            records=self._records,
            policy=policy,
            count_descriptors=self._count_descriptors,
            is_accepting=lambda: self._probe.is_accepting,
        )
        self._probe = AcceptProbe()
        self._acceptor: Acceptor | None = None
        self._pollers = Pollers(
            self.board, self._platform, self._control, rng=self._rng
        )
        self._debug = DebugPages(is_enabled=settings.fault_injection)
        self._call_numbers = itertools.count(1)
        self._listener = CallListener(
            self.board,
            self._calls,
            self._pages,
            self.metrics,
            limits=self._settings.limits,
            make_call_id=self._make_call_id,
            debug=self._debug,
        )
        self._listener.refusal_connections = self.budget.refusals

    def _make_call_id(self) -> str:
        identity = self.board.identity
        call_number = next(self._call_numbers)
        return f"{identity.router_id}.{identity.incarnation:x}.{call_number:x}"

    async def serve(self) -> DrainEndReason:
        """Serves until a signal stops the router and its requests are drained."""
        signals = SignalWatch(signal.SIGTERM, signal.SIGINT)
        http = self._settings.http
        sock = curio.network.tcp_server_socket(http.host, http.port, backlog=1024)
        limit_receive_buffer(sock._socket)
        self._acceptor = Acceptor(
            sock,
            self._listener.accept,
            name="callers",
            limit=self._listener.connection_limit,
            observer=self.metrics,
            end_at_once=self._listener.refuse_at_once,
        )
        self._control.bind()
        _LOG.info("listening", extra={"router_id": self.board.identity.router_id})
        with signals:
            end = await self._serve_until_drained(signals, self._acceptor)
        await self._calls.close()
        return end

    async def _serve_until_drained(
        self, signals: SignalWatch, acceptor: Acceptor
    ) -> DrainEndReason:
        async with curio.TaskGroup() as tasks:
            listener_task = await tasks.spawn(
                self._supervise, acceptor.name, acceptor.run
            )
            await self._spawn_all(tasks, self._list_tasks())
            await signals.wait()
            end = await self._drain(signals)
            if end is DrainEndReason.IDLE:
                await self._listener.wait_until_read(READ_BEFORE_EXIT_SECONDS)
            await listener_task.cancel()
            await tasks.cancel_remaining()
        return end

    def _list_tasks(self) -> dict[str, TaskFunction]:
        return {
            "turns": self._listener.turns.run,
            "pool": self._calls.watch,
            "platform": self._pollers.poll_platform,
            "loads": self._pollers.poll_loads,
            "control": partial(self._control.run, self._calls.dispatch),
            "probe": self._probe_listener,
        }

    async def _probe_listener(self) -> None:
        assert self._acceptor is not None
        await self._probe.run(self._acceptor)

    def _count_descriptors(self) -> dict[str, int]:
        return super()._count_descriptors() | {
            "callers": self._listener.served_connections,
            "refusals": self._listener.excess_connections,
            "upstreams": self._calls.upstream_connections,
        }

    def _count_in_service(self) -> int:
        return self._calls.in_service + len(self._listener.turns)

    def _count_unwritten_records(self) -> int:
        return self._records.unfinished_writes

    async def _cut(self, reason: str) -> None:
        await self._calls.cut(reason)


def prepare_collector() -> None:
    """Makes garbage collections rare and short."""
    # Objects made so far live as long as the process; frozen ones are not visited
    # again by each full garbage collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def run_router(path: Path) -> None:
    """Runs a router until a signal stops it and its requests are drained.

    Args:
        path: Settings file.

    Raises:
        SettingsError: If the file cannot be read or a field is wrong.
        SystemExit: With ``BROKEN_EXIT_CODE`` if a background task failed repeatedly,
            else with code 1 if the drain limit or a second signal cut the drain short.
    """
    settings = read_settings(path)
    configure_logs(settings.log_level)
    bound_free_memory()
    if settings.gateway is None:
        router: Router | Gateway = Router(settings)
    else:
        router = Gateway(
            settings, settings.gateway, settings_file=SettingsFile(path, settings)
        )
    prepare_collector()
    selector = TimedSelector()
    if isinstance(router, Gateway):
        router.measure_loop(selector)
    end = curio.run(router.serve, selector=selector, activations=[router.usage])
    exit_code = find_exit_code(end, router.broken_task)
    if exit_code:
        sys.exit(exit_code)


def find_exit_code(end: DrainEndReason, broken_task: str | None) -> int:
    """Returns the exit code of a router whose drain ended."""
    if broken_task is not None:
        return BROKEN_EXIT_CODE
    return 0 if end is DrainEndReason.IDLE else 1
