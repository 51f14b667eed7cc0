"""Tests of two simultaneous faults: what callers are told, how often a call runs."""

from __future__ import annotations

import json
import signal
import time
from typing import Any

import curio
import pytest

from sequoiamoor.standin.client import fetch, read_metrics
from sequoiamoor.standin.launcher import Fleet
from sequoiamoor.types import Address

from .fleet import (
    call,
    call_async,
    read_executions,
    read_record,
    run_small_fleet,
    set_faults,
    wait_until,
)

pytestmark = pytest.mark.processes

LEAVING_LIMIT_SECONDS = 3.0
WORK_MS = 1_500
LONG_WORK_MS = 3_000
"""Work during which all requests arrive, also on a VM short of processor time."""

REPEATS = 4


def set_service_faults(fleet: Fleet, **faults: Any) -> None:
    fetch(fleet.upstreams["desk-0"], "POST", "/admin/faults", faults)


def count_writes(fleet: Fleet) -> int:
    return int(fetch(fleet.platform, "GET", "/admin/counts")[1]["writes"])


def book_during(router: Address, action: Any) -> tuple[int, Any]:
    """Makes a booking and runs the action meanwhile.

    Returns:
        Status and body of the response; status 0 if the connection was lost.
    """

    async def book() -> tuple[int, Any]:
        try:
            status, _, data = await call_async(router, "lane-1", work_ms=WORK_MS)
        except (OSError, EOFError) as err:
            return 0, {"execution": None, "code": repr(err)}
        return status, json.loads(data)

    async def run() -> tuple[int, Any]:
        task = await curio.spawn(book)
        await curio.run_in_thread(action)
        result: tuple[int, Any] = await task.join()
        return result

    return curio.run(run)


def test_claim_with_a_lost_answer_is_not_used_after_it_expired() -> None:
    """Guards against a booking that is sent on an expired claim.

    The claiming write takes effect and its answer is lost; the router is paused until
    the claim has expired. When it reads the record, the claim is its own, but expired.
    """
    options = {"claim_lifetime": 0.5, "claim_timeout": 30.0}
    with run_small_fleet(options=options) as (fleet, (paused, other)):
        process = fleet.processes["router-0"]
        before = count_writes(fleet)

        def lose_and_pause() -> None:
            wait_until(lambda: count_writes(fleet) > before)
            process.send_signal(signal.SIGSTOP)
            set_faults(fleet)
            assert read_record(fleet, "lane-1")["state"] == "claimed"
            status, _, refusal = call(other, "lane-1", work_ms=WORK_MS)
            assert (status, refusal["execution"]) == (409, "may have run")
            time.sleep(0.5)
            process.send_signal(signal.SIGCONT)

        set_faults(fleet, lose=1.0)
        status, refusal = book_during(paused, lose_and_pause)
        assert (status, refusal["execution"]) == (503, "was not run")
        assert read_executions(fleet) == {}
        wait_until(lambda: read_record(fleet, "lane-1")["state"] == "abandoned")
        status, _, answer = call(other, "lane-1", work_ms=WORK_MS)
        assert status == 200
        wait_until(lambda: read_record(fleet, "lane-1")["state"] == "done")
        assert call(paused, "lane-1", work_ms=WORK_MS)[2] == answer
        assert read_executions(fleet) == {"a/lane-1": 1}


def lose_answers(fleet: Fleet) -> None:
    set_faults(fleet, lose=0.5)


def stop_platform(fleet: Fleet) -> None:
    set_faults(fleet, outage=True)


def kill_router(fleet: Fleet) -> None:
    fleet.kill("router-0")


def pause_router(fleet: Fleet) -> None:
    """Pauses the router until the upstream's work is over."""
    process = fleet.processes["router-0"]
    process.send_signal(signal.SIGSTOP)
    time.sleep(WORK_MS / 1000)
    process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    "cause_second_fault", [lose_answers, stop_platform, kill_router, pause_router]
)
@pytest.mark.parametrize("is_answer_lost", [True, False])
def test_booking_runs_once_despite_a_second_fault(
    cause_second_fault: Any, is_answer_lost: bool
) -> None:
    """Guards against a repeat at another router that runs a booking again.

    The upstream runs the booking and may not send its answer; meanwhile the platform
    loses answers or is down, or the router is killed or paused.
    """
    with run_small_fleet() as (fleet, (first, other)):
        set_service_faults(fleet, lose_answer=is_answer_lost, remaining=1)

        def act() -> None:
            wait_until(lambda: read_executions(fleet))
            cause_second_fault(fleet)

        status, told = book_during(first, act)
        if status == 200:
            assert not is_answer_lost and told["done"]
        elif status:
            assert is_answer_lost and told["execution"] == "may have run"
        else:
            assert cause_second_fault is kill_router
        set_faults(fleet)
        for _ in range(REPEATS):
            status, _, repeated = call(other, "lane-1", work_ms=WORK_MS)
            if status == 200:
                assert repeated["done"]
            else:
                assert repeated["execution"] in ("may have run", "was run")
        assert read_executions(fleet) == {"a/lane-1": 1}


@pytest.mark.parametrize("cause_second_fault", [lose_answers, stop_platform])
def test_refusal_of_the_upstream_while_the_platform_fails(
    cause_second_fault: Any,
) -> None:
    """Guards against `was not run` about a booking that a later attempt runs.

    The upstream states that it did not run the booking, and the platform fails while
    the router marks the record abandoned.
    """
    with run_small_fleet() as (fleet, (first, other)):
        set_service_faults(fleet, refuse=True, delay_ms=WORK_MS)

        def act() -> None:
            wait_until(lambda: read_record(fleet, "lane-1"))
            cause_second_fault(fleet)

        status, refusal = book_during(first, act)
        assert (status, refusal["execution"]) == (503, "was not run")
        assert read_executions(fleet) == {}
        set_service_faults(fleet)
        set_faults(fleet)
        wait_until(lambda: read_record(fleet, "lane-1")["state"] == "abandoned")
        assert call(other, "lane-1", work_ms=WORK_MS)[0] == 200
        assert read_executions(fleet) == {"a/lane-1": 1}


def test_drain_answers_all_requests_while_an_upstream_leaves() -> None:
    """Guards against requests aborted or left waiting by a shutdown.

    At the same time one of the two upstream VMs leaves.
    """
    calls = 12

    async def book(router: Address, told: list[int]) -> None:
        status, _, _ = await call_async(router, None, work_ms=LONG_WORK_MS)
        told.append(status)

    async def run(fleet: Fleet, router: Address) -> list[int]:
        told: list[int] = []
        process = fleet.processes["router-0"]

        def have_all_arrived() -> bool:
            answered = len(told)
            page = read_metrics(router)
            (running,) = page.read("sequoiamoor_running_requests")
            (waiting,) = page.read("sequoiamoor_waiting_requests")
            return waiting > 0 and answered + running + waiting == calls

        def leave_and_drain() -> None:
            # A request that arrives after SIGTERM is refused, rightly.
            wait_until(have_all_arrived)
            leaving = fleet.upstreams["desk-1"]
            fetch(leaving, "POST", "/admin/leaving", {"leaving": True})
            process.send_signal(signal.SIGTERM)

        async with curio.TaskGroup() as tasks:
            for _ in range(calls):
                await tasks.spawn(book, router, told)
            await curio.run_in_thread(leave_and_drain)
        return told

    with run_small_fleet(desks=2, policy="arbitrated") as (fleet, (router, _)):
        told = curio.run(run, fleet, router)
        assert told == [200] * calls
        assert fleet.processes["router-0"].wait(20) == 0
        counts = fetch(fleet.upstreams["desk-1"], "GET", "/admin/counts")[1]
        last_start = counts["last_start_after_leaving_seconds"]
        assert last_start is None or last_start <= LEAVING_LIMIT_SECONDS
