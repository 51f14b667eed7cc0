"""Tests of the membership of routers in the fleet."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sequoiamoor.core.membership import LinkState, Membership, MemberState
from sequoiamoor.options import Options
from sequoiamoor.types import Address, RouterIdentity

OPTIONS = Options.model_validate({})
ROUTERS = ("router-0", "router-1", "router-2")
INDEXES = st.integers(0, len(ROUTERS) - 1)
STEP_SECONDS = 0.2


def build_address(index: int) -> Address:
    return Address(f"127.0.{index + 1}.1", 4_000 + index)


def build_membership(index: int, incarnation: int) -> Membership:
    identity = RouterIdentity(ROUTERS[index], incarnation, f"zone-{index}")
    return Membership(identity, OPTIONS, own_address=build_address(index))


class FleetMachine(RuleBasedStateMachine):
    """Three routers that exchange heartbeats over a network with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.incarnations = [1, 1, 1]
        self.routers = [build_membership(index, 1) for index in range(len(ROUTERS))]
        self.in_flight: list[tuple[int, RouterIdentity]] = []
        self.partitions: set[frozenset[int]] = set()
        self.paused: set[int] = set()

    def _deliver(self, receiver: int, identity: RouterIdentity) -> None:
        if receiver not in self.paused:
            self.routers[receiver].record_message(identity, self.now)

    @initialize()
    def start(self) -> None:
        self.run_quietly()

    @rule(
        seconds=st.sampled_from([0.2, 0.6, 1.6, 5.2, 12.0]),
        lost=st.sets(st.tuples(INDEXES, INDEXES), max_size=3),
    )
    def run_for(self, seconds: float, lost: set[tuple[int, int]]) -> None:
        """Time passes, and all heartbeats between the pairs in ``lost`` are lost."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for sender, receiver in self._pairs():
                if (sender, receiver) not in lost:
                    self._deliver(receiver, self.routers[sender].identity)
            for index, router in enumerate(self.routers):
                if index not in self.paused:
                    router.step(self.now)

    def _pairs(self) -> list[tuple[int, int]]:
        return [
            (sender, receiver)
            for sender in range(len(ROUTERS))
            for receiver in range(len(ROUTERS))
            if sender != receiver
            and sender not in self.paused
            and frozenset((sender, receiver)) not in self.partitions
        ]

    @rule(sender=INDEXES, receiver=INDEXES)
    def delay(self, sender: int, receiver: int) -> None:
        """A heartbeat is delayed, to be delivered late, twice or out of order."""
        if sender != receiver:
            self.in_flight.append((receiver, self.routers[sender].identity))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), is_duplicated=st.booleans())
    def deliver_late(self, data: st.DataObject, is_duplicated: bool) -> None:
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        receiver, identity = self.in_flight[index]
        if not is_duplicated:
            del self.in_flight[index]
        self._deliver(receiver, identity)

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.incarnations[index] += 1
        self.routers[index] = build_membership(index, self.incarnations[index])
        self.paused.discard(index)

    @rule(index=INDEXES)
    def pause(self, index: int) -> None:
        self.paused.add(index)

    @rule(index=INDEXES)
    def proceed(self, index: int) -> None:
        if index in self.paused:
            self.paused.discard(index)
            before = self.routers[index].live()
            self.routers[index].step(self.now)
            assert before.items() <= self.routers[index].live().items()

    @rule(first=INDEXES, second=INDEXES)
    def cut(self, first: int, second: int) -> None:
        if first != second:
            self.partitions.add(frozenset((first, second)))

    @rule()
    def run_quietly(self) -> None:
        """After all faults end, every router sees all others again."""
        self.partitions.clear()
        for index in list(self.paused):
            self.proceed(index)
        self.run_for(OPTIONS.dead_after + 1, set())
        for index, router in enumerate(self.routers):
            expected = {
                peer.identity.router_id: peer.identity
                for peer_index, peer in enumerate(self.routers)
                if peer_index != index
            }
            assert router.live() == expected

    @invariant()
    def check_live(self) -> None:
        for index, router in enumerate(self.routers):
            assert ROUTERS[index] not in router.members
            for member in router.members.values():
                number = ROUTERS.index(member.identity.router_id)
                assert member.identity.incarnation <= self.incarnations[number]

    @rule()
    def check_silence(self) -> None:
        """Routers that do not hear each other for long consider no peer live."""
        self.partitions = {
            frozenset((first, second))
            for first in range(len(ROUTERS))
            for second in range(first)
        }
        self.run_for(OPTIONS.suspect_after + 3 * STEP_SECONDS, set())
        for index, router in enumerate(self.routers):
            assert index in self.paused or not router.live()


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=25, deadline=None
)


def build_membership_with_peer() -> tuple[Membership, RouterIdentity]:
    membership = build_membership(0, 1)
    identity = RouterIdentity("router-1", 7, "zone-1")
    assert membership.record_message(identity, 10.0, address=build_address(1))
    membership.step(10.0)
    return membership, identity


def test_silent_router_becomes_suspect_then_dead() -> None:
    """Guards against a dead router that keeps its share of the arbitration."""
    membership, _ = build_membership_with_peer()
    states = []
    for tick in range(31):
        now = 10.0 + 0.2 * tick
        states.extend(change.state for change in membership.step(now))
    assert states == [MemberState.SUSPECT, MemberState.DEAD]


def test_earlier_incarnation_is_ignored() -> None:
    """Guards against late messages from before the restart of a router."""
    membership, identity = build_membership_with_peer()
    late = RouterIdentity("router-1", 6, "zone-1")
    assert not membership.record_message(late, 10.1)
    assert membership.live() == {"router-1": identity}


def test_leaving_router_is_removed_when_it_closes_its_connection() -> None:
    """Guards against waiting for ``suspect_after`` after a graceful shutdown."""
    membership, identity = build_membership_with_peer()
    membership.record_closed(identity)
    membership.step(10.2)
    assert membership.live()
    membership.record_leaving(identity, is_leaving=True)
    membership.record_closed(identity)
    membership.step(10.4)
    assert not membership.live()


@pytest.mark.parametrize("is_closed", [False, True])
@pytest.mark.parametrize("state", LinkState)
def test_only_a_closed_and_refused_router_has_ended(
    is_closed: bool, state: LinkState
) -> None:
    """Guards against taking a paused or disconnected router for one that ended."""
    membership, identity = build_membership_with_peer()
    if is_closed:
        membership.record_closed(identity)
    membership.record_link_state(build_address(1), state)
    membership.step(10.2)
    assert bool(membership.unreachable()) == (state is not LinkState.CONNECTED)
    has_ended = is_closed and state is LinkState.REFUSED
    assert membership.ended() == ({identity} if has_ended else set())
    assert bool(membership.live()) != has_ended
    membership.record_message(identity, 10.3)
    membership.step(10.4)
    assert membership.live()


def test_candidates_come_from_list_settings_and_messages() -> None:
    """Guards against depending only on the VM list, which may lag or be empty."""
    membership, _ = build_membership_with_peer()
    membership.fixed = (build_address(5), build_address(0))
    membership.apply_router_addresses(
        [
            ("router-0", build_address(8)),
            ("router-1", build_address(9)),
            ("router-2", build_address(2)),
        ]
    )
    # The address that router-1 announced is newer than the list. This router itself is
    # excluded by its address and by its identifier.
    assert membership.candidates() == {build_address(index) for index in (1, 2, 5)}


def test_silent_router_outside_the_list_is_forgotten() -> None:
    """Guards against endless connection attempts to routers that were replaced."""
    membership, _ = build_membership_with_peer()
    now = 10.0
    while now < 12.0 + OPTIONS.forget_router_after:
        now += 0.5
        membership.step(now)
    assert not membership.members
    assert not membership.candidates()
