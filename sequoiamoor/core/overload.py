"""Early refusal of requests that would exceed their wait limit."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..errors import WaitLimitError, WaitLimitUnreachableError
from ..options import Options
from ..types import CallRequest, OrganisationName, ServiceName

MIN_RETRY_AFTER_SECONDS = 1.0
"""Less would not be worth waiting for."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Callers would not follow a longer one."""


@dataclass(slots=True)
class StartRate:
    """Rate of starts of one organisation while it had waiting requests.

    Time without waiting requests is not counted: otherwise the rate would show how many
    requests the organisation made and not how many could be started.

    Attributes:
        averaging_time: Time constant of the exponential decay in seconds.
        updated_at: Monotonic time in seconds of the last update.
        is_waiting: Whether requests have been waiting since the last update.
        waiting_time: Decayed time with waiting requests, in seconds.
        starts: Decayed number of starts in that time.
    """

    averaging_time: float
    updated_at: float
    is_waiting: bool = False
    waiting_time: float = 0.0
    starts: float = 0.0

    def update(self, now: float, *, is_waiting: bool, starts: int = 0) -> None:
        """Records the time since the last update and the starts made at its end."""
        elapsed = max(0.0, now - self.updated_at)
        decay = math.exp(-elapsed / self.averaging_time)
        self.waiting_time *= decay
        self.starts *= decay
        if self.is_waiting:
            self.waiting_time += self.averaging_time * (1 - decay)
            self.starts += starts
        self.updated_at = now
        self.is_waiting = is_waiting

    def estimate_wait(self, ahead: int) -> float:
        """Returns the expected wait in seconds behind ``ahead`` requests.

        One more start than observed is assumed, so that a pause of all upstreams does
        not cause the refusal of requests that can still be served.
        """
        return ahead * self.waiting_time / (self.starts + 1)


@dataclass(slots=True)
class Overload:
    """Expected waiting times of the organisations at this router.

    Attributes:
        options: Options of the router.
        min_queued_requests: Number of requests of an organisation that may wait
            whatever the expected wait is. Other routers give up slots only for requests
            that they see waiting, so a router that refused all on arrival would never
            get a slot.
        rates: Rate of starts by service and organisation.
    """

    options: Options
    min_queued_requests: int = 0
    rates: dict[tuple[ServiceName, OrganisationName], StartRate] = field(
        default_factory=dict
    )

    def _get_rate(self, call: CallRequest, now: float) -> StartRate:
        key = (call.service, call.organisation)
        rate = self.rates.get(key)
        if rate is None:
            rate = StartRate(self.options.overload_averaging_time, now)
            self.rates[key] = rate
        return rate

    def estimate_wait(self, call: CallRequest, waiting: int, now: float) -> float:
        """Returns the expected wait in seconds; 0 before enough has been observed.

        Args:
            call: The arriving call.
            waiting: Requests of its organisation that wait for its service here.
            now: Monotonic time in seconds.
        """
        rate = self._get_rate(call, now)
        rate.update(now, is_waiting=waiting > 0)
        if rate.waiting_time < self.options.overload_observation_time:
            return 0.0
        return rate.estimate_wait(waiting)

    def check_arrival(self, call: CallRequest, waiting: int, now: float) -> None:
        """Refuses a call that cannot start within its wait limit.

        Raises:
            WaitLimitUnreachableError: If the expected wait is over the limit.
        """
        expected = self.estimate_wait(call, waiting, now)
        if waiting < self.min_queued_requests:
            return
        limit = call.wait_limit_at - now
        if expected > limit:
            raise WaitLimitUnreachableError(
                f"{waiting} requests of {call.organisation!r} wait for "
                f"{call.service!r} here and take about {expected:.1f} s to start, "
                f"longer than the {limit:.1f} s that this request may wait; send "
                "fewer at once or try again later",
                retry_after=bound_retry_after(expected - limit),
            )

    def record_waiting(self, call: CallRequest, waiting: int, now: float) -> None:
        """Records that a call was queued, or left the queue without a start."""
        self._get_rate(call, now).update(now, is_waiting=waiting > 0)

    def record_start(self, call: CallRequest, waiting: int, now: float) -> None:
        """Records that a call started and how many are still waiting."""
        self._get_rate(call, now).update(now, is_waiting=waiting > 0, starts=1)

    def build_wait_limit_error(
        self, call: CallRequest, waiting: int, now: float
    ) -> WaitLimitError:
        """Returns the error for a call that has reached its wait limit."""
        expected = self.estimate_wait(call, waiting, now)
        return WaitLimitError(
            f"the request waited {now - call.arrival:.1f} s, as long as its class or "
            "deadline allows; try again later",
            retry_after=bound_retry_after(
                expected - (call.wait_limit_at - call.arrival)
            ),
        )


def bound_retry_after(seconds: float) -> float:
    """Returns the seconds limited to the range of Retry-After values."""
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
