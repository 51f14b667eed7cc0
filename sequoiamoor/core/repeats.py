"""Retry decisions for requests on routes, and the budget of repeats."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..errors import RefusalError, UpstreamRefusedError, UpstreamUnreachableError
from ..types import Execution, ServiceName
from .retries import GiveUp, is_attempt_failure
from .routed_call import RoutedCall

MAX_UNSENT_ATTEMPTS = 4
"""Attempts that sent nothing after which the whole service counts as down."""

ROUTER_BUDGET_FRACTION = 0.5
"""Fraction of the fleet's budget that the routers use.

The rest is reserved for routers that restart and have lost their count of repeats, and
for routers that do not know of each other.
"""


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """Limits that operators set on the repeats of a service.

    A repeat is one more attempt of a request after an attempt that reached a replica.

    Attributes:
        ratio: Largest number of repeats per request.
        window: Time over which both are counted, in seconds.
        extra: Repeats of the whole fleet allowed in a window beyond the ratio.
    """

    ratio: float = 0.1
    window: float = 10.0
    extra: float = 20.0


@dataclass(slots=True)
class _SlidingWindow:
    """Times of the requests and repeats of one service, oldest first.

    Attributes:
        requests: Monotonic times of requests in seconds.
        repeats: Monotonic times of repeats in seconds.
    """

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def discard_before(self, cutoff: float) -> None:
        """Discards times before the given monotonic time in seconds."""
        for times in (self.requests, self.repeats):
            while times and times[0] < cutoff:
                times.popleft()


class RepeatBudget:
    """This router's part of the budget of repeats of the whole fleet.

    Attributes:
        limits: Limits in force; they may be replaced at any time.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self._windows_by_service: dict[ServiceName, _SlidingWindow] = {}

    def _get_current_window(self, service: ServiceName, now: float) -> _SlidingWindow:
        """Returns the window of a service without the times that have left it."""
        window = self._windows_by_service.setdefault(service, _SlidingWindow())
        window.discard_before(now - self.limits.window)
        return window

    def record_request(self, service: ServiceName, now: float) -> None:
        """Records an accepted request."""
        self._get_current_window(service, now).requests.append(now)

    def take(self, service: ServiceName, now: float, *, routers: int) -> bool:
        """Takes one repeat from the budget; returns whether one was left.

        Args:
            service: Service to which the request would be sent again.
            now: Monotonic time in seconds.
            routers: Number of routers of the fleet, including this one.
        """
        window = self._get_current_window(service, now)
        limits = self.limits
        allowed = limits.ratio * len(window.requests) + limits.extra / max(routers, 1)
        if len(window.repeats) + 1 > ROUTER_BUDGET_FRACTION * allowed:
            return False
        window.repeats.append(now)
        return True


def find_retry_limit(call: RoutedCall, now: float) -> float:
    """Returns until which monotonic time in seconds the next attempt may wait."""
    return max(call.wait_limit_at, min(call.ends_at, now + call.route.target))


def decide_repeat(
    call: RoutedCall,
    error: RefusalError | None,
    *,
    budget: RepeatBudget,
    now: float,
    routers: int,
    return_time: float | None = None,
) -> GiveUp | None:
    """Returns why the request is not sent again, or None if it is.

    Args:
        call: The request; its attempts include the one that failed.
        error: Failure of the attempt, or None if the replica answered with an error
            response.
        budget: Budget from which a repeat is taken if the request is sent again.
        now: Monotonic time in seconds.
        routers: Number of routers of the fleet, including this one.
        return_time: Monotonic time in seconds from which a replica of the service takes
            requests again; None if one takes them now.
    """
    if error is not None and not is_attempt_failure(error):
        return GiveUp("not-an-attempt-failure")
    if call.may_end_replicas:
        return GiveUp("may-end-replicas")
    if now >= call.ends_at:
        return GiveUp("deadline")
    if return_time is not None and return_time > find_retry_limit(call, now):
        return GiveUp("upstreams-unavailable")
    if isinstance(error, UpstreamUnreachableError):
        # The request reached no replica, so sending it again is not a repeat.
        if call.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
            return GiveUp("max-attempts")
        return None
    was_refused_unrun = (
        isinstance(error, UpstreamRefusedError)
        and error.execution is Execution.WAS_NOT_RUN
    )
    if not call.route.is_repeatable and not was_refused_unrun:
        return GiveUp("not-repeatable")
    if call.sent_attempts >= call.route.attempts:
        return GiveUp("max-attempts")
    if not budget.take(call.service, now, routers=routers):
        return GiveUp("budget")
    return None
