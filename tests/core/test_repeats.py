"""Tests of the budget of repeats and of retry decisions for requests on routes."""

from __future__ import annotations

import pytest

from sequoiamoor.core.repeats import RepeatBudget, RepeatLimits, decide_repeat
from sequoiamoor.core.retries import GiveUp
from sequoiamoor.core.routed_call import RoutedCall
from sequoiamoor.core.routes import Route
from sequoiamoor.errors import (
    AnswerIncompleteError,
    NotFoundError,
    RefusalError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from sequoiamoor.types import RouteKind

LIMITS = RepeatLimits(ratio=0.2, window=10.0, extra=8.0)


def build_call(
    kind: RouteKind, *, attempts: int, resumable: bool = False
) -> RoutedCall:
    route = Route(
        "r", "h", "/", kind, resumable, True, 5.0, 0.4, 0.25, attempts, (("s", 1.0),)
    )
    return RoutedCall(
        "c", "q", "o", "r", "s", 0.0, 0.4, 0.4, b"", route=route, ends_at=5.0
    )


def test_budgets_of_all_routers_stay_within_the_fleet_budget_after_restarts() -> None:
    """Guards against too many repeats in total after routers lost their counts."""
    routers, requests, repeats = 8, 40, 0
    for _ in range(2):
        for _ in range(routers):
            budget = RepeatBudget(LIMITS)
            for _ in range(requests // 2):
                budget.record_request("s", 1.0)
            while budget.take("s", 1.0, routers=routers):
                repeats += 1
    assert 0 < repeats <= LIMITS.ratio * requests * routers + LIMITS.extra


def test_budget_is_available_again_after_its_window() -> None:
    """Guards against a budget that is never available again once it is spent."""
    budget = RepeatBudget(LIMITS)
    while budget.take("s", 1.0, routers=1):
        pass
    assert not budget.take("s", 10.9, routers=1)
    assert budget.take("s", 11.1, routers=1)


FAILED = UpstreamFailedError("x")
REFUSED = UpstreamRefusedError("x")
UNREACHABLE = UpstreamUnreachableError("x")


@pytest.mark.parametrize(
    ("kind", "resumable", "attempts", "sent", "error", "expected"),
    [
        (RouteKind.REPEATABLE, False, 2, 1, FAILED, None),
        (RouteKind.REPEATABLE, False, 2, 1, None, None),
        (RouteKind.REPEATABLE, False, 2, 2, FAILED, "max-attempts"),
        (RouteKind.ONCE, False, 2, 1, FAILED, "not-repeatable"),
        (RouteKind.ONCE, False, 2, 1, None, "not-repeatable"),
        (RouteKind.ONCE, False, 2, 1, REFUSED, None),
        (RouteKind.ONCE, False, 1, 1, REFUSED, "max-attempts"),
        (RouteKind.ONCE, False, 1, 0, UNREACHABLE, None),
        (RouteKind.STREAM, False, 2, 1, AnswerIncompleteError("x"), "not-repeatable"),
        (RouteKind.STREAM, True, 2, 1, AnswerIncompleteError("x"), None),
        (
            RouteKind.REPEATABLE,
            False,
            2,
            1,
            NotFoundError("x"),
            "not-an-attempt-failure",
        ),
    ],
)
def test_only_what_may_run_again_is_sent_again(
    kind: RouteKind,
    resumable: bool,
    attempts: int,
    sent: int,
    error: RefusalError | None,
    expected: str | None,
) -> None:
    """Guards against a second execution of a booking, and needless failures."""
    call = build_call(kind, attempts=attempts, resumable=resumable)
    call.sent_attempts = sent
    decision = decide_repeat(
        call, error, budget=RepeatBudget(LIMITS), now=1.0, routers=1
    )
    assert decision == (None if expected is None else GiveUp(expected))


def test_no_request_is_sent_again_after_its_deadline() -> None:
    """Guards against running a request after its caller has given up."""
    call = build_call(RouteKind.REPEATABLE, attempts=2)
    budget = RepeatBudget(LIMITS)
    decision = decide_repeat(call, FAILED, budget=budget, now=5.0, routers=1)
    assert decision == GiveUp("deadline")


@pytest.mark.parametrize(
    ("return_time", "expected"),
    [
        (1.3, None),
        (1.5, "upstreams-unavailable"),
        (float("inf"), "upstreams-unavailable"),
    ],
)
def test_no_repeat_is_taken_that_no_replica_will_get(
    return_time: float, expected: str | None
) -> None:
    """Guards against a budget spent on requests that are refused right after that."""
    call = build_call(RouteKind.ONCE, attempts=2)
    call.sent_attempts = 1
    limits = RepeatLimits(ratio=0.0, window=10.0, extra=2.0)
    budget = RepeatBudget(limits)
    decision = decide_repeat(
        call, REFUSED, budget=budget, now=1.0, routers=1, return_time=return_time
    )
    assert decision == (None if expected is None else GiveUp(expected))
    assert budget.take("s", 1.0, routers=1) == (expected is not None)
