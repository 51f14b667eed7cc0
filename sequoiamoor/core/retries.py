"""Retry decisions for calls: whether and when an attempt is repeated."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..errors import (
    RefusalError,
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from ..options import Options
from ..types import CallRequest, Execution

_ATTEMPT_FAILURE_TYPES = (
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)


def draw_backoff(failures: int, *, base: float, limit: float, rng: Random) -> float:
    """Returns an exponential backoff delay in seconds with full jitter.

    Args:
        failures: Number of failures so far, at least 1.
        base: Largest delay in seconds after the first failure; it doubles with each
            further failure.
        limit: Largest delay in seconds after any number of failures.
        rng: Random number generator.
    """
    return rng.uniform(0.0, min(limit, base * 2.0 ** min(failures - 1, 32)))


class RetryBudget:
    """Token bucket that successes fill and retries drain.

    It starts full, so that a router that has just started can retry. If every attempt
    fails, no more than the stored tokens are spent.

    Args:
        fraction: Tokens that a success adds.
        limit: Capacity of the bucket in tokens.

    Attributes:
        tokens: Tokens in the bucket.
    """

    def __init__(self, *, fraction: float, limit: float) -> None:
        self._fraction = fraction
        self._limit = limit
        self.tokens = limit

    def record_success(self) -> None:
        """Adds the tokens of a success."""
        self.tokens = min(self._limit, self.tokens + self._fraction)

    def take(self) -> bool:
        """Takes a token; returns whether one was left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to start another attempt.

    Attributes:
        delay: Seconds to wait before the attempt.
        wait_limit_at: Monotonic time by which the next attempt must start.
        is_counted: Whether the failed attempt counts towards the attempt limit and the
            budget.
    """

    delay: float
    wait_limit_at: float
    is_counted: bool = True


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision not to start another attempt.

    Attributes:
        reason: Label of the metric of refused retries.
    """

    reason: str


class Retries:
    """Decides on retries for all calls of one router."""

    def __init__(self, options: Options, *, rng: Random) -> None:
        self._options = options
        self._rng = rng
        self.budget = RetryBudget(
            fraction=options.retry_budget_fraction, limit=options.retry_budget_limit
        )

    def decide(
        self,
        call: CallRequest,
        error: RefusalError,
        now: float,
        *,
        has_begun: bool,
        has_untried: bool = False,
    ) -> Retry | GiveUp:
        """Returns whether a failed attempt is retried.

        An attempt that could not connect put no work on any upstream. It does not
        count while there is a replica that the call has not tried: in a partition
        most replicas of a service can be unreachable at the same time.

        Args:
            call: The call whose attempt failed.
            error: Why it failed.
            now: Monotonic time in seconds.
            has_begun: Whether the caller has received a part of the answer. Such a
                stream may wait for its continuation as long as its class lets a
                new request wait, because its own limit was met when it began.
            has_untried: Whether there is a replica where no attempt of the call failed.
        """
        if not is_attempt_failure(error):
            return GiveUp("not-an-attempt-failure")
        # An upstream's statement that it did not run the request does not prove that
        # nothing reached it.
        is_unsent = error.execution is Execution.WAS_NOT_RUN and not isinstance(
            error, UpstreamRefusedError
        )
        if not call.is_repeatable and not is_unsent:
            return GiveUp("not-repeatable")
        is_uncounted = has_untried and isinstance(error, UpstreamUnreachableError)
        if not is_uncounted and call.attempts >= self._options.max_attempts:
            return GiveUp("max-attempts")
        limit_at = call.wait_limit_at
        if has_begun and call.caller_deadline_at is None:
            limit_at = max(limit_at, now + call.wait_limit_at - call.arrival)
        delay = draw_backoff(
            call.attempts,
            base=self._options.retry_base_delay,
            limit=self._options.retry_max_delay,
            rng=self._rng,
        )
        if now + delay >= limit_at:
            return GiveUp("deadline")
        if not is_uncounted and not self.budget.take():
            return GiveUp("budget")
        return Retry(delay, limit_at, is_counted=not is_uncounted)


def is_attempt_failure(error: RefusalError) -> bool:
    """Returns whether the error was caused by an upstream and not by the call."""
    return isinstance(error, _ATTEMPT_FAILURE_TYPES)
