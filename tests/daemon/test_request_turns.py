"""Tests that a flood of requests leaves room for the other tasks of a router."""

from __future__ import annotations

import curio

from sequoiamoor.daemon.request_turns import MAX_REQUESTS_PER_PASS, RequestTurns

from ..listener_harness import Caller
from ..route_listener_harness import RouteListenerHarness, route_request, run

FLOOD = 3 * MAX_REQUESTS_PER_PASS + 1


def test_a_flood_of_requests_lets_other_tasks_run() -> None:
    """Guards against timers and control that wait until a flood is answered."""

    async def session(harness: RouteListenerHarness) -> None:
        def count() -> float:
            return harness.counter("refusals", code="key-unknown")

        callers: list[Caller] = [await harness.connect() for _ in range(FLOOD)]
        # Until here each connection waits for its request.
        await curio.sleep(0)
        for caller in callers:
            caller.sock._socket.send(route_request("/keyed/1"))
        answered_by_pass = []
        while count() < FLOOD:
            before = count()
            await curio.sleep(0)
            answered_by_pass.append(count() - before)
        assert max(answered_by_pass) == MAX_REQUESTS_PER_PASS
        for caller in callers:
            received = await caller.receive_until(b"}\n")
            assert received.startswith(b"HTTP/1.1 401 ")
            assert received.count(b"HTTP/1.1") == 1
            await caller.close()
        await harness.wait_for(lambda: not harness.listener._connections)

    run(session)


def test_requests_that_are_cancelled_hold_up_no_others() -> None:
    """Guards against turns that are lost when callers' tasks end as they wait."""

    async def main() -> None:
        turns = RequestTurns()
        begun = []

        async def begin(number: int) -> None:
            await turns.wait("captains")
            begun.append(number)

        tasks = [
            await curio.spawn(begin, number, daemon=True) for number in range(FLOOD)
        ]
        await curio.sleep(0)
        for task in tasks[MAX_REQUESTS_PER_PASS:-1]:
            await task.cancel(blocking=False)
        await tasks[-1].join()
        assert begun == [*range(MAX_REQUESTS_PER_PASS), FLOOD - 1]

    curio.run(main)


def test_waiting_requests_are_counted_until_they_begin() -> None:
    """Guards against a drain that ends while requests it has read wait for a turn."""

    async def main() -> None:
        turns = RequestTurns()
        counts = []
        tasks = [await curio.spawn(turns.wait, "captains") for _ in range(FLOOD)]
        while not counts or counts[-1]:
            await curio.sleep(0)
            counts.append(len(turns))
        assert max(counts) == FLOOD - MAX_REQUESTS_PER_PASS
        for task in tasks:
            await task.join()

    curio.run(main)
