"""Tests of the supervision of background tasks, with each task made to fail."""

from __future__ import annotations

import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from sequoiamoor.core.drain import DrainEndReason
from sequoiamoor.core.restarts import (
    FAILURE_WINDOW_SECONDS,
    MAX_FAILURES,
    RestartRecord,
)
from sequoiamoor.daemon import gateway, process
from sequoiamoor.daemon.gateway import Gateway
from sequoiamoor.daemon.router import BROKEN_EXIT_CODE, Router, find_exit_code
from sequoiamoor.net.acceptor import Acceptor
from sequoiamoor.settings import GatewaySettings, RouterSettings

TIMEOUT_SECONDS = 10.0
ANY_PORT = "127.0.0.1:0"
GATEWAY_TASKS = [
    *("callers", "readiness", "metrics", "turns", "pool", "feeds", "routers"),
    *(
        "readers",
        "directory",
        "control",
        "parts",
        "part rows",
        "settings",
        "lag",
        "probe",
    ),
]
ROUTER_TASKS = ["callers", "turns", "pool", "platform", "loads", "control", "probe"]
TASKS = [(Gateway, name) for name in GATEWAY_TASKS]
TASKS += [(Router, name) for name in ROUTER_TASKS]


def build_router(kind: type[Any]) -> Any:
    """Builds a router on free ports, without store and peers."""
    settings = RouterSettings.model_validate(
        {
            "router_id": "router-0",
            "zone": "zone-a",
            "policy": "shared-load",
            "http": ANY_PORT,
            "control": ANY_PORT,
            "platform": "127.0.0.1:9",
        }
    )
    if kind is Router:
        router = Router(settings)
    else:
        addresses = {"ready": ANY_PORT, "metrics": ANY_PORT}
        router = Gateway(settings, GatewaySettings.model_validate(addresses))
    router._options = router._options.model_copy(update={"drain_announce_time": 0.0})
    return router


class Fault:
    """Makes one task fail a number of times before it runs."""

    def __init__(self, count: int, kind: type[BaseException] | None) -> None:
        self._count = count
        self._kind = kind
        self.starts = 0

    def wrap(
        self, task_function: Callable[[], Awaitable[None]]
    ) -> Callable[[], Awaitable[None]]:
        async def run() -> None:
            self.starts += 1
            if self.starts > self._count:
                await task_function()
            elif self._kind is not None:
                raise self._kind("a fault of the task")

        return run


def serve(
    monkeypatch: pytest.MonkeyPatch,
    router: Any,
    name: str,
    fault: Fault,
    *,
    stops_itself: bool,
) -> DrainEndReason:
    """Runs the router until it ends; stops it once the faulty task runs again."""
    monkeypatch.setattr(process, "TASK_RESTART_DELAY_SECONDS", 0.001)
    tasks = router._list_tasks()
    if name in tasks:
        wrapped = fault.wrap(tasks[name])
        monkeypatch.setattr(router, "_list_tasks", lambda: tasks | {name: wrapped})
    else:
        run = Acceptor.run

        async def run_listener(self: Acceptor) -> None:
            if self.name == name:
                await fault.wrap(lambda: run(self))()
            else:
                await run(self)

        monkeypatch.setattr(Acceptor, "run", run_listener)

    async def main() -> DrainEndReason:
        task = await curio.spawn(router.serve)
        async with curio.timeout_after(TIMEOUT_SECONDS):
            if not stops_itself:
                while fault.starts < 2:
                    await curio.sleep(0.001)
                signal.raise_signal(signal.SIGTERM)
            end: DrainEndReason = await task.join()
        return end

    return curio.run(main)  # type: ignore[no-any-return]


def count_failures(router: Any, name: str) -> float:
    value = router.metrics.registry.get_sample_value(
        "sequoiamoor_task_failures_total", {"task": name}
    )
    return value or 0.0


@pytest.mark.parametrize(("kind", "name"), TASKS)
def test_task_that_keeps_failing_ends_the_router(
    monkeypatch: pytest.MonkeyPatch, kind: type[Any], name: str
) -> None:
    """Guards against a router that goes on without one of its tasks."""
    router = build_router(kind)
    fault = Fault(1_000_000, RuntimeError)
    end = serve(monkeypatch, router, name, fault, stops_itself=True)
    assert router.broken_task == name
    assert router.board.is_leaving
    assert count_failures(router, name) >= MAX_FAILURES
    assert find_exit_code(end, router.broken_task) == BROKEN_EXIT_CODE


@pytest.mark.parametrize(
    ("kind", "name", "error"),
    [
        *((kind, name, RuntimeError) for kind, name in TASKS),
        (Gateway, "readers", curio.TaskTimeout),
        (Gateway, "readers", curio.TimeoutCancellationError),
        (Gateway, "readers", None),
    ],
)
def test_task_that_fails_once_runs_again(
    monkeypatch: pytest.MonkeyPatch,
    kind: type[Any],
    name: str,
    error: type[BaseException] | None,
) -> None:
    """Guards against a task that ends unseen, by an exception, timeout or return."""
    router = build_router(kind)
    end = serve(monkeypatch, router, name, Fault(1, error), stops_itself=False)
    assert count_failures(router, name) == 1
    assert find_exit_code(end, router.broken_task) == 0


@pytest.mark.parametrize("late_seconds", [0.0, 0.05])
@pytest.mark.parametrize("error", [RuntimeError, curio.TaskTimeout])
def test_refusal_of_unsent_requests_in_a_drain_is_tried_again(
    monkeypatch: pytest.MonkeyPatch, error: type[BaseException], late_seconds: float
) -> None:
    """Guards against requests that wait for the cut though none is sent any more.

    The event loop may be late meanwhile. Only the second signal ends the drain.
    """
    monkeypatch.setattr(gateway, "ACCEPT_AFTER_SIGTERM_SECONDS", 0.0)
    monkeypatch.setattr(gateway, "STEP_INTERVAL_SECONDS", 0.001)
    monkeypatch.setattr(gateway, "SEND_LIMIT_FRACTION", 0.005 / TIMEOUT_SECONDS)
    router = build_router(Gateway)
    limits = {"drain_limit": TIMEOUT_SECONDS, "drain_announce_time": TIMEOUT_SECONDS}
    router._options = router._options.model_copy(update=limits)
    refused = curio.Event()
    fault = Fault(1, error)
    refuse = fault.wrap(refused.set)

    async def refuse_late() -> None:
        assert time.monotonic() >= router._forwarder.drain.send_until
        time.sleep(late_seconds)
        await refuse()

    monkeypatch.setattr(router._forwarder, "refuse_unsent", refuse_late)

    async def main() -> None:
        task = await curio.spawn(router.serve)
        await curio.sleep(0)
        signal.raise_signal(signal.SIGTERM)
        async with curio.timeout_after(TIMEOUT_SECONDS):
            await refused.wait()
        assert not task.terminated
        signal.raise_signal(signal.SIGTERM)
        await task.join()

    curio.run(main)
    assert fault.starts == 2
    assert count_failures(router, "refusals") == 1


def test_list_of_tasks_is_complete() -> None:
    """Guards against a task that no test here makes fail."""
    assert build_router(Gateway)._list_tasks().keys() <= set(GATEWAY_TASKS)
    assert build_router(Router)._list_tasks().keys() <= set(ROUTER_TASKS)


@pytest.mark.parametrize(
    ("failed_at", "is_broken"),
    [
        ([0.0] * (MAX_FAILURES - 1), False),
        ([0.0] * MAX_FAILURES, True),
        ([FAILURE_WINDOW_SECONDS * index for index in range(20)], False),
        ([0.0, *[100.0] * (MAX_FAILURES - 1)], False),
        ([0.0, *[100.0] * MAX_FAILURES], True),
    ],
)
def test_only_frequent_failures_break_a_task(
    failed_at: list[float], is_broken: bool
) -> None:
    """Guards against routers that end for failures hours apart."""
    record = RestartRecord()
    for now in failed_at:
        record.record_failure(now)
    assert record.is_broken == is_broken
