"""Tests of the sums along the report tree, with and without failures."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiamoor.core.ledger import Ledger
from sequoiamoor.core.messages import CounterRow, Snapshot, Sum
from sequoiamoor.core.placement import TreePosition, find_tree_position
from sequoiamoor.core.sums import ReportSums
from sequoiamoor.types import RouterIdentity

S, NAME = "talk", "a"
ROUNDS = 24
Payload = int | Sum | Snapshot


class TreeRouter:
    """Ledger and sums of one router, and the members that it sees."""

    def __init__(self, identity: RouterIdentity) -> None:
        self.identity = identity
        self.ledger = Ledger(identity)
        self.sums = ReportSums(identity, self.ledger)
        self.view = {identity}
        self.sequence = 0

    def place(self) -> TreePosition:
        return find_tree_position(self.identity, self.view, fan_out=4)

    def step(self, flat_limit: int) -> list[tuple[RouterIdentity, Payload]]:
        """Runs one report interval; returns messages with their receivers."""
        self.sequence += 1
        own_served = int(self.ledger.served(S, NAME))
        is_flat = len(self.view) <= flat_limit
        place = self.place()
        targets = (
            self.view - {self.identity} if is_flat else set(place.counter_targets())
        )
        messages: list[tuple[RouterIdentity, Payload]] = [
            (to, own_served) for to in targets
        ]
        dead_origins = (
            self.ledger.update_live(self.view)
            + self.ledger.drain_changed_dead_origins()
        )
        if dead_origins:
            snapshot = self.ledger.build_snapshot(dead_origins)
            messages += [(to, snapshot) for to in targets]
        self.sums.update(None if is_flat else place, self.view)
        if not is_flat:
            for to in place.neighbours():
                sums = self.sums.build(place, to, self.sequence)
                messages += [(to, sum_message) for sum_message in sums]
        return messages

    def take(self, sender: RouterIdentity, payload: Payload) -> None:
        if isinstance(payload, Sum):
            self.sums.take(sender, payload)
        elif isinstance(payload, Snapshot):
            self.ledger.take_snapshot(payload)
        else:
            self.ledger.merge(sender, [CounterRow(S, NAME, payload, 0, 0, 0, None)])

    def total(self) -> float:
        return self.ledger.total(S, NAME)


class TreeFleet:
    """Routers in zones, and the messages between them."""

    def __init__(self, count: int, *, flat_limit: int = 4, zones: int = 3) -> None:
        self.flat_limit = flat_limit
        self.routers: dict[str, TreeRouter] = {}
        self.in_flight: list[tuple[str, RouterIdentity, Payload]] = []
        self.done = 0.0
        self.incarnations: dict[str, int] = defaultdict(int)
        self.cut: frozenset[str] = frozenset()
        for number in range(count):
            self.start(number, zones)
        self.see_all()

    def start(self, number: int, zones: int = 3) -> None:
        name = f"r{number}"
        self.incarnations[name] += 1
        identity = RouterIdentity(name, self.incarnations[name], f"z{number % zones}")
        new_router = self.routers[name] = TreeRouter(identity)
        for peer in list(self.routers.values())[:3]:
            if peer is not new_router and not self.is_cut(peer.identity, identity):
                # A new connection begins with the sums, then the snapshot.
                place = peer.place()
                if identity not in place.zones_by_child_root:
                    for sum_message in peer.sums.build(place, identity, 0):
                        if sum_message.scope:
                            new_router.take(peer.identity, sum_message)
                new_router.take(peer.identity, peer.ledger.build_snapshot())

    def is_cut(self, first: RouterIdentity, second: RouterIdentity) -> bool:
        return (first.zone in self.cut) != (second.zone in self.cut)

    def see_all(self) -> None:
        identities = {member.identity for member in self.routers.values()}
        for router in self.routers.values():
            own = router.identity
            router.view = {
                member for member in identities if not self.is_cut(own, member)
            }

    def charge(self, name: str, units: int) -> None:
        self.routers[name].ledger.charge(S, NAME, units)
        self.done += units

    def step(self, name: str) -> None:
        router = self.routers[name]
        for to, payload in router.step(self.flat_limit):
            target = self.routers.get(to.router_id)
            is_reached = not self.is_cut(router.identity, to)
            if is_reached and target is not None and target.identity == to:
                self.in_flight.append((to.router_id, router.identity, payload))

    def deliver(self, index: int, *, is_kept: bool = False) -> None:
        to, sender, payload = self.in_flight[index]
        if not is_kept:
            del self.in_flight[index]
        if to in self.routers:
            self.routers[to].take(sender, payload)

    def run(self, rounds: int = ROUNDS) -> None:
        for _ in range(rounds):
            for name in list(self.routers):
                self.step(name)
            while self.in_flight:
                self.deliver(0)

    def work(self) -> None:
        """Charges work at every router and lets the reports spread."""
        for position, name in enumerate(self.routers):
            self.charge(name, 100 + position)
        self.see_all()
        self.run()

    def find(self, is_wanted: Callable[[TreePosition, RouterIdentity], bool]) -> str:
        return next(
            name
            for name, router in self.routers.items()
            if is_wanted(router.place(), router.identity)
        )


def kill_zone_root(fleet: TreeFleet) -> None:
    del fleet.routers[fleet.find(lambda place, own: place.is_root(own.zone))]


def kill_leaf_and_parent(fleet: TreeFleet) -> None:
    leaf = fleet.find(
        lambda place, own: not place.neighbours()[1:] and not place.is_root(own.zone)
    )
    parent = fleet.routers[leaf].place().parent
    assert parent is not None
    del fleet.routers[leaf], fleet.routers[parent.router_id]


def restart_a_router(fleet: TreeFleet) -> None:
    fleet.start(4)


def replace_a_zone(fleet: TreeFleet) -> None:
    router_names = [
        name for name, router in fleet.routers.items() if router.identity.zone == "z1"
    ]
    for name in router_names:
        del fleet.routers[name]
    fleet.work()
    for name in router_names:
        fleet.start(int(name[1:]))


def cut_a_zone_and_kill_a_root(fleet: TreeFleet) -> None:
    fleet.cut = frozenset({"z2"})
    fleet.see_all()
    totals_before = {
        name: router_before.total() for name, router_before in fleet.routers.items()
    }
    kill_zone_root(fleet)
    fleet.see_all()
    for name in fleet.routers:
        fleet.charge(name, 10)
    fleet.run()
    for name, router in fleet.routers.items():
        served = sum(10 for _ in router.view)
        assert router.total() == totals_before[name] + served
    fleet.cut = frozenset()


def change_to_flat_and_back(fleet: TreeFleet) -> None:
    fleet.flat_limit = 100
    fleet.work()
    assert {router.total() for router in fleet.routers.values()} == {fleet.done}
    fleet.flat_limit = 4


def give_routers_two_parents(fleet: TreeFleet) -> None:
    change_to_flat_and_back(fleet)
    root = fleet.routers[fleet.find(lambda place, own: place.is_root(own.zone))]
    first, second = (router.router_id for router in root.place().children[:2])
    fleet.routers[second].view.remove(fleet.routers[first].identity)
    fleet.run()
    # Work charged later would hide a total that is too high now.
    assert {router.total() for router in fleet.routers.values()} == {fleet.done}


def lose_half_the_reports(fleet: TreeFleet) -> None:
    for name in fleet.routers:
        fleet.charge(name, 7)
    for _ in range(5):
        for name in fleet.routers:
            fleet.step(name)
        del fleet.in_flight[::2]
        while fleet.in_flight:
            fleet.deliver(-1)


@pytest.mark.parametrize(
    "fail",
    [
        kill_zone_root,
        kill_leaf_and_parent,
        restart_a_router,
        replace_a_zone,
        cut_a_zone_and_kill_a_root,
        change_to_flat_and_back,
        give_routers_two_parents,
        lose_half_the_reports,
    ],
)
@pytest.mark.parametrize("count", [9, 30])
def test_totals_are_exact_after_failure(
    fail: Callable[[TreeFleet], None], count: int
) -> None:
    """Guards against work that a failure makes lost or counted twice."""
    fleet = TreeFleet(count)
    fleet.work()
    assert {router.total() for router in fleet.routers.values()} == {fleet.done}
    fail(fleet)
    fleet.work()
    assert {router.total() for router in fleet.routers.values()} == {fleet.done}


class TreeMachine(RuleBasedStateMachine):
    """Routers see different members; messages are lost, doubled and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = TreeFleet(12, zones=2)
        # All know the counters of all, so every wrong sum shows.
        self.fleet.flat_limit = 100
        self.fleet.work()
        self.fleet.flat_limit = 4
        self.highest: dict[RouterIdentity, float] = defaultdict(float)

    def name(self, number: int) -> str:
        names = list(self.fleet.routers)
        return names[number % len(names)]

    @rule(number=st.integers(0, 11), units=st.integers(1, 50))
    def charge(self, number: int, units: int) -> None:
        self.fleet.charge(self.name(number), units)

    @rule(numbers=st.lists(st.integers(0, 11), min_size=1, max_size=12))
    def step(self, numbers: list[int]) -> None:
        for number in numbers:
            self.fleet.step(self.name(number))

    @rule(indexes=st.lists(st.integers(0, 200), max_size=30), is_kept=st.booleans())
    def deliver(self, indexes: list[int], is_kept: bool) -> None:
        for index in indexes:
            if self.fleet.in_flight:
                self.fleet.deliver(index % len(self.fleet.in_flight), is_kept=is_kept)

    @rule(rounds=st.integers(1, 3))
    def exchange(self, rounds: int) -> None:
        self.fleet.run(rounds)

    @rule(share=st.integers(1, 3))
    def lose(self, share: int) -> None:
        del self.fleet.in_flight[::share]

    @rule(number=st.integers(0, 11), flat_limit=st.sampled_from([4, 100]))
    def restart(self, number: int, flat_limit: int) -> None:
        self.fleet.flat_limit = flat_limit
        self.fleet.start(number, zones=2)

    @rule(number=st.integers(0, 11), hidden=st.sets(st.integers(0, 11), max_size=6))
    def see(self, number: int, hidden: set[int]) -> None:
        """One router's membership changes, by any of the others."""
        router = self.fleet.routers[self.name(number)]
        names = {f"r{one}" for one in hidden} - {router.identity.router_id}
        router.view = {
            one.identity
            for name, one in self.fleet.routers.items()
            if name not in names
        }

    @invariant()
    def never_counts_more_than_was_done(self) -> None:
        for router in self.fleet.routers.values():
            assert router.total() <= self.fleet.done

    @invariant()
    def totals_only_grow(self) -> None:
        for router in self.fleet.routers.values():
            assert router.total() >= self.highest[router.identity]
            self.highest[router.identity] = router.total()

    def teardown(self) -> None:
        """In the end all agree, and no counter that anyone knows is left out."""
        self.fleet.flat_limit = 4
        self.fleet.see_all()
        self.fleet.run()
        routers = list(self.fleet.routers.values())
        known: dict[RouterIdentity, float] = defaultdict(float)
        for one in routers:
            for zone in ("z0", "z1"):
                for origin in [*one.ledger.origins_of(zone), one.identity]:
                    served = one.ledger.served_at(origin).get((S, NAME), 0.0)
                    known[origin] = max(known[origin], served)
        totals = {one.total() for one in routers}
        assert len(totals) == 1
        assert sum(known.values()) <= totals.pop() <= self.fleet.done


TestTreeMachine = TreeMachine.TestCase
TestTreeMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
