"""Tests of retry decisions, backoff and the retry budget."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from sequoiamoor import Options
from sequoiamoor.core.retries import GiveUp, Retries, Retry, draw_backoff
from sequoiamoor.errors import (
    AnswerIncompleteError,
    RefusalError,
    UpstreamUnreachableError,
    WaitLimitError,
)

from .builders import build_call

OPTIONS = Options.model_validate({})
UNSENT = UpstreamUnreachableError("unsent")
SENT = AnswerIncompleteError("sent")


def build_retries() -> Retries:
    return Retries(OPTIONS, rng=Random(1))


@pytest.mark.parametrize(
    ("fields", "error", "now", "has_begun", "expected"),
    [
        ({"is_repeatable": True}, SENT, 1.0, False, None),
        ({"is_repeatable": True}, UNSENT, 1.0, False, None),
        ({"is_repeatable": False}, UNSENT, 1.0, False, None),
        ({"is_repeatable": False}, SENT, 1.0, False, "not-repeatable"),
        ({"attempts": 3}, UNSENT, 1.0, False, "max-attempts"),
        ({"attempts": 3, "is_repeatable": True}, SENT, 1.0, False, "max-attempts"),
        ({"is_repeatable": True}, SENT, 30.0, False, "deadline"),
        ({"is_repeatable": True}, SENT, 31.0, True, None),
        (
            {"is_repeatable": True, "caller_deadline_at": 30.0},
            SENT,
            31.0,
            True,
            "deadline",
        ),
        ({}, WaitLimitError("wait"), 1.0, False, "not-an-attempt-failure"),
    ],
)
def test_retry_decision(
    fields: dict[str, Any],
    error: RefusalError,
    now: float,
    has_begun: bool,
    expected: str | None,
) -> None:
    """Guards against a second execution, and retries after the caller's limit."""
    call = build_call(**{"attempts": 1, **fields})
    decision = build_retries().decide(call, error, now, has_begun=has_begun)
    if expected is None:
        assert isinstance(decision, Retry)
        assert 0 <= decision.delay <= OPTIONS.retry_base_delay
        assert decision.wait_limit_at > now
    else:
        assert decision == GiveUp(expected)


@pytest.mark.parametrize(
    ("error", "expected"),
    [(UNSENT, None), (SENT, GiveUp("max-attempts"))],
)
def test_unreachable_replicas_do_not_count_as_attempts(
    error: RefusalError, expected: GiveUp | None
) -> None:
    """Guards against refusing a call in a partition although a replica is reachable."""
    retries = build_retries()
    retries.budget.tokens = 0.0
    call = build_call(attempts=3, is_repeatable=True)
    decision = retries.decide(call, error, 1.0, has_begun=False, has_untried=True)
    if expected is None:
        assert isinstance(decision, Retry)
        assert not decision.is_counted
    else:
        assert decision == expected


@pytest.mark.parametrize(
    ("failures", "largest"), [(1, 0.05), (2, 0.1), (3, 0.2), (6, 1.0), (5000, 1.0)]
)
def test_backoff_has_full_jitter(failures: int, largest: float) -> None:
    """Guards against simultaneous retries of many callers."""
    rng = Random(3)
    draws = [draw_backoff(failures, base=0.05, limit=1.0, rng=rng) for _ in range(400)]
    assert max(draws) <= largest
    assert max(draws) > 0.9 * largest
    assert min(draws) < 0.1 * largest


@pytest.mark.parametrize("failing", [0.0, 0.1, 0.5, 1.0])
def test_no_retry_storm(failing: float) -> None:
    """Guards against retries that multiply the load while upstreams fail."""
    retries, rng = build_retries(), Random(5)
    requests, attempts = 5_000, 0
    for number in range(requests):
        call = build_call(number, is_repeatable=True)
        while True:
            call.attempts += 1
            attempts += 1
            if rng.random() >= failing:
                retries.budget.record_success()
                break
            decision = retries.decide(call, SENT, 0.0, has_begun=False)
            if isinstance(decision, GiveUp):
                break
    bound = requests * (1 + OPTIONS.retry_budget_fraction) + OPTIONS.retry_budget_limit
    assert attempts <= bound
