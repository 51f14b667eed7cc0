"""Role of this router towards the store: reader, or reliant on the readers' word."""

from __future__ import annotations

import logging
import time
from dataclasses import replace

from ..core.blackboard import Blackboard
from ..core.freshness import KeyFreshness, StoreClock
from ..core.messages import Confirmation, FeedStatus
from ..core.poll_intervals import PollIntervals
from ..core.readers import FeedState, ReaderReport, is_reader, rank_zone
from ..core.store_eras import StoredConfiguration
from ..core.store_position import StorePosition
from ..core.store_turns import STANDBY_LEAD_FRACTIONS, PartFeedState, StoreTurns
from ..metrics import Metrics
from ..types import RouterId
from .control import Control

_LOG = logging.getLogger(__name__)

KEY_CONFIRMATION_FRACTION = 0.6
"""Fraction of the time for which keys are accepted without a confirmation, after which
a router stops to rely on readers; the rest is for its own call to the store."""

UPSTREAM_CONFIRMATION_FRACTION = 0.7
"""The same for upstreams, as a fraction of the time in which a leaving one must get no
new work."""


class StoreRole:
    """Sends confirmations as a reader, and applies those of the zone's readers.

    Attributes:
        is_reader: Whether this router follows the store closely.
        configuration: What is known of the configuration.
        upstreams: What is known of the upstreams.
        clock_by_table: Clock of the store as measured by each feed.
        report: What this router confirms as a reader.
        stored_configuration: What the store's copy of the configuration is.
        turns: Place of this router among those of its zone.
        parts: What is known of the table of prompt parts.
    """

    def __init__(
        self,
        board: Blackboard,
        control: Control,
        freshness: KeyFreshness,
        metrics: Metrics,
        *,
        upstreams: FeedState,
        poll_intervals: PollIntervals,
    ) -> None:
        self._board = board
        self._control = control
        self._freshness = freshness
        self._metrics = metrics
        self.is_reader = True
        self.configuration = FeedState()
        self.upstreams = upstreams
        self.clock_by_table: dict[str, StoreClock] = {}
        self.report = ReaderReport()
        self.stored_configuration = StoredConfiguration()
        self.turns = StoreTurns(board.identity.router_id)
        self.parts = PartFeedState()
        self._heard = (float("-inf"), float("-inf"))
        self._order: dict[RouterId, int] = {}
        self.update(poll_intervals)
        control.handle_confirmation = self._apply_confirmation
        control.handle_feed_status = self._apply_status

    @property
    def is_large_fleet(self) -> bool:
        """Whether only some routers follow the store closely."""
        return len(self._board.members) >= self._board.options.flat_limit

    @property
    def has_peers(self) -> bool:
        """Whether this router knows another one."""
        return bool(self._board.members)

    @property
    def is_standby(self) -> bool:
        """Whether this router stands in for the zone's reader before all others do."""
        return self.turns.place in STANDBY_LEAD_FRACTIONS

    def count_callers(self) -> int:
        """Returns by how many routers the calls of this one to the store are shared."""
        if self.reads_closely and self.is_large_fleet:
            return 1
        return len(self._board.members) + 1

    def update(self, poll_intervals: PollIntervals) -> None:
        """Chooses the role anew and applies the bounds of the settings."""
        limit = self._freshness.limit
        self.configuration.max_age = (
            poll_intervals.configuration_bound
            if limit is None
            else limit * KEY_CONFIRMATION_FRACTION
        )
        self.upstreams.max_age = (
            poll_intervals.leaving_bound * UPSTREAM_CONFIRMATION_FRACTION
        )
        was_reader = self.is_reader
        self.is_reader = is_reader(
            self._board.identity,
            self._board.members.values(),
            flat_limit=self._board.options.flat_limit,
        )
        self._metrics.store_reader.set(self.reads_closely)
        order = rank_zone(self._board.identity, self._board.members.values())
        self._order = {router_id: place for place, router_id in enumerate(order)}
        self.turns.place = self._order[self._board.identity.router_id]
        self.turns.zone_size = len(order)
        if self.is_reader != was_reader:
            _LOG.info(
                "role towards the store changed",
                extra={"reason": "reader" if self.is_reader else "relies on readers"},
            )

    @property
    def is_heard(self) -> bool:
        """Whether another router of the zone confirms both tables in time."""
        now = self._freshness.read_time()
        return all(
            now - heard_at <= feed.max_age - self.turns.find_lead(feed.max_age)
            for heard_at, feed in zip(
                self._heard, (self.configuration, self.upstreams), strict=True
            )
        )

    @property
    def reads_closely(self) -> bool:
        """Whether this router follows the store for its zone, as reader or for it."""
        return self.is_reader or not self.is_heard

    def is_confirmed(self, feed: FeedState) -> bool:
        """Returns whether readers confirm a feed, so that no call is needed now."""
        is_due = feed.is_call_due(self._freshness.read_time())
        return not self.reads_closely and not is_due

    def are_parts_confirmed(self) -> bool:
        """Returns whether another router follows the prompt parts for this one."""
        is_confirmed = self.parts.is_confirmed(self._freshness.read_time())
        follows = self.is_reader or (self.is_standby and not self.is_heard)
        return self.is_large_fleet and not follows and is_confirmed

    def must_wait(
        self,
        feed: FeedState | None,
        is_for_upstreams: bool,
        failures: int,
        failed_at: float,
        has_answer: bool,
    ) -> bool:
        """Returns whether a failed call of a table must not be repeated yet.

        Args:
            feed: What is known of the table; None for that of prompt parts.
            is_for_upstreams: Whether the table is that of upstreams.
            failures: Failed calls in a row.
            failed_at: Monotonic time of the last one in seconds.
            has_answer: Whether another table was read since.
        """
        if not self.is_large_fleet:
            return False
        return self.turns.must_wait(
            time.monotonic(),
            failed_at,
            failures,
            is_heard=self.is_heard,
            is_behind=self.parts.is_behind if feed is None else feed.is_behind,
            is_for_upstreams=is_for_upstreams,
            has_answer=has_answer,
        )

    def record_failure(self) -> None:
        """Tells the zone that a call of this router failed, so that others wait."""
        self.turns.record_failure(time.monotonic())
        self._send_status(is_failing=True)

    def confirm_parts(self, position: tuple[int, int], *, is_changed: bool) -> None:
        """Records an answer of the feed of prompt parts, and tells the zone of it."""
        self.parts.record(position, is_changed=is_changed)
        if self.reads_closely:
            self._send_status(is_failing=False)

    def _send_status(self, *, is_failing: bool) -> None:
        if self.is_large_fleet:
            follows_parts = self.reads_closely and not is_failing
            self._control.send_feed_status(
                FeedStatus(*self.parts.changed, follows_parts, is_failing)
            )

    def _apply_status(self, status: FeedStatus, sender: RouterId) -> None:
        if status.follows_parts:
            position = (status.parts_era, status.parts_version)
            self.parts.hear(position, self._freshness.read_time())
        if status.is_failing and sender in self._order:
            self.turns.hear_failure(self._order[sender], time.monotonic())

    def confirm_to_zone(self) -> None:
        """Sends a confirmation to the other routers of the zone, if one is due."""
        if not self.reads_closely or not self.is_large_fleet:
            return
        state, stored = self._board.configuration, self.stored_configuration
        in_force = state.version
        confirmation = self.report.build(
            in_force,
            time.monotonic(),
            is_configuration_current=stored.is_current(self.report.era, in_force)
            and state.unreadable is None
            and not stored.is_ahead(in_force),
        )
        if confirmation is not None:
            self._control.confirm_to_zone(confirmation)

    def _apply_confirmation(self, message: Confirmation) -> None:
        era, version = message.era, message.configuration_version
        in_force = self._board.configuration.version
        feed = self.configuration
        feed.position = replace(feed.position, version=in_force)
        if message.configuration_ms:
            self.stored_configuration.record(era, version)
        is_current = self.stored_configuration.is_current(era, in_force)
        configuration_ms = message.configuration_ms if is_current else 0
        was_heard = self.is_heard
        configuration_at = self._confirm_feed(
            feed, StorePosition(era, version), configuration_ms
        )
        self._freshness.confirm(feed.confirmed_at)
        state = self._board.configuration
        unreadable = state.unreadable
        if unreadable is not None and configuration_at > unreadable.read_at:
            state.unreadable = None
        upstreams_at = self._confirm_feed(
            self.upstreams,
            StorePosition(era, message.upstreams_version),
            message.upstreams_ms,
        )
        self._heard = (
            max(self._heard[0], configuration_at),
            max(self._heard[1], upstreams_at),
        )
        if self.is_heard and not was_heard:
            self.turns.confirmed_since = time.monotonic()

    def _confirm_feed(
        self, feed: FeedState, position: StorePosition, store_ms: int
    ) -> float:
        """Applies a confirmation; returns its local time, if it counts."""
        # Each clock converts to a time that is not too late; the latest is closest.
        # The store's clock may start again with an era.
        confirmed_at = max(
            (
                clock.convert(store_ms / 1000)
                for clock in self.clock_by_table.values()
                if store_ms and clock.era == position.era
            ),
            default=float("-inf"),
        )
        if confirmed_at > self._freshness.read_time():
            _LOG.warning(
                "confirmation is newer than the store's clock allows; ignored",
                extra={"version": position.version},
            )
            return float("-inf")
        feed.confirm(position, confirmed_at)
        return confirmed_at
