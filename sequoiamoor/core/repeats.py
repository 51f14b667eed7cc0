"""Whether a request on a route is sent to another replica after a failed attempt."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..errors import RefusalError, UpstreamRefusedError, UpstreamUnreachableError
from ..types import Execution, ServiceName
from .retries import GiveUp, is_attempt_failure
from .routed import RoutedCall

UNSENT_ATTEMPTS_LIMIT = 4
"""Attempts of a request that sent nothing; after these the whole service is down."""

BUDGET_PART = 0.5
"""Part of the fleet's budget that the routers use.

The rest is for routers that restart and have forgotten what they spent, and for
routers that do not know of each other.
"""


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """How many repeats the operators accept for a service.

    Attributes:
        ratio: Repeats per request.
        window: Time over which both are counted, in seconds.
        extra: Repeats in a window beyond the ratio, for the whole fleet.
    """

    ratio: float = 0.1
    window: float = 10.0
    extra: float = 20.0


@dataclass(slots=True)
class _Window:
    """Requests and repeats of one service within the window, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def trim(self, limit: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < limit:
                times.popleft()


class RepeatBudget:
    """This router's part of the repeats that the whole fleet may make.

    Attributes:
        limits: Limits in force; they may change at any time.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self._windows: dict[ServiceName, _Window] = {}

    def _trimmed(self, service: ServiceName, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.trim(now - self.limits.window)
        return window

    def record_request(self, service: ServiceName, now: float) -> None:
        """Takes note of a request that was accepted."""
        self._trimmed(service, now).requests.append(now)

    def take(self, service: ServiceName, now: float, *, routers: int) -> bool:
        """Takes one repeat; returns whether there was one.

        Args:
            service: Service that would get the repeat.
            now: Monotonic time in seconds.
            routers: Routers of the fleet, this one included.
        """
        window = self._trimmed(service, now)
        limits = self.limits
        allowed = limits.ratio * len(window.requests) + limits.extra / max(routers, 1)
        if len(window.repeats) + 1 > BUDGET_PART * allowed:
            return False
        window.repeats.append(now)
        return True


def decide_repeat(
    call: RoutedCall,
    error: RefusalError | None,
    *,
    budget: RepeatBudget,
    now: float,
    routers: int,
) -> GiveUp | None:
    """Returns why the request is not sent again, or None if it is.

    Args:
        call: The request; its attempts include the one that failed.
        error: Failure of the attempt, or None if the replica answered with a
            failure of its own.
        budget: Budget of repeats, taken from if the request is sent again.
        now: Monotonic time in seconds.
        routers: Routers of the fleet, this one included.
    """
    if error is not None and not is_attempt_failure(error):
        return GiveUp("not-an-attempt-failure")
    if now >= call.ends_at:
        return GiveUp("deadline")
    if isinstance(error, UpstreamUnreachableError):
        # Nothing arrived anywhere, so this is no repeat.
        if call.unsent_attempts >= UNSENT_ATTEMPTS_LIMIT:
            return GiveUp("max-attempts")
        return None
    is_unrun = (
        isinstance(error, UpstreamRefusedError)
        and error.execution is Execution.WAS_NOT_RUN
    )
    if not call.route.is_repeatable and not is_unrun:
        return GiveUp("not-repeatable")
    if call.sent_attempts >= call.route.attempts:
        return GiveUp("max-attempts")
    if not budget.take(call.service, now, routers=routers):
        return GiveUp("budget")
    return None
