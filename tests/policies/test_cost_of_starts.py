"""Tests of what choosing a start costs, counted in replicas and requests looked at."""

from __future__ import annotations

import pytest

from sequoiamoor.core.messages import Report, SlotRow
from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.types import RouterIdentity

from .busy_fleet import LARGE
from .flooded_fleet import ROUTE, Router

ORGANISATIONS, WAITING = 3, 24
REPLICAS, SLOTS = LARGE.replicas, LARGE.slots
EVENT_SECONDS = 0.001
PEER = RouterIdentity("peer", 1, "zone")


class BusyRouter(Router):
    """A router before replicas that still read prompts of a peer."""

    def __init__(self, *, shared: int) -> None:
        super().__init__(0, LARGE)
        self.shared = shared
        self.board.members[PEER.router_id] = PEER
        self.policy.step(self.board, 0.0)
        self.arrivals = 0

    def report(self, *, unread: int) -> None:
        rows = [SlotRow(str(i), 0, 0, 0, 1, unread, 0) for i in range(REPLICAS)]
        report = Report(1, 1, False, (), tuple(rows))
        self.policy.apply_report(self.board, PEER, report, 0.0)

    def add(self, now: float) -> None:
        self.arrivals += 1
        name = f"o-{self.arrivals % ORGANISATIONS}"
        own = PromptPart(f"own-{self.arrivals}", 900)
        shared = PromptPart(f"subject-{self.arrivals % 7}", self.shared)
        call = RoutedCall(
            f"c-{self.arrivals}", "q", name, "r", "talk", now, now + 0.4, now + 0.4,
            b"", route=ROUTE, ends_at=now + 9.0, parts=(shared, own), output_tokens=100,
        )  # fmt: skip
        self.board.queues.add(call)

    def start_all(self, now: float) -> list[tuple[RoutedCall, str]]:
        started = []
        while (start := self.policy.choose_start(self.board, "talk", now)) is not None:
            call = self.board.queues.remove(start.call_id)
            assert isinstance(call, RoutedCall)
            self.board.upstreams.replicas[start.replica_id].in_use += 1
            started.append((call, start.replica_id))
        return started


@pytest.mark.parametrize("shared", [0, 4_000])
def test_arrival_costs_the_same_however_many_requests_wait(shared: int) -> None:
    """Guards against a pass that looks for a replica for all that wait, at each event.

    A router that does so under a flood has no time left to read, so that more waits.
    """
    router = BusyRouter(shared=shared)
    router.report(unread=1_000_000)
    for _ in range(ORGANISATIONS * WAITING):
        router.add(0.0)
    assert router.start_all(0.0) == []
    counts = router.board.choices.counts
    before = router.board.choices.copy_counts()
    arrivals = 15
    for number in range(arrivals):
        now = (1 + number) * EVENT_SECONDS
        router.add(now)
        assert router.start_all(now) == []
    cost = counts.subtract(before)
    assert cost.requests <= arrivals + ORGANISATIONS * WAITING
    assert cost.replicas <= 2 * REPLICAS * (1 + ORGANISATIONS)


@pytest.mark.parametrize("shared", [0, 4_000])
def test_start_costs_the_same_however_many_requests_wait(shared: int) -> None:
    """Guards against a start that looks at each replica for each request that waits."""
    router = BusyRouter(shared=shared)
    for _ in range(REPLICAS * SLOTS + ORGANISATIONS * WAITING):
        router.add(0.0)
    running = router.start_all(0.0)
    before = router.board.choices.copy_counts()
    started = 0
    for number, (call, replica_id) in enumerate(running[:15]):
        now = (1 + number) * EVENT_SECONDS
        router.policy.record_first_event(router.board, call, now)
        router.board.upstreams.replicas[replica_id].in_use -= 1
        router.policy.finish(router.board, call, replica_id, now)
        started += len(router.start_all(now))
    cost = router.board.choices.counts.subtract(before)
    assert started > 0
    assert cost.replicas <= 2 * REPLICAS * (started + 1)


@pytest.mark.parametrize("shared", [0, 4_000])
def test_end_of_a_stream_costs_a_look_at_its_replica(shared: int) -> None:
    """Guards against a look at all replicas whenever a stream has ended.

    A router that serves streams at a high rate does little else then.
    """
    router = BusyRouter(shared=shared)
    for _ in range(REPLICAS * SLOTS + ORGANISATIONS * WAITING):
        router.add(0.0)
    running = router.start_all(0.0)
    ends = running[:15]
    before = router.board.choices.copy_counts()
    started = 0
    for number, (call, replica_id) in enumerate(ends):
        now = (1 + number) * EVENT_SECONDS
        call.events, call.first_event_at, call.last_event_at = 20, 0.0, now
        router.board.upstreams.replicas[replica_id].in_use -= 1
        router.policy.finish(router.board, call, replica_id, now)
        started += len(router.start_all(now))
    cost = router.board.choices.counts.subtract(before)
    assert started > 0
    # One look at all of them, one search for each start, one look for each end.
    assert cost.replicas <= REPLICAS * (1 + started) + len(ends)
