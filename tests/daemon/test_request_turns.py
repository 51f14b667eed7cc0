"""Tests that a flood of requests leaves room for the other tasks of a router."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import curio
import pytest

from sequoiamoor.daemon.request_turns import MAX_REQUESTS_PER_PASS, RequestTurns

from ..listener_harness import (
    Caller,
    Hang,
    ListenerHarness,
    complete_response,
    parse,
    request,
)
from ..listener_harness import run as run_calls
from ..route_listener_harness import (
    RouteListenerHarness,
    answer,
    route_request,
    run,
)

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


async def send_flood(harness: RouteListenerHarness, path: str) -> list[Caller]:
    """Sends requests on open connections; some of them then wait for a pass."""
    callers = [await harness.connect() for _ in range(FLOOD)]
    await curio.sleep(0)
    for caller in callers:
        caller.sock._socket.send(route_request(path))
    while not len(harness.listener.turns):
        await curio.sleep(0)
    return callers


def test_requests_that_wait_for_a_pass_are_answered_before_the_router_ends() -> None:
    """Guards against a drain that ends while requests that were read wait."""

    async def session(harness: RouteListenerHarness) -> None:
        harness.forwarder.drain.refuse_from = 0.0
        callers = await send_flood(harness, "/look/1")
        await harness.listener.wait_until_read(5.0)
        for caller in callers:
            # Sent by now, since the tasks of the connections may be cancelled next.
            assert b'"leaving"' in caller.sock._socket.recv(65_536)

    run(session)


def test_requests_that_a_shutdown_ends_are_answered() -> None:
    """Guards against connections that a forced shutdown closes without an answer."""

    async def session(harness: RouteListenerHarness) -> None:
        await harness.add_upstream(*[lambda _: [Hang()]] * FLOOD)
        callers = await send_flood(harness, "/hold/1")
        for task in harness.tasks:
            await task.cancel(blocking=False)
        told: Counter[tuple[int, str]] = Counter()
        for caller in callers:
            response = parse(await caller.receive_all())
            told[response.status, response.refusal["execution"]] += 1
        waited = FLOOD - MAX_REQUESTS_PER_PASS
        assert told == {
            (503, "was not run"): waited,
            (500, "may have run"): MAX_REQUESTS_PER_PASS,
        }

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


@pytest.mark.parametrize("is_route", [False, True])
def test_time_of_a_request_runs_while_it_waits_for_a_pass(
    is_route: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work for callers that wait no longer."""

    async def wait(turns: RequestTurns, organisation: str | None) -> None:
        await curio.sleep(0.2)

    monkeypatch.setattr(RequestTurns, "wait", wait)

    async def session(harness: ListenerHarness) -> None:
        script = [answer()] if is_route else [complete_response("call-1", b"{}")]
        service = "talk" if is_route else "look"
        upstream = await harness.add_upstream(lambda _: script, service=service)
        if is_route:
            data = route_request("/quick/1")
        else:
            data = request("look", stream=False, extra=b"X-Deadline-Ms: 150\r\n")
        caller = await harness.connect()
        await caller.send(data)
        response = parse(await caller.receive_until(b"}"))
        assert response.status == 503
        assert response.refusal["execution"] == "was not run"
        assert not upstream.requests

    (run if is_route else run_calls)(session)


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
