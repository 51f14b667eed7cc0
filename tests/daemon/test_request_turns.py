"""Tests that a flood of requests leaves room for the other tasks of a router."""

from __future__ import annotations

from itertools import pairwise

import curio
import pytest

from sequoiamoor.daemon.request_turns import MAX_REQUESTS_PER_PASS, RequestTurns

from ..listener_harness import parse
from ..route_listener_harness import RouteListenerHarness, route_request, run

FLOOD = 3 * MAX_REQUESTS_PER_PASS + 1


def test_a_flood_of_requests_lets_other_tasks_run() -> None:
    """Guards against timers and control that wait until a flood is answered."""

    async def session(harness: RouteListenerHarness) -> None:
        callers = [await harness.connect() for _ in range(FLOOD)]
        # Until here each connection waits for its request.
        await curio.sleep(0)
        for caller in callers:
            caller.sock._socket.send(route_request("/keyed/1"))
        counts = [0.0]
        while counts[-1] < FLOOD:
            await curio.sleep(0)
            counts.append(harness.counter("refusals", code="key-unknown"))
        assert max(b - a for a, b in pairwise(counts)) == MAX_REQUESTS_PER_PASS
        for caller in callers:
            response = parse(await caller.receive_until(b"}\n"))
            assert (response.status, response.rest) == (401, b"")
            await caller.close()
        await harness.wait_for(lambda: not harness.listener._connections)

    run(session)


def test_requests_wait_counted_and_cancelled_ones_hold_up_no_others() -> None:
    """Guards against a drain that misses waiting requests, and against lost turns."""

    async def main() -> None:
        turns = RequestTurns()
        begun = []

        async def begin(number: int) -> None:
            await turns.wait("captains")
            begun.append(number)

        tasks = [await curio.spawn(begin, it, daemon=True) for it in range(FLOOD)]
        await curio.sleep(0)
        assert len(turns) == FLOOD - MAX_REQUESTS_PER_PASS
        for task in tasks[MAX_REQUESTS_PER_PASS:-1]:
            await task.cancel(blocking=False)
        await tasks[-1].join()
        assert begun == [*range(MAX_REQUESTS_PER_PASS), FLOOD - 1]
        assert len(turns) == 0

    curio.run(main)


def test_waiting_requests_begin_when_the_failed_runner_runs_again() -> None:
    """Guards against requests that wait until another one comes, or for good."""

    async def main() -> None:
        turns = RequestTurns()
        start_pass = turns._turns.start_pass
        failures = iter([RuntimeError("a fault of the runner")])

        def fail_once_with_waiting_requests() -> list[curio.Event]:
            if len(turns):
                for error in failures:
                    raise error
            return start_pass()

        turns._turns.start_pass = fail_once_with_waiting_requests  # type: ignore[method-assign]
        runner = await curio.spawn(turns.run)
        await curio.sleep(0)
        tasks = [await curio.spawn(turns.wait, "captains") for _ in range(FLOOD)]
        with pytest.raises(curio.TaskError):
            await runner.join()
        await curio.spawn(turns.run, daemon=True)
        async with curio.timeout_after(10.0):
            for task in tasks:
                await task.join()

    curio.run(main)
