"""Early refusal of requests that would wait longer than their class allows."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..errors import TargetUnreachableError, WaitLimitError
from ..options import Options
from ..types import CallRequest, OrganisationName, ServiceName

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclass(slots=True)
class StartRate:
    """Starts per second of one organisation while it had waiting requests.

    Time without waiting requests does not count: the rate would then tell how much
    the organisation asked for and not how much it could get.
    """

    averaging_time: float
    updated_at: float
    is_waiting: bool = False
    waiting_time: float = 0.0
    starts: float = 0.0

    def update(self, now: float, *, is_waiting: bool, starts: int = 0) -> None:
        """Takes note of the time since the last update and of starts at its end."""
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

        One start more than was seen is assumed, so that a pause of all upstreams
        does not refuse requests that could still be served.
        """
        return ahead * self.waiting_time / (self.starts + 1)


@dataclass(slots=True)
class Overload:
    """Expected waits of the organisations at this router.

    Attributes:
        always_queued: Requests of an organisation that may wait whatever the expected
            wait is. Others leave slots only to work that they see waiting, so a router
            that refuses all on arrival would never get any.
    """

    options: Options
    always_queued: int = 0
    rates: dict[tuple[ServiceName, OrganisationName], StartRate] = field(
        default_factory=dict
    )

    def _find_rate(self, call: CallRequest, now: float) -> StartRate:
        key = (call.service, call.organisation)
        rate = self.rates.get(key)
        if rate is None:
            rate = StartRate(self.options.overload_averaging_time, now)
            self.rates[key] = rate
        return rate

    def estimate_wait(self, call: CallRequest, waiting: int, now: float) -> float:
        """Returns the expected wait in seconds; 0 while too little was observed.

        Args:
            call: A call that arrives.
            waiting: Requests of its organisation that wait for its service here.
            now: Monotonic time in seconds.
        """
        rate = self._find_rate(call, now)
        rate.update(now, is_waiting=waiting > 0)
        if rate.waiting_time < self.options.overload_observation_time:
            return 0.0
        return rate.estimate_wait(waiting)

    def check_arrival(self, call: CallRequest, waiting: int, now: float) -> None:
        """Refuses a call that cannot start within its wait limit.

        Raises:
            TargetUnreachableError: If the expected wait is over the limit.
        """
        expected = self.estimate_wait(call, waiting, now)
        if waiting < self.always_queued:
            return
        limit = call.wait_limit_at - now
        if expected > limit:
            raise TargetUnreachableError(
                f"{waiting} requests of {call.organisation!r} wait for "
                f"{call.service!r} here and take about {expected:.1f} s to start, "
                f"longer than the {limit:.1f} s that this request may wait; send "
                "fewer at once or try again later",
                retry_after=bound_retry_after(expected - limit),
            )

    def note_waiting(self, call: CallRequest, waiting: int, now: float) -> None:
        """Takes note that a call was queued or left the queue without a start."""
        self._find_rate(call, now).update(now, is_waiting=waiting > 0)

    def note_start(self, call: CallRequest, waiting: int, now: float) -> None:
        """Takes note that a call started and how many still wait."""
        self._find_rate(call, now).update(now, is_waiting=waiting > 0, starts=1)

    def build_wait_limit_error(
        self, call: CallRequest, waiting: int, now: float
    ) -> WaitLimitError:
        """Returns the refusal of a call that waited as long as it may."""
        expected = self.estimate_wait(call, waiting, now)
        return WaitLimitError(
            f"the request waited {now - call.arrival:.1f} s, as long as its class or "
            "deadline allows; try again later",
            retry_after=bound_retry_after(
                expected - (call.wait_limit_at - call.arrival)
            ),
        )


def bound_retry_after(seconds: float) -> float:
    """Returns a time that is worth waiting and short enough to be believed."""
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
