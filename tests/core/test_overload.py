"""Tests of early refusal under overload."""

from __future__ import annotations

import pytest

from sequoiamoor import Options
from sequoiamoor.core.overload import Overload
from sequoiamoor.errors import WaitLimitUnreachableError
from sequoiamoor.types import CallRequest, Execution

from .builders import build_call

STEP = 0.1


def build_overload() -> Overload:
    return Overload(Options.model_validate({}))


class Queue:
    """Queue of one organisation that starts one call every ``interval`` steps."""

    def __init__(self, overload: Overload, interval: int) -> None:
        self.overload = overload
        self.interval = interval
        self.waiting: list[CallRequest] = []
        self.refusals: list[WaitLimitUnreachableError] = []
        self.waits: list[float] = []

    def run(self, steps: int, arrivals: int, wait_limit: float) -> None:
        """Runs the given number of steps with ``arrivals`` calls per step."""
        for step in range(1, steps + 1):
            now = step * STEP
            for _ in range(arrivals):
                call = build_call(arrival=now, wait_limit_at=now + wait_limit)
                try:
                    self.overload.check_arrival(call, len(self.waiting), now)
                except WaitLimitUnreachableError as error:
                    self.refusals.append(error)
                    continue
                self.waiting.append(call)
                self.overload.record_waiting(call, len(self.waiting), now)
            if self.interval and step % self.interval == 0 and self.waiting:
                call = self.waiting.pop(0)
                self.overload.record_start(call, len(self.waiting), now)
                self.waits.append(now - call.arrival)


def test_excess_is_refused_early_and_the_rest_starts_in_time() -> None:
    """Guards against requests that wait until their limit and are then refused."""
    queue = Queue(build_overload(), interval=1)
    queue.run(600, arrivals=3, wait_limit=4.0)
    assert len(queue.refusals) > 1_000
    for error in queue.refusals:
        assert error.execution is Execution.WAS_NOT_RUN
        assert error.retry_after is not None and 1 <= error.retry_after <= 60
    # The estimate assumes one more start than observed, so waits end near the limit.
    assert max(queue.waits) <= 4.0 * 1.15
    assert sum(queue.waits[100:]) / len(queue.waits[100:]) > 4.0 * 0.75


def test_slow_arrivals_do_not_count_as_a_slow_service() -> None:
    """Guards against refusing a burst because few requests came before it."""
    overload = build_overload()
    for number in range(50):
        now = number * 20.0
        call = build_call(number, arrival=now, wait_limit_at=now + 1)
        overload.check_arrival(call, 0, now)
        overload.record_waiting(call, 1, now)
        overload.record_start(call, 0, now)
    burst = build_call(arrival=1_000.0, wait_limit_at=1_001.0)
    for waiting in range(100):
        overload.check_arrival(burst, waiting, 1_000.0)
        overload.record_waiting(burst, waiting + 1, 1_000.0)


def test_pause_of_all_upstreams_refuses_no_request_near_the_front() -> None:
    """Guards against refusing the next request because of an outage of seconds."""
    queue = Queue(build_overload(), interval=0)
    queue.run(30, arrivals=1, wait_limit=30.0)
    assert queue.waiting
    limit_at = 33.0
    call = build_call(arrival=3.0, wait_limit_at=limit_at)
    queue.overload.check_arrival(call, 1, 3.0)


def test_wait_limit_names_the_time_to_wait() -> None:
    """Guards against a Retry-After so short that the caller meets the same queue."""
    queue = Queue(build_overload(), interval=10)
    queue.run(100, arrivals=1, wait_limit=100.0)
    call = build_call(arrival=5.0, wait_limit_at=10.0)
    error = queue.overload.build_wait_limit_error(call, len(queue.waiting), 10.0)
    assert error.execution is Execution.WAS_NOT_RUN
    assert error.retry_after is not None and error.retry_after > 30


@pytest.mark.parametrize(("waiting", "is_refused"), [(0, False), (7, False), (8, True)])
def test_some_requests_always_wait_so_that_demand_is_reported(
    waiting: int, is_refused: bool
) -> None:
    """Load: more requests than can be served, at two routers.

    Guards against a router that refuses all requests on arrival after a second without
    a slot, reports no demand to the others because of that, and never gets a slot.
    """
    overload = Overload(Options.model_validate({}), min_queued_requests=8)
    call = CallRequest("c", "q", "o", "chat", "talk", 2.0, 2.4, 2.3, b"")
    overload.record_waiting(call, 1, 0.0)
    overload.record_waiting(call, 1, 2.0)
    refused = False
    try:
        overload.check_arrival(call, waiting, 2.0)
    except WaitLimitUnreachableError:
        refused = True
    assert refused is is_refused
