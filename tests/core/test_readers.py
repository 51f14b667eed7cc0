"""Tests of the readers of the store and of what the other routers conclude."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiamoor.core.freshness import FEED_LAG_SECONDS, StoreClock
from sequoiamoor.core.messages import Confirmation
from sequoiamoor.core.readers import (
    CONFIRMATION_INTERVAL_SECONDS,
    READERS_PER_ZONE,
    FeedState,
    ReaderReport,
    is_reader,
)
from sequoiamoor.types import RouterIdentity

FLAT_LIMIT = 16
MAX_AGE_SECONDS = 2.4
DELAYS = st.floats(0.0, 6.0)


def build_fleet(size: int, zones: int) -> list[RouterIdentity]:
    return [
        RouterIdentity(f"router-{number}", 1, f"zone-{number % zones}")
        for number in range(size)
    ]


@pytest.mark.parametrize(
    ("size", "zones", "readers"),
    [
        (8, 3, 8),
        (FLAT_LIMIT, 3, FLAT_LIMIT),
        (30, 3, 3 * READERS_PER_ZONE),
        (100, 5, 5 * READERS_PER_ZONE),
        (350, 9, 9 * READERS_PER_ZONE),
        (17, 17, 17),
    ],
)
def test_readers_grow_with_zones_and_not_with_routers(
    size: int, zones: int, readers: int
) -> None:
    """Guards against calls to the store that grow with the fleet."""
    fleet = build_fleet(size, zones)
    counted = sum(
        is_reader(
            router, [peer for peer in fleet if peer != router], flat_limit=FLAT_LIMIT
        )
        for router in fleet
    )
    assert counted == readers


def test_zone_that_lost_its_readers_gets_others() -> None:
    """Guards against a zone in which nobody follows the store."""
    fleet = build_fleet(40, 2)
    zone = [router for router in fleet if router.zone == "zone-0"]
    while len(zone) > READERS_PER_ZONE:
        others = [router for router in fleet if router.zone != "zone-0"]
        readers = [
            router
            for router in zone
            if is_reader(router, [*others, *zone], flat_limit=FLAT_LIMIT)
        ]
        assert 1 <= len(readers) <= READERS_PER_ZONE
        zone = [router for router in zone if router not in readers]


def test_change_is_confirmed_at_once_and_heartbeats_are_not() -> None:
    """Guards against a late notice of a leaving replica, and a flood of notices."""
    report = ReaderReport()
    assert report.build(1, 0.0) is None
    report.record_configuration(5_000)
    report.record_upstreams(5_000, 10, is_changed=True)
    assert report.build(1, 0.0) == Confirmation(1, 4_000, 10, 4_000)
    report.record_upstreams(5_200, 11, is_changed=False)
    assert report.build(1, 0.2) is None
    report.record_upstreams(5_300, 12, is_changed=True)
    assert report.build(1, 0.3) == Confirmation(1, 4_000, 12, 4_300)
    report.record_upstreams(5_900, 13, is_changed=False)
    later = 0.5 + CONFIRMATION_INTERVAL_SECONDS
    assert report.build(2, later) == Confirmation(2, 4_000, 12, 4_900)


class ReaderMachine(RuleBasedStateMachine):
    """A reader and a router that relies on it; messages are late, lost or repeated.

    The store keeps a table whose versions count its changes. The two routers and the
    store have clocks with different offsets.
    """

    STORE_OFFSET_SECONDS = 1_000.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 50.0
        self.changed_at = [0.0]
        self.reader_version = 0
        self.report = ReaderReport()
        self.messages: list[Confirmation] = []
        self.clock = StoreClock()
        self.state = FeedState(MAX_AGE_SECONDS)

    def _read_store_seconds(self) -> float:
        return self.now + self.STORE_OFFSET_SECONDS

    def _find_reported_version(self) -> int:
        # The feed may lag behind the writes that the store acknowledged.
        return sum(at <= self.now - FEED_LAG_SECONDS for at in self.changed_at) - 1

    @rule(seconds=DELAYS)
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def change(self) -> None:
        self.changed_at.append(self.now)

    @rule()
    def read_as_reader(self) -> None:
        version = self._find_reported_version()
        is_changed = version != self.reader_version
        self.reader_version = version
        answered_ms = self._read_store_seconds() * 1000
        self.report.record_configuration(answered_ms)
        self.report.record_upstreams(answered_ms, version, is_changed=is_changed)
        message = self.report.build(1, self.now)
        if message is not None:
            self.messages.append(message)

    @rule(index=st.integers(0, 30))
    def deliver(self, index: int) -> None:
        if not self.messages:
            return
        message = self.messages[index % len(self.messages)]
        confirmed_at = self.clock.convert(message.upstreams_ms / 1000)
        self.state.confirm(message.upstreams_version, confirmed_at)

    @rule(held_seconds=DELAYS)
    def ask_store(self, held_seconds: float) -> None:
        asked_at = self.now
        self.now += held_seconds
        answered_at = self.clock.date(asked_at, self._read_store_seconds())
        self.state.version = max(self.state.version, self._find_reported_version())
        self.state.confirm(0, answered_at - FEED_LAG_SECONDS)

    @invariant()
    def no_older_change_is_missing(self) -> None:
        """A router that need not ask has all changes older than the allowed age."""
        if self.state.is_call_due(self.now):
            return
        oldest = self.now - MAX_AGE_SECONDS - 0.001
        known_at_least = sum(at <= oldest for at in self.changed_at) - 1
        assert self.state.version >= known_at_least


TestReaderMachine = ReaderMachine.TestCase
TestReaderMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
