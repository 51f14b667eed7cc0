"""Tests of the arbiter and the allotment over an unreliable network."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sequoiamoor.core.allotment import Allotment
from sequoiamoor.core.arbiter import Arbiter, make_epoch
from sequoiamoor.core.messages import GrantRow, SlotRow
from sequoiamoor.options import Options
from sequoiamoor.types import RouterIdentity

OPTIONS = Options.model_validate({})
REPLICA = "m0"
WINDOW = 3
ROUTER_COUNT = 3
ALL = range(ROUTER_COUNT)


def build_identity(number: int, incarnation: int = 1) -> RouterIdentity:
    return RouterIdentity(f"r{number}", incarnation, "a")


def test_arbiters_of_both_sides_use_different_epochs() -> None:
    """Guards against mixing the counters of two arbiters after a partition."""
    epochs = {make_epoch(70_000, build_identity(number)) for number in range(8)}
    assert len(epochs) == 8
    assert min(epochs) > 70_000


def test_new_epoch_keeps_only_slots_in_use() -> None:
    """Guards against starting requests on slots that a previous arbiter granted."""
    allotment = Allotment()
    allotment.apply_grant(GrantRow(REPLICA, 1, 3, 0), valid_until=10.0)
    allotment.start(REPLICA)
    allotment.apply_grant(GrantRow(REPLICA, 2, 0, 0), valid_until=10.0)
    assert allotment.free(REPLICA, 0.0) == 0
    assert allotment.build_rows() == (SlotRow(REPLICA, 2, 1, 0, 1),)
    assert not allotment.apply_grant(GrantRow(REPLICA, 1, 9, 0), valid_until=10.0)
    assert allotment.free(REPLICA, 0.0) == 0


def test_expired_grants_start_nothing() -> None:
    """Guards against starting requests on slots that the arbiter may have reclaimed."""
    allotment = Allotment()
    allotment.apply_grant(GrantRow(REPLICA, 1, 3, 0), valid_until=2.0)
    assert allotment.free(REPLICA, 1.9) == 3
    assert allotment.free(REPLICA, 2.0) == 0
    allotment.apply_grant(GrantRow(REPLICA, 1, 3, 0), valid_until=1.0)
    assert allotment.free(REPLICA, 2.0) == 0


def test_recall_is_met_once() -> None:
    """Guards against releasing more slots than were recalled, or none."""
    allotment = Allotment()
    row = GrantRow(REPLICA, 1, 3, 2)
    for _ in range(2):
        allotment.apply_grant(row, valid_until=9.0)
        allotment.release_recalled()
    assert allotment.free(REPLICA, 0.0) == 1


class Network:
    """One or two arbiters of a replica, three routers, messages between them."""

    def __init__(self) -> None:
        self.now = 100.0
        self.incarnations = [1] * ROUTER_COUNT
        self.arbiters: list[Arbiter] = []
        self.allotments = [Allotment() for _ in range(ROUTER_COUNT)]
        self.last_heard_at: dict[tuple[int, RouterIdentity], float] = {}
        self.reclaimed: set[tuple[int, RouterIdentity]] = set()
        self.unreachable: set[int] = set()
        self.acknowledged: dict[tuple[int, RouterIdentity], float] = {}
        self.reports: list[tuple[RouterIdentity, float, tuple[SlotRow, ...]]] = []
        self.grants: list[tuple[RouterIdentity, float, GrantRow]] = []

    def identities(self) -> list[RouterIdentity]:
        return [build_identity(i, self.incarnations[i]) for i in range(ROUTER_COUNT)]

    def add_arbiter(self) -> int:
        self.arbiters.append(Arbiter(build_identity(9, len(self.arbiters)), OPTIONS))
        return len(self.arbiters) - 1

    def step(self, arbiter: int) -> int:
        """Returns how many silent routers may lose slots that they still use."""
        silent_routers = [
            identity
            for identity in self.identities()
            if self.now - self.last_heard_at.get((arbiter, identity), 0.0)
            >= OPTIONS.suspect_after
        ]
        live_routers = [
            identity for identity in self.identities() if identity not in silent_routers
        ]
        unreachable = {self.identities()[number] for number in self.unreachable}
        self.arbiters[arbiter].set_replicas(
            {REPLICA: WINDOW}, live_routers, self.now, unreachable=unreachable
        )
        self.collect(arbiter)
        reclaimed = {
            (arbiter, identity)
            for identity in silent_routers
            if self.now - self.last_heard_at.get((arbiter, identity), self.now)
            >= (
                OPTIONS.grant_expiry
                if identity in unreachable
                else OPTIONS.router_reclaim_after
            )
        } - self.reclaimed
        self.reclaimed |= reclaimed
        return len(reclaimed)

    def collect(self, arbiter: int) -> None:
        for identity, rows in self.arbiters[arbiter].collect_rows(self.now).items():
            sent_at = self.acknowledged.get((arbiter, identity), float("-inf"))
            self.grants += [(identity, sent_at, row) for row in rows]

    def report(self, router: int) -> None:
        rows = self.allotments[router].build_rows()
        self.reports.append((self.identities()[router], self.now, rows))

    def take_report(self, arbiter: int, index: int, is_kept: bool) -> None:
        identity, sent_at, rows = self.reports[index]
        if not is_kept:
            del self.reports[index]
        if identity not in self.identities():
            return
        self.last_heard_at[arbiter, identity] = self.now
        self.reclaimed.discard((arbiter, identity))
        acknowledged = self.acknowledged.get((arbiter, identity), sent_at)
        self.acknowledged[arbiter, identity] = max(acknowledged, sent_at)
        self.arbiters[arbiter].apply_rows(identity, rows, self.now)

    def take_grant(self, index: int, is_kept: bool) -> None:
        identity, sent_at, row = self.grants[index]
        if not is_kept:
            del self.grants[index]
        if identity in self.identities():
            allotment = self.allotments[int(identity.router_id[1:])]
            allotment.apply_grant(row, valid_until=sent_at + OPTIONS.grant_expiry)

    def exchange(self, arbiter: int, routers: Iterable[int]) -> int:
        """Makes the routers report and delivers the arbiter's grants to them."""
        for router in routers:
            self.report(router)
            self.take_report(arbiter, -1, False)
        reclaimed = self.step(arbiter)
        for index in reversed(range(len(self.grants))):
            if int(self.grants[index][0].router_id[1:]) in routers:
                self.take_grant(index, False)
        return reclaimed

    def grant(self, arbiter: int, router: int) -> None:
        identity = self.identities()[router]
        granting_arbiter = self.arbiters[arbiter]
        while granting_arbiter.free(REPLICA, self.now) and granting_arbiter.can_grant(
            REPLICA, identity
        ):
            granting_arbiter.grant(REPLICA, identity)
        self.collect(arbiter)

    def start_all(self, router: int) -> None:
        while self.allotments[router].free(REPLICA, self.now):
            self.allotments[router].start(REPLICA)


def build_network() -> Network:
    """Returns a network in which all routers have adopted the first epoch."""
    network = Network()
    network.add_arbiter()
    for _ in range(2):
        network.exchange(0, ALL)
    return network


def test_reclaimed_slots_are_not_regained() -> None:
    """Guards against a router that returns and still counts reclaimed slots."""
    network = build_network()
    network.grant(0, 0)
    network.exchange(0, [0])
    assert network.allotments[0].free(REPLICA, network.now) == WINDOW
    network.now += OPTIONS.router_reclaim_after
    for _ in range(3):
        network.exchange(0, [1])
    network.grant(0, 1)
    network.exchange(0, [1])
    network.start_all(1)
    assert network.allotments[1].in_use(REPLICA) == WINDOW
    network.exchange(0, [0])
    network.exchange(0, [0])
    assert network.allotments[0].free(REPLICA, network.now) == 0


@pytest.mark.parametrize(
    ("silence", "unreachable", "ended", "expected"),
    [
        (3.9, [], [], 0),
        (1.9, [0], [], 0),
        (2.0, [0], [], WINDOW),
        (0.2, [], [0], WINDOW),
    ],
)
def test_slots_are_reclaimed_when_nothing_can_run_on_them(
    silence: float, unreachable: list[int], ended: list[int], expected: int
) -> None:
    """Guards against reclaiming from a paused router early, or from others late.

    A paused router may have requests running; an unreachable one can start none after
    its grants expired, and an ended one has none.
    """
    network = build_network()
    network.grant(0, 0)
    network.exchange(0, [0])
    network.now += silence
    arbiter, identities = network.arbiters[0], network.identities()
    for _ in range(2):
        network.report(1)
        network.take_report(0, -1, False)
        arbiter.set_replicas(
            {REPLICA: WINDOW},
            identities[1:],
            network.now,
            unreachable={identities[number] for number in unreachable},
            ended={identities[number] for number in ended},
        )
    later = network.now + OPTIONS.report_interval
    assert arbiter.free(REPLICA, later) == expected
    if expected and not ended:
        assert network.allotments[0].free(REPLICA, network.now) == 0


def test_router_that_returns_with_nothing_held_keeps_its_counters() -> None:
    """Guards against counting releases without the grants that they belong to.

    A router that released all its slots and was then silent returned with its count of
    releases. The arbiter, which had discarded its grants, counted these as free slots.
    """
    network = build_network()
    network.grant(0, 0)
    network.exchange(0, [0])
    network.allotments[0].release(REPLICA, WINDOW)
    network.exchange(0, [0])
    network.now += OPTIONS.router_reclaim_after
    for _ in range(3):
        network.exchange(0, [1])
    for _ in range(2):
        network.exchange(0, [0])
    assert network.arbiters[0].free(REPLICA, network.now) == WINDOW
    network.grant(0, 0)
    network.exchange(0, [0])
    assert network.allotments[0].free(REPLICA, network.now) == WINDOW


def test_new_arbiter_counts_slots_of_routers_that_have_not_adopted() -> None:
    """Guards against granting slots that a router in an earlier epoch still uses."""
    network = build_network()
    network.grant(0, 0)
    network.exchange(0, [0])
    network.start_all(0)
    second = network.add_arbiter()
    for router in ALL:
        network.report(router)
        network.take_report(second, -1, False)
    network.step(second)
    network.now += OPTIONS.report_interval
    network.exchange(second, [1])
    network.exchange(second, [1])
    assert network.arbiters[second].free(REPLICA, network.now) == 0


ROUTER = st.integers(0, ROUTER_COUNT - 1)


class SlotMachine(RuleBasedStateMachine):
    """Loss, duplication, reordering, pauses and restarts never overfill a window.

    A second arbiter overfills it by at most one window, and so does reclaiming
    the slots of a router that is cut off while its requests go on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = Network()
        self.current = self.network.add_arbiter()
        self.windows = 1
        self.replaced: set[int] = set()
        for _ in range(2):
            self.network.exchange(self.current, ALL)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.2, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.network.now += seconds

    @rule(router=ROUTER)
    def exchange(self, router: int) -> None:
        self.windows += self.network.exchange(self.current, [router])

    @rule(router=ROUTER)
    def report(self, router: int) -> None:
        self.network.report(router)

    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def take_report(self, index: int, is_kept: bool) -> None:
        if self.network.reports:
            index %= len(self.network.reports)
            self.network.take_report(self.current, index, is_kept)

    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def take_grant(self, index: int, is_kept: bool) -> None:
        if self.network.grants:
            self.network.take_grant(index % len(self.network.grants), is_kept)

    @rule(index=st.integers(0, 99))
    def lose(self, index: int) -> None:
        for queue in (self.network.reports, self.network.grants):
            if queue:
                del queue[index % len(queue)]

    @rule(router=ROUTER, is_delivered=st.booleans())
    def grant(self, router: int, is_delivered: bool) -> None:
        self.network.grant(self.current, router)
        if is_delivered and self.network.grants:
            self.network.take_grant(-1, True)

    @rule(router=ROUTER)
    def start(self, router: int) -> None:
        self.network.start_all(router)

    @rule(router=ROUTER)
    def use(self, router: int) -> None:
        """Grants what is free to one router, which starts at once."""
        self.windows += self.network.exchange(self.current, [router])
        self.network.grant(self.current, router)
        if self.network.grants:
            self.network.take_grant(-1, False)
        self.network.start_all(router)

    @rule(router=ROUTER, is_released=st.booleans())
    def finish(self, router: int, is_released: bool) -> None:
        allotment = self.network.allotments[router]
        if allotment.in_use(REPLICA):
            allotment.finish(REPLICA)
            allotment.release_recalled()
            if is_released:
                allotment.release(REPLICA, 1)

    @rule(router=ROUTER, is_cut=st.booleans())
    def change_link(self, router: int, is_cut: bool) -> None:
        """The arbiters lose or regain their connections to a router."""
        if is_cut:
            self.network.unreachable.add(router)
        else:
            self.network.unreachable.discard(router)

    @rule(router=ROUTER)
    def restart(self, router: int) -> None:
        """Ends the requests of the router with it."""
        self.network.incarnations[router] += 1
        self.network.allotments[router] = Allotment()

    @rule()
    def replace_arbiter(self) -> None:
        """A new arbiter hears from all routers; the previous one is gone."""
        if len(self.network.arbiters) < 4:
            self.replaced.add(self.current)
            self.current = self.network.add_arbiter()
            for _ in range(2):
                self.windows += self.network.exchange(self.current, ALL)

    @invariant()
    def window_is_kept(self) -> None:
        used = sum(one.in_use(REPLICA) for one in self.network.allotments)
        assert used <= WINDOW * self.windows

    def teardown(self) -> None:
        """Without faults all slots come into use again: none is lost for good."""
        network = self.network
        network.unreachable.clear()
        network.reports.clear()
        network.grants.clear()
        for _ in range(60):
            network.now += OPTIONS.report_interval
            network.exchange(self.current, ALL)
            network.grant(self.current, 0)
            network.exchange(self.current, ALL)
            network.start_all(0)
            for allotment in network.allotments[1:]:
                if allotment.in_use(REPLICA):
                    allotment.finish(REPLICA)
                allotment.release(REPLICA, WINDOW)
        assert network.allotments[0].in_use(REPLICA) >= WINDOW


class SplitMachine(SlotMachine):
    """Adds a second arbiter that acts at the same time."""

    @precondition(lambda self: len(self.network.arbiters) < 2)
    @rule(router=ROUTER)
    def cut_off(self, router: int) -> None:
        """A second arbiter takes over one router; the first one goes on."""
        self.windows += 1
        self.current = self.network.add_arbiter()
        self.windows += self.network.exchange(self.current, [router])

    @rule()
    def heal(self) -> None:
        """The first arbiter acts again, also one that was replaced and only paused.

        Routers that restart adopt its epoch while others use slots of its successor.
        """
        if 0 in self.replaced:
            self.replaced.discard(0)
            self.windows += 1
        self.current = 0


SETTINGS = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = SETTINGS
TestSplitMachine = SplitMachine.TestCase
TestSplitMachine.settings = SETTINGS


def test_arbiter_that_was_replaced_and_returns_adds_at_most_one_window() -> None:
    """Guards against a paused arbiter that overfills a window by more than another."""
    machine = SplitMachine()
    machine.replace_arbiter()
    machine.use(router=0)
    machine.heal()
    machine.restart(router=1)
    machine.exchange(router=1)
    machine.use(router=1)
    machine.window_is_kept()
    machine.teardown()
