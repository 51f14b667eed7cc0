"""What replicas of the soak say about new requests, and checks of what follows."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

DRAIN_NOTICE_LIMIT_SECONDS = 2.0
"""Time after an acknowledged drain, or an answer that said so and was passed on, in
which a replica may still receive new work."""

HOLD_NOTICE_SECONDS = 0.5
"""Time after a refusal with a time in which requests may still arrive."""

HOLD_REQUESTS = 2
"""Requests that may arrive from a router in the rest of that time."""


@dataclass
class Traffic:
    """Which router each request came through, and what answers passed through it.

    Attributes:
        routers: Router by request id.
        flooded_router: Router of the requests that are not listed.
        passed_on: Monotonic time in seconds at which a caller first got an answer that
            said that its replica leaves, by process and router.
    """

    routers: dict[str, str] = field(default_factory=dict)
    flooded_router: str = ""
    passed_on: dict[str, dict[str, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def note_answer(self, headers: dict[str, str], router: str) -> None:
        """Records an answer that a caller got through a router."""
        process, _, _ = headers.get("x-server-signature", "").rpartition(".")
        if "server-leaving" in headers and process:
            self.passed_on[process].setdefault(router, time.monotonic())

    def find_router(self, request_id: str) -> str:
        """Returns the router that a request came through."""
        return self.routers.get(request_id, self.flooded_router)


@dataclass(slots=True)
class _Hold:
    """A refusal with a time that one router got.

    Attributes:
        answered_at: Monotonic time of the refusal, in seconds.
        until: End of the time, in seconds.
        arrivals: Requests from the router within it.
    """

    answered_at: float
    until: float
    arrivals: int = 0


class Statements:
    """What one replica process says, and what reaches it in spite of that.

    Attributes:
        process: Name of the process, the first part of its signatures.
        is_leaving: Whether all its answers say that it leaves.
        false_leaving: Whether the next answer says so though the replica stays.
        false_hold: Seconds that the next refused request is told to stay away, though
            the replica takes others; None for no such refusal.
        refuses_until: Monotonic time in seconds until which requests are turned away.
    """

    def __init__(
        self,
        process: str,
        traffic: Traffic,
        *,
        is_undisturbed_since: Callable[[float, str], bool],
        report: Callable[[str], None],
    ) -> None:
        self._traffic = traffic
        self._is_undisturbed_since = is_undisturbed_since
        self._report = report
        self._holds: dict[str, _Hold] = {}
        self.process = process
        self.is_leaving = False
        self.has_said_leaving = False
        self.false_leaving = False
        self.false_hold: float | None = None
        self.refuses_until = float("-inf")

    def build_fields(self) -> dict[str, str]:
        """Returns the header fields that an answer gets."""
        says_leaving = self.is_leaving or self.false_leaving
        self.false_leaving = False
        self.has_said_leaving |= says_leaving
        return {"Server-Leaving": "1"} if says_leaving else {}

    def turn_away(self, request_id: str) -> float | None:
        """Returns the seconds that a request is told to stay away; None to take it."""
        now = time.monotonic()
        seconds = self.refuses_until - now
        if self.false_hold is not None:
            seconds, self.false_hold = self.false_hold, None
        if seconds <= 0:
            return None
        router = self._traffic.find_router(request_id)
        hold = self._holds.get(router)
        if hold is None or now + seconds > hold.until:
            self._holds[router] = _Hold(now, now + seconds)
        return seconds

    def check_arrival(self, request_id: str) -> None:
        """Checks that a request may still reach the process."""
        now = time.monotonic()
        router = self._traffic.find_router(request_id)
        for passer, passed_at in self._traffic.passed_on[self.process].items():
            late = now - passed_at - DRAIN_NOTICE_LIMIT_SECONDS
            # Other routers hear of it from their peers, if nothing disturbs them.
            limit = passed_at if passer == router else passed_at - 3.0
            if late > 0 and self._is_undisturbed_since(limit, router):
                self._report(
                    f"DRAIN: {request_id} reached {self.process} through {router} "
                    f"{late:.1f} s late after {passer} passed on that it leaves"
                )
        hold = self._holds.get(router)
        if (
            hold is None
            or not hold.answered_at + HOLD_NOTICE_SECONDS < now < hold.until
        ):
            return
        hold.arrivals += 1
        if hold.arrivals > HOLD_REQUESTS and self._is_undisturbed_since(
            hold.answered_at - 1.0, router
        ):
            self._report(
                f"BUDGET: {request_id} reached {self.process} through {router} "
                f"{hold.until - now:.1f} s before the end of its time, the "
                f"{hold.arrivals}th"
            )
