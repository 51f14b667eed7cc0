"""Whether and when a failed attempt is followed by another one."""

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

_ATTEMPT_FAILURES = (
    UpstreamFailedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)


def draw_backoff(failures: int, *, base: float, limit: float, rng: Random) -> float:
    """Returns a delay with full jitter.

    Args:
        failures: Failures so far, from 1.
        base: Largest delay in seconds after the first failure; it doubles.
        limit: Largest delay in seconds.
        rng: Generator of random numbers.
    """
    return rng.uniform(0.0, min(limit, base * 2.0 ** min(failures - 1, 32)))


class RetryBudget:
    """A token bucket that successes fill and retries empty.

    It starts full, so that a router that has just started can still retry. If
    everything fails, no more than the stored tokens are spent.
    """

    def __init__(self, *, fraction: float, limit: float) -> None:
        self._fraction = fraction
        self._limit = limit
        self.tokens = limit

    def record_success(self) -> None:
        """Adds the fraction of a token that a success earns."""
        self.tokens = min(self._limit, self.tokens + self._fraction)

    def take(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again.

    Attributes:
        delay: Seconds to wait before.
        wait_limit_at: Monotonic time by which the next attempt must start.
        is_counted: Whether the failed attempt counts towards the largest number of
            attempts and the budget.
    """

    delay: float
    wait_limit_at: float
    is_counted: bool = True


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not try again.

    Attributes:
        reason: Why, for the counter of refused retries.
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
        """Returns whether a failed attempt is followed by another one.

        An attempt that could not connect put no work on any upstream. While a
        replica is left that the call has not tried, it does not count: in a
        partition most replicas of a service can be unreachable at the same time.

        Args:
            call: The call whose attempt failed.
            error: Why it failed.
            now: Monotonic time in seconds.
            has_begun: Whether the caller has got a part of the answer. Such a
                stream may wait for its continuation as long as its class lets a
                new request wait, because its own limit was met when it began.
            has_untried: Whether a replica is left where no attempt failed.
        """
        if not is_attempt_failure(error):
            return GiveUp("not-an-attempt-failure")
        # The statement of an upstream is no proof that nothing reached it.
        is_unsent = error.execution is Execution.WAS_NOT_RUN and not isinstance(
            error, UpstreamRefusedError
        )
        if not call.is_repeatable and not is_unsent:
            return GiveUp("not-repeatable")
        is_free = has_untried and isinstance(error, UpstreamUnreachableError)
        if not is_free and call.attempts >= self._options.max_attempts:
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
        if not is_free and not self.budget.take():
            return GiveUp("budget")
        return Retry(delay, limit_at, is_counted=not is_free)


def is_attempt_failure(error: RefusalError) -> bool:
    """Returns whether the error tells about an upstream and not about the call."""
    return isinstance(error, _ATTEMPT_FAILURES)
