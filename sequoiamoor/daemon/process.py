"""Base of the router processes: blackboard, control tasks, shutdown."""

from __future__ import annotations

import logging
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import curio

from ..core.blackboard import create_blackboard
from ..core.connection_memory import find_connection_limit
from ..core.drain import Drain, DrainEndReason
from ..core.held_bytes import MEGABYTE, find_limit
from ..core.restarts import RestartRecord
from ..metrics import Metrics
from ..net.signals import SignalWatch
from ..policies import create_policy
from ..settings import RouterSettings
from ..timeouts import STRAY_TIMEOUTS, wait_for
from ..types import RouterIdentity
from .budget import fit_settings
from .control import Control
from .usage import ControlUsage

_LOG = logging.getLogger(__name__)

DRAIN_CHECK_INTERVAL_SECONDS = 0.02
TASK_RESTART_DELAY_SECONDS = 0.5
READ_BEFORE_EXIT_SECONDS = 0.5
"""Longest time at the end of a drain for requests that lie unread in sockets."""
CONTROL_TASKS = frozenset({"platform", "loads", "control", "parts", "part rows"})
"""Tasks whose CPU time counts as control."""

TaskFunction = Callable[[], Awaitable[None]]


class RouterProcess:
    """Base of the router processes; a subclass serves the requests.

    Attributes:
        board: State of the router.
        metrics: Prometheus metrics of the process.
        usage: CPU time of the control tasks.
        budget: File descriptors by use.
        broken_task: Name of the background task that made the router stop because it
            failed repeatedly, or None.
    """

    def __init__(self, settings: RouterSettings) -> None:
        settings, self.budget = fit_settings(settings)
        self._settings = settings
        self._options = settings.options
        self._rng = Random(settings.seed)
        identity = RouterIdentity(
            settings.router_id, time.time_ns() // 1_000_000, settings.zone
        )
        self.board = create_blackboard(identity, settings.options)
        memory_mb = settings.memory_mb
        self.board.held_bytes.limit = find_limit(
            None if memory_mb is None else memory_mb * MEGABYTE
        )
        self.board.connection_memory.limit = find_connection_limit(
            self.board.held_bytes.limit
        )
        self.metrics = Metrics()
        for use, count in self.budget.to_parts().items():
            self.metrics.descriptor_budget.labels(use).set(count)
        self.usage = ControlUsage(self.metrics.control_cpu.inc)
        self.broken_task: str | None = None
        self._policy = create_policy(settings.policy, rng=self._rng)
        self._control = Control(
            self.board,
            self._policy,
            self.metrics,
            settings=settings,
            rng=self._rng,
            usage=self.usage,
            connection_limit=self.budget.peers,
        )

    async def _supervise(self, name: str, task_function: TaskFunction) -> None:
        """Runs a task until cancelled and restarts it when it fails or returns.

        A curio task group does not raise the exception of a failed task, so the router
        would continue without polls or reports. If the task fails repeatedly, the
        router is asked to stop; the task is restarted during the drain, too.

        Args:
            name: Name of the task in the log and the metrics.
            task_function: Body of the task.
        """
        if name in CONTROL_TASKS:
            self.usage.include(await curio.current_task())
        record = RestartRecord()
        while True:
            try:
                await task_function()
                _LOG.error(
                    "background task failed; restarting it",
                    extra={"reason": f"{name} ended"},
                )
            except (Exception, *STRAY_TIMEOUTS):
                # The last two are no subclasses of Exception.
                _LOG.exception(
                    "background task failed; restarting it", extra={"reason": name}
                )
            self.metrics.task_failures.labels(name).inc()
            record.record_failure(time.monotonic())
            if record.is_broken and self.broken_task is None:
                self.broken_task = name
                self._stop_because_broken(name)
            await curio.sleep(TASK_RESTART_DELAY_SECONDS)

    def _stop_because_broken(self, name: str) -> None:
        _LOG.error(
            "background task keeps failing; router stops", extra={"reason": name}
        )
        # A second signal would cut a drain short.
        if not self.board.is_leaving:
            signal.raise_signal(signal.SIGTERM)

    async def _spawn_all(
        self, tasks: Any, task_functions: dict[str, TaskFunction]
    ) -> None:
        for name, task_function in task_functions.items():
            await tasks.spawn(partial(self._supervise, name, task_function))

    def _count_descriptors(self) -> dict[str, int]:
        """Returns the descriptors in use, by the names of the budget's parts."""
        return {"peers": self._control.open_count}

    def _count_in_service(self) -> int:
        """Returns the number of accepted requests that are not answered completely."""
        raise NotImplementedError

    def _count_unwritten_records(self) -> int:
        """Returns the number of records that are still to be written."""
        return 0

    async def _cut(self, reason: str) -> None:
        """Ends the requests that are still in service; does nothing by default.

        Args:
            reason: Why the drain was cut short.
        """

    async def _drain(self, signals: SignalWatch) -> DrainEndReason:
        drain = Drain(
            limit=self._options.drain_limit,
            min_drain_seconds=self._options.drain_announce_time,
            max_record_wait_seconds=self._options.drain_record_time,
        )
        drain.take_signal(time.monotonic())
        self.board.is_leaving = drain.is_leaving
        self._control.report_leaving()
        _LOG.info("draining")
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self._handle_signals, drain, signals)
            while (end := self._find_drain_end(drain)) is None:
                await curio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
            await tasks.cancel_remaining()
        if end is not DrainEndReason.IDLE:
            await self._cut(end.value)
            await wait_for(self._options.drain_cut_time, self._wait_until_answered)
        _LOG.info("drained", extra={"reason": end.value})
        return end

    async def _handle_signals(self, drain: Drain, signals: SignalWatch) -> None:
        while True:
            # SIGHUP reloads the settings; it must not count as a second stop signal.
            if await signals.wait() != signal.SIGHUP:
                drain.take_signal(time.monotonic())

    def _find_drain_end(self, drain: Drain) -> DrainEndReason | None:
        return drain.find_end_reason(
            time.monotonic(),
            in_service=self._count_in_service(),
            records=self._count_unwritten_records(),
        )

    async def _wait_until_answered(self) -> None:
        while self._count_in_service():
            await curio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
