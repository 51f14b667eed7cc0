"""Tests of the arbiter and the allotment together, over a faulty network."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiamoor.core.allotment import Allotment
from sequoiamoor.core.arbiter import Arbiter, next_epoch
from sequoiamoor.core.messages import GrantRow, SlotRow
from sequoiamoor.options import Options
from sequoiamoor.types import RouterIdentity

OPTIONS = Options.model_validate({})
REPLICA = "m0"
WINDOW = 3
ROUTERS = 3


def build_identity(number: int, incarnation: int = 1) -> RouterIdentity:
    return RouterIdentity(f"r{number}", incarnation, "a")


def test_arbiters_of_both_sides_use_different_epochs() -> None:
    """Guards against mixing the counters of two arbiters after a partition."""
    epochs = {next_epoch(70_000, build_identity(number)) for number in range(8)}
    assert len(epochs) == 8
    assert min(epochs) > 70_000


def test_new_epoch_keeps_only_slots_in_use() -> None:
    """Guards against starting on slots that only the previous arbiter granted."""
    allotment = Allotment()
    allotment.take(GrantRow(REPLICA, 1, 3, 0), valid_until=10.0)
    allotment.start(REPLICA)
    allotment.take(GrantRow(REPLICA, 2, 0, 0), valid_until=10.0)
    assert allotment.free(REPLICA, 0.0) == 0
    assert allotment.build_rows() == (SlotRow(REPLICA, 2, 1, 0, 1),)
    assert not allotment.take(GrantRow(REPLICA, 1, 9, 0), valid_until=10.0)
    assert allotment.free(REPLICA, 0.0) == 0


def test_expired_grants_start_nothing() -> None:
    """Guards against work on slots that the arbiter may have reclaimed."""
    allotment = Allotment()
    allotment.take(GrantRow(REPLICA, 1, 3, 0), valid_until=2.0)
    assert allotment.free(REPLICA, 1.9) == 3
    assert allotment.free(REPLICA, 2.0) == 0
    allotment.take(GrantRow(REPLICA, 1, 3, 0), valid_until=1.0)
    assert allotment.free(REPLICA, 2.0) == 0


def test_recall_is_met_once() -> None:
    """Guards against returning more slots than were asked for, or none."""
    allotment = Allotment()
    row = GrantRow(REPLICA, 1, 3, 2)
    for _ in range(2):
        allotment.take(row, valid_until=9.0)
        allotment.release_recalled()
    assert allotment.free(REPLICA, 0.0) == 1


class Network:
    """One or two arbiters of a replica, three routers, messages between them."""

    def __init__(self) -> None:
        self.now = 100.0
        self.incarnations = [1] * ROUTERS
        self.arbiters: list[Arbiter] = []
        self.allotments = [Allotment() for _ in range(ROUTERS)]
        self.heard = [self.now] * ROUTERS
        self.reports: list[tuple[RouterIdentity, float, tuple[SlotRow, ...]]] = []
        self.grants: list[tuple[RouterIdentity, float, tuple[GrantRow, ...]]] = []
        self.acknowledged: dict[tuple[int, RouterIdentity], float] = {}

    def identities(self) -> list[RouterIdentity]:
        return [build_identity(i, self.incarnations[i]) for i in range(ROUTERS)]

    def add_arbiter(self) -> None:
        self.arbiters.append(Arbiter(build_identity(9, len(self.arbiters)), OPTIONS))

    def step(self, arbiter: int) -> None:
        live = [
            one
            for one, at in zip(self.identities(), self.heard, strict=True)
            if self.now - at < OPTIONS.suspect_after
        ]
        self.arbiters[arbiter].set_replicas({REPLICA: WINDOW}, live, self.now)
        self.collect(arbiter)

    def collect(self, arbiter: int) -> None:
        for identity, rows in self.arbiters[arbiter].collect_rows(self.now).items():
            sent_at = self.acknowledged.get((arbiter, identity), float("-inf"))
            self.grants.append((identity, sent_at, rows))

    def take_report(self, arbiter: int, index: int, is_kept: bool) -> None:
        identity, sent_at, rows = self.reports[index]
        if not is_kept:
            del self.reports[index]
        if identity not in self.identities():
            return
        self.heard[int(identity.router_id[1:])] = self.now
        known = self.acknowledged.get((arbiter, identity), sent_at)
        self.acknowledged[arbiter, identity] = max(known, sent_at)
        self.arbiters[arbiter].take_rows(identity, rows, self.now)

    def take_grants(self, index: int, is_kept: bool) -> None:
        identity, sent_at, rows = self.grants[index]
        if not is_kept:
            del self.grants[index]
        if identity not in self.identities():
            return
        allotment = self.allotments[int(identity.router_id[1:])]
        for row in rows:
            allotment.take(row, valid_until=sent_at + OPTIONS.grant_expiry)

    def report(self, router: int) -> None:
        rows = self.allotments[router].build_rows()
        self.reports.append((self.identities()[router], self.now, rows))

    def free(self, router: int) -> int:
        return self.allotments[router].free(REPLICA, self.now)

    def in_use(self) -> int:
        return sum(one.in_use(REPLICA) for one in self.allotments)


class SlotMachine(RuleBasedStateMachine):
    """Loss, duplication, reordering, pauses and restarts never overfill a window.

    Two arbiters at once, or a change of the arbiter, overfill it by one window.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = Network()
        self.network.add_arbiter()
        self.current = 0
        self.limit = WINDOW

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.network.now += seconds

    @rule()
    def step(self) -> None:
        self.network.step(self.current)

    @rule(router=st.integers(0, ROUTERS - 1))
    def report(self, router: int) -> None:
        self.network.report(router)

    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def take_report(self, index: int, is_kept: bool) -> None:
        if self.network.reports:
            index %= len(self.network.reports)
            self.network.take_report(self.current, index, is_kept)

    @rule(index=st.integers(0, 99), is_kept=st.booleans())
    def take_grants(self, index: int, is_kept: bool) -> None:
        if self.network.grants:
            self.network.take_grants(index % len(self.network.grants), is_kept)

    @rule(index=st.integers(0, 99))
    def lose(self, index: int) -> None:
        for queue in (self.network.reports, self.network.grants):
            if queue:
                del queue[index % len(queue)]

    @rule(router=st.integers(0, ROUTERS - 1))
    def grant(self, router: int) -> None:
        network = self.network
        identity = network.identities()[router]
        arbiter = network.arbiters[self.current]
        if arbiter.free(REPLICA, network.now) and arbiter.can_grant(REPLICA, identity):
            arbiter.grant(REPLICA, identity)
            network.collect(self.current)

    @rule(router=st.integers(0, ROUTERS - 1))
    def start(self, router: int) -> None:
        if self.network.free(router):
            self.network.allotments[router].start(REPLICA)

    @rule(router=st.integers(0, ROUTERS - 1), is_released=st.booleans())
    def finish(self, router: int, is_released: bool) -> None:
        allotment = self.network.allotments[router]
        if allotment.in_use(REPLICA):
            allotment.finish(REPLICA)
            allotment.release_recalled()
            if is_released:
                allotment.release(REPLICA, 1)

    @rule(router=st.integers(0, ROUTERS - 1))
    def restart(self, router: int) -> None:
        """Ends the requests of the router with it."""
        self.network.incarnations[router] += 1
        self.network.allotments[router] = Allotment()

    @rule(index=st.integers(0, 1))
    def switch_arbiter(self, index: int) -> None:
        """Lets another arbiter act; the first one may go on later."""
        if index >= len(self.network.arbiters):
            self.network.add_arbiter()
            self.limit = 2 * WINDOW
        self.current = index

    @invariant()
    def window_is_kept(self) -> None:
        assert self.network.in_use() <= self.limit

    def teardown(self) -> None:
        """Without faults all slots come into use again: none is lost for good."""
        network = self.network
        network.reports.clear()
        network.grants.clear()
        for _ in range(60):
            network.now += OPTIONS.report_interval
            for router in range(ROUTERS):
                network.report(router)
            while network.reports:
                network.take_report(self.current, 0, False)
            network.step(self.current)
            for _ in range(WINDOW):
                self.grant(0)
            while network.grants:
                network.take_grants(0, False)
            while network.free(0):
                network.allotments[0].start(REPLICA)
            for router in range(1, ROUTERS):
                allotment = network.allotments[router]
                if allotment.in_use(REPLICA):
                    allotment.finish(REPLICA)
                allotment.release(REPLICA, WINDOW)
        assert network.allotments[0].in_use(REPLICA) >= WINDOW


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
