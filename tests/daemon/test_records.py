"""Tests of at-most-once records through real routers."""

from __future__ import annotations

import json
import signal
import time
from typing import Any

import curio
import pytest

from .fleet import (
    call,
    call_async,
    read_counter,
    read_executions,
    read_record,
    read_status,
    run_small_fleet,
    set_faults,
    wait_until,
)

pytestmark = pytest.mark.processes


def test_repeated_booking_runs_once_while_table_answers_are_lost() -> None:
    """Guards against a booking that runs twice when its caller repeats it.

    Repeats go through two routers while the platform loses 30 % of its answers.
    """
    bookings = 30
    # A process that stands still for a second is no outage of the platform here.
    options = {"claim_timeout": 12.0, "claim_lifetime": 15.0}

    async def book(routers: list[Any], number: int) -> list[tuple[int, Any]]:
        answers = []
        for turn in range(4):
            router = routers[(number + turn) % 2]
            status, _, data = await call_async(router, f"booking-{number}", work_ms=5)
            answers.append((status, json.loads(data)))
        return answers

    async def book_all(routers: list[Any]) -> list[list[tuple[int, Any]]]:
        tasks = [await curio.spawn(book, routers, one) for one in range(bookings)]
        return [await task.join() for task in tasks]

    with run_small_fleet(options=options) as (fleet, routers):
        set_faults(fleet, lose=0.3)
        results = curio.run(book_all, routers)
        set_faults(fleet)
        assert read_executions(fleet) == {f"a/booking-{n}": 1 for n in range(bookings)}
        for answers in results:
            assert answers[0][0] == 200
            for status, document in answers:
                if status != 200:
                    assert document["code"] == "duplicate-call"
                    assert document["execution"]


def test_repeat_gets_the_kept_answer_and_a_reused_identifier_is_refused() -> None:
    """Guards against answering a call with the result of another one.

    Both calls have the same request identifier, but different bodies.
    """
    with run_small_fleet() as (fleet, (first, second)):
        status, headers, answer = call(first, "lane-7", work_ms=1)
        assert status == 200 and "x-replayed" not in headers
        wait_until(lambda: read_record(fleet, "lane-7")["state"] == "done")
        status, headers, repeated = call(second, "lane-7", work_ms=1)
        assert (status, headers["x-replayed"], repeated) == (200, "true", answer)
        status, _, refusal = call(second, "lane-7", work_ms=2)
        assert (status, refusal["code"]) == (422, "request-id-reused")
        assert refusal["execution"] == "was not run"
        assert read_executions(fleet) == {"a/lane-7": 1}


@pytest.mark.parametrize("faults", [{"outage": True}, {"delay_ms": 5_000}])
def test_platform_outage_refuses_only_bookings_with_an_identifier(
    faults: dict[str, Any],
) -> None:
    """Guards against bookings without a record during an outage of the platform.

    Calls that need no record must still be served.
    """
    with run_small_fleet(1) as (fleet, (router,)):
        set_faults(fleet, **faults)
        for number in range(3):
            status, headers, refusal = call(router, f"b-{number}")
            assert (status, refusal["code"]) == (503, "record-unavailable")
            assert refusal["execution"] == "was not run"
            assert int(headers["retry-after"]) >= 1
        assert read_executions(fleet) == {}
        assert call(router, None)[0] == 200
        status, _, _ = call_talk(router)
        assert status == 200
        set_faults(fleet)
        wait_until(lambda: call(router, "b-0")[0] == 200)


def test_done_is_written_after_an_outage_without_delaying_the_caller() -> None:
    """Guards against a repeat without an answer after an outage of the platform.

    The outage covers the time in which the record should be marked done.
    """
    with run_small_fleet(1) as (fleet, (router,)):

        async def book() -> int:
            task = await curio.spawn(
                lambda: call_async(router, "lane-3", work_ms=1_000)
            )
            await curio.run_in_thread(wait_until, lambda: read_executions(fleet))
            await curio.run_in_thread(lambda: set_faults(fleet, outage=True))
            status, _, _ = await task.join()
            return int(status)

        assert curio.run(book) == 200
        wait_until(lambda: read_status(router)["store"]["unwritten_records"])
        set_faults(fleet)
        wait_until(lambda: read_record(fleet, "lane-3")["state"] == "done")
        assert call(router, "lane-3", work_ms=1_000)[1]["x-replayed"] == "true"
        assert read_executions(fleet) == {"a/lane-3": 1}


def call_talk(router: Any) -> tuple[int, dict[str, str], bytes]:
    async def run() -> tuple[int, dict[str, str], bytes]:
        return await call_async(
            router, "t-1", service="talk", class_name="chat", tokens=4
        )

    return curio.run(run)


def test_booking_goes_to_another_replica_if_nothing_was_sent() -> None:
    """Guards against refusing a call because its first replica is unreachable.

    As nothing was sent to it, the claim of the call is still valid for another replica.
    """
    with run_small_fleet(1, desks=2, policy="round-robin") as (fleet, (router,)):
        fleet.processes["desk-1"].kill()
        fleet.processes["desk-1"].wait()
        for number in range(8):
            assert call(router, f"b-{number}", work_ms=1)[0] == 200
        assert set(read_executions(fleet).values()) == {1}
        assert len(read_executions(fleet)) == 8
        series = 'sequoiamoor_retries_total{code="upstream-unreachable"}'
        assert read_counter(router, series) >= 1


def test_router_paused_past_its_claim_does_not_send_the_call() -> None:
    """Guards against a call that is sent on an expired claim.

    The router is paused while it waits for the answer to its claim, until the claim
    has expired.
    """
    options = {"claim_lifetime": 0.5, "claim_timeout": 30.0, "table_timeout": 30.0}
    with run_small_fleet(options=options) as (fleet, (paused, other)):
        process = fleet.processes["router-0"]
        set_faults(fleet, delay_ms=2_000)

        def pause_over_lifetime() -> None:
            wait_until(lambda: read_counter(paused, "sequoiamoor_running_requests"))
            time.sleep(0.2)
            process.send_signal(signal.SIGSTOP)
            set_faults(fleet)
            wait_until(lambda: read_record(fleet, "lane-9") is not None)
            time.sleep(0.5)
            process.send_signal(signal.SIGCONT)

        async def book() -> tuple[int, dict[str, str], bytes]:
            task = await curio.spawn(call_async, paused, "lane-9")
            await curio.run_in_thread(pause_over_lifetime)
            result: tuple[int, dict[str, str], bytes] = await task.join()
            return result

        status, _, data = curio.run(book)
        refusal = json.loads(data)
        assert (status, refusal["code"]) == (503, "claim-expired")
        assert refusal["execution"] == "was not run"
        wait_until(lambda: read_record(fleet, "lane-9")["state"] == "abandoned")
        assert read_executions(fleet) == {}
        assert call(other, "lane-9")[0] == 200
        assert read_executions(fleet) == {"a/lane-9": 1}
