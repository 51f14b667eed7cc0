"""Schedules of the feeds of the store, by the role of this router."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from ..core.freshness import FEED_LAG_SECONDS, KeyFreshness
from ..core.poll_intervals import (
    MAX_CONFIGURATION_WAIT_SECONDS,
    OVERDUE_UPSTREAM_WAIT_SECONDS,
    PAUSE_JITTER_FRACTION,
    UPSTREAM_WAIT_SECONDS,
    PollIntervals,
)
from ..core.readers import FeedState
from ..core.retries import draw_backoff
from ..core.store_position import StorePosition
from ..core.store_turns import (
    CONFIRMED_PAUSE_SECONDS,
    CONFIRMED_WAIT_SECONDS,
    MIN_ROUTER_RETRY_SECONDS,
    PART_CHANGE_JITTER_SECONDS,
    ROUTER_REFRESH_SECONDS,
    ROUTER_RETRY_BASE_SECONDS,
    ROUTER_RETRY_LIMIT_SECONDS,
    STANDBY_LEAD_FRACTIONS,
    find_close_pause,
    find_close_wait,
    find_reliance,
)
from ..platform import names
from ..platform.part_rows import PART_TABLE
from .feeds import Schedule, draw_retry_delay
from .store_role import StoreRole

CHANGE_JITTER_SECONDS = 0.3
"""Longest random delay before upstreams are read after a reader reported a change, so
that the routers of a zone do not call the store at the same moment. The same for a
table that is no longer confirmed: the first answer is confirmed to the others."""

PART_WAIT_SECONDS = 20.0
"""Time for which the store holds a call for cases of prompt parts; it answers at once
when one changes, and other routers tell of them too."""

LONE_PART_WAIT_SECONDS = 2.0
"""The same for a router that knows no other one."""

PART_PAUSE_SECONDS = 0.1
"""Pause between two such calls."""


class StoreSchedules:
    """Waits, pauses and retries of the feeds; called on their thread.

    Args:
        role: Role of this router towards the store.
        freshness: Clock of the ages of the tables.
        read_intervals: Returns the intervals of the settings in force.
        rng: Source of random delays.

    Attributes:
        wants_upstreams: Returns whether upstreams have to be read soon, also if they
            are confirmed.
    """

    def __init__(
        self,
        role: StoreRole,
        freshness: KeyFreshness,
        *,
        read_intervals: Callable[[], PollIntervals],
        rng: Random,
    ) -> None:
        self._role = role
        self._freshness = freshness
        self._read_intervals = read_intervals
        self._rng = rng
        self.wants_upstreams: Callable[[], bool] = lambda: False

    def build(self) -> dict[str, Schedule]:
        """Returns the schedule of each table."""
        role = self._role
        return {
            names.CONFIGURATION_TABLE: Schedule(
                self._find_configuration_wait,
                self._find_configuration_pause,
                self._find_configuration_end,
                partial(role.must_wait, role.configuration, False),
            ),
            names.UPSTREAM_TABLE: Schedule(
                self._find_upstream_wait,
                self._find_upstream_pause,
                self._find_upstream_end,
                partial(role.must_wait, role.upstreams, True),
            ),
            PART_TABLE: Schedule(
                self._find_part_wait,
                self._find_part_pause,
                self._find_part_end,
                partial(role.must_wait, None, False),
            ),
        }

    # Configuration.

    def _find_configuration_wait(self) -> float:
        state = self._role.configuration
        if self._role.is_confirmed(state):
            return CONFIRMED_WAIT_SECONDS
        if not self._follows_for_zone():
            routers = self._role.count_callers()
            return self._read_intervals().find_configuration_wait(routers)
        # The zone needs the confirmation before the others call, which may be earlier
        # than the end of a held call if this router has just begun to stand in.
        answer_age = state.find_age(self._freshness.read_time()) - FEED_LAG_SECONDS
        allowed = find_reliance(state.max_age) * (1 - STANDBY_LEAD_FRACTIONS[1])
        close_wait = find_close_wait(state.max_age, MAX_CONFIGURATION_WAIT_SECONDS)
        return min(max(allowed - answer_age, CONFIRMED_WAIT_SECONDS), close_wait)

    def _find_configuration_pause(self) -> float:
        if self._role.is_confirmed(self._role.configuration):
            return self.add_jitter(CONFIRMED_PAUSE_SECONDS)
        return 0.0

    def _find_configuration_end(self, _position: StorePosition) -> float | None:
        if self._is_blocked():
            return None
        if self._role.configuration.is_behind:
            return self._rng.uniform(0, CHANGE_JITTER_SECONDS)
        now = self._freshness.read_time()
        state = self._role.configuration
        if (
            not self._role.is_standby
            and not state.is_call_due(now)
            and self._role.upstreams.is_call_due(now)
        ):
            # The call for upstreams finds out first whether the store answers.
            return None
        return self._find_end(self._role.configuration)

    # Upstreams.

    def _find_upstream_wait(self) -> float:
        if self._role.upstreams.is_call_due(self._freshness.read_time()):
            return OVERDUE_UPSTREAM_WAIT_SECONDS
        return UPSTREAM_WAIT_SECONDS

    def _find_upstream_pause(self) -> float:
        state = self._role.upstreams
        if self._role.is_confirmed(state) and not self.wants_upstreams():
            return self.add_jitter(CONFIRMED_PAUSE_SECONDS)
        if self._follows_for_zone():
            return self.add_jitter(find_close_pause(state.max_age))
        return self.add_jitter(
            self._read_intervals().find_upstream_pause(self._role.count_callers())
        )

    def _find_upstream_end(self, position: StorePosition) -> float | None:
        """Returns when a pause ends that relies on readers of the store.

        Args:
            position: Position of the store up to which changes were received.
        """
        if self._role.upstreams.wanted > position or self.wants_upstreams():
            return self._rng.uniform(0, CHANGE_JITTER_SECONDS)
        return self._find_end(self._role.upstreams)

    # Prompt parts.

    def _find_part_wait(self) -> float:
        if self._role.are_parts_confirmed():
            return CONFIRMED_WAIT_SECONDS
        return PART_WAIT_SECONDS if self._role.has_peers else LONE_PART_WAIT_SECONDS

    def _find_part_pause(self) -> float:
        if self._role.are_parts_confirmed():
            return self.add_jitter(CONFIRMED_PAUSE_SECONDS)
        return PART_PAUSE_SECONDS

    def _find_part_end(self, _position: StorePosition) -> float | None:
        if self._is_blocked():
            return None
        if self._role.parts.is_behind:
            return self._rng.uniform(0, PART_CHANGE_JITTER_SECONDS)
        return None if self._role.are_parts_confirmed() else 0.0

    # All tables.

    def _follows_for_zone(self) -> bool:
        return self._role.is_large_fleet and self._role.reads_closely

    def _find_end(self, state: FeedState) -> float | None:
        """Returns when a pause ends whose table is no longer confirmed."""
        if self._role.is_reader or self._role.is_confirmed(state):
            return None
        if not self._role.is_large_fleet or self._role.is_standby:
            return 0.0
        return self._rng.uniform(0, CHANGE_JITTER_SECONDS)

    def _is_blocked(self) -> bool:
        """Returns whether another table has to wait for that of upstreams."""
        is_failing = self._role.turns.is_failing and not self._role.is_heard
        return is_failing and self._role.is_large_fleet

    def add_jitter(self, mean: float) -> float:
        """Returns a random time around a mean one, in seconds."""
        return mean * self._rng.uniform(
            1 - PAUSE_JITTER_FRACTION, 1 + PAUSE_JITTER_FRACTION
        )

    # Addresses of routers.

    def find_router_refresh(self) -> float:
        """Returns the seconds until the addresses are read and written again."""
        if self._role.is_large_fleet:
            return self.add_jitter(ROUTER_REFRESH_SECONDS)
        return self.add_jitter(
            self._read_intervals().find_router_refresh(self._role.count_callers())
        )

    def draw_router_retry(self, failures: int) -> float:
        """Returns the seconds until a failed read or write of addresses is repeated."""
        if not self._role.is_large_fleet:
            return draw_retry_delay(failures, self._rng)
        delay = draw_backoff(
            failures,
            base=ROUTER_RETRY_BASE_SECONDS,
            limit=ROUTER_RETRY_LIMIT_SECONDS,
            rng=self._rng,
        )
        return max(delay, MIN_ROUTER_RETRY_SECONDS)
