"""Tests of leases and of orders sent under them."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiamoor.core.leases import Lease, LeaseTerms
from sequoiamoor.core.writes import ConditionalWrite
from sequoiamoor.errors import LeaseHeldError, LeaseLostError

from .builders import FAULTS, Table, settle

TERMS = LeaseTerms(duration_seconds=10.0, max_order_seconds=4.0)


def acquire(table: Table, lease: Lease, now: float) -> None:
    version, value = table.entries.get(lease.key, (0, None))
    lease.apply_result(settle(table, lease.acquire(version, value, now)))


@pytest.mark.parametrize(
    ("age", "checks_fencing", "expected"),
    [
        (0.0, False, True),
        (4.9, False, True),
        (5.0, False, False),
        (5.0, True, True),
        (9.9, True, True),
        (10.0, True, False),
    ],
)
def test_orders_are_sent_only_early_in_the_lease(
    age: float, checks_fencing: bool, expected: bool
) -> None:
    """Guards against an order that arrives while another holder sends its own.

    An engine that does not check fencing numbers would carry out both.
    """
    lease = Lease("x", "a", TERMS)
    acquire(Table(), lease, 100.0)
    assert lease.may_send(100.0 + age, checks_fencing=checks_fencing) is expected


def test_takeover_waits_for_lease_and_longest_order() -> None:
    """Guards against a takeover while an order of the last holder is in progress."""
    table = Table()
    first, second = Lease("x", "a", TERMS), Lease("x", "b", TERMS)
    acquire(table, first, 0.0)
    for now in (1.0, 8.0, 14.9):
        with pytest.raises(LeaseHeldError):
            acquire(table, second, now)
    acquire(table, second, 15.0)
    assert second.fencing_number > first.fencing_number
    with pytest.raises(LeaseLostError):
        first.renew(15.0)
    number = second.fencing_number
    write = second.release(16.0)
    assert write is not None
    settle(table, write)
    third = Lease("x", "c", TERMS)
    acquire(table, third, 16.0)
    assert third.fencing_number > number


@dataclass
class Holder:
    """One process that competes for the lease; ``write`` is its write in progress."""

    name: str
    lease: Lease
    write: ConditionalWrite | None = None
    is_order_in_progress: bool = False


class LeaseMachine(RuleBasedStateMachine):
    """Several holders of one lease, and an engine that ignores fencing numbers."""

    def __init__(self) -> None:
        super().__init__()
        self.table = Table()
        self.now = 0.0
        self.holder_count = 0
        self.holders = [self.make_holder() for _ in range(2)]
        self.orders: list[tuple[float, int, Holder]] = []
        self.arrived: list[tuple[int, str]] = []

    def make_holder(self) -> Holder:
        self.holder_count += 1
        name = f"h{self.holder_count}"
        return Holder(name, Lease("x", name, TERMS))

    @rule(index=st.integers(0, 1), fault=st.sampled_from(FAULTS))
    def acquire(self, index: int, fault: str) -> None:
        holder = self.holders[index]
        if holder.write is None and not holder.lease.is_valid(self.now):
            version, value = self.table.entries.get(holder.lease.key, (0, None))
            try:
                holder.write = holder.lease.acquire(version, value, self.now)
            except LeaseHeldError:
                return
        self.advance(holder, fault)

    @rule(index=st.integers(0, 1), fault=st.sampled_from(FAULTS))
    def renew(self, index: int, fault: str) -> None:
        holder = self.holders[index]
        if holder.write is None and holder.lease.is_valid(self.now):
            holder.write = holder.lease.renew(self.now)
        self.advance(holder, fault)

    def advance(self, holder: Holder, fault: str) -> None:
        if holder.write is None:
            return
        self.table.step(holder.write, fault)
        if holder.write.result is not None:
            result, holder.write = holder.write.result, None
            try:
                holder.lease.apply_result(result)
            except LeaseLostError:
                assert not holder.lease.is_valid(self.now)

    @rule(index=st.integers(0, 1))
    def release(self, index: int) -> None:
        holder = self.holders[index]
        if holder.write is None and not holder.is_order_in_progress:
            write = holder.lease.release(self.now)
            if write is not None:
                settle(self.table, write)

    @rule(index=st.integers(0, 1), delay=st.sampled_from([0.0, 2.0, 4.0, 9.0]))
    def send_order(self, index: int, delay: float) -> None:
        """Sends an order that arrives after a delay.

        The longest delay is a pause of half the lease between the check and the
        first byte, followed by an order of the longest duration.
        """
        holder = self.holders[index]
        if holder.lease.may_send(self.now, checks_fencing=False):
            number = holder.lease.fencing_number
            holder.is_order_in_progress = True
            self.orders.append((self.now + delay, number, holder))
            self.deliver_due()

    @rule(seconds=st.sampled_from([0.5, 3.0, 3.0, 7.0, 14.0]))
    def pause(self, seconds: float) -> None:
        self.now += seconds
        self.deliver_due()

    @rule(index=st.integers(0, 1), steps=st.integers(1, 30))
    def watch(self, index: int, steps: int) -> None:
        """Polls the lease and sends an order as soon as the lease is held."""
        for _ in range(steps):
            self.now += 0.5
            self.deliver_due()
            self.acquire(index, "none")
            if self.holders[index].lease.is_valid(self.now):
                self.send_order(index, 0.0)
                return

    def deliver_due(self) -> None:
        due = [order for order in self.orders if order[0] <= self.now]
        due.sort(key=lambda order: order[:2])
        self.arrived += [(number, holder.name) for _, number, holder in due]
        self.orders = [order for order in self.orders if order[0] > self.now]
        for holder in self.holders:
            holder.is_order_in_progress = any(
                order[2] is holder for order in self.orders
            )

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 9))
    def deliver_late(self, index: int) -> None:
        self.table.put(self.table.late.pop(index % len(self.table.late)))

    @rule(index=st.integers(0, 1), is_due=st.integers(0, 9))
    def restart(self, index: int, is_due: int) -> None:
        if is_due == 0:
            self.holders[index] = self.make_holder()

    @invariant()
    def at_most_one_holder(self) -> None:
        assert sum(holder.lease.is_valid(self.now) for holder in self.holders) <= 1

    @invariant()
    def no_order_arrives_after_one_of_a_later_holder(self) -> None:
        highest, holder = 0, ""
        for number, name in self.arrived:
            assert number > highest or name == holder
            highest, holder = max(highest, number), name


LeaseMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
test_lease_machine = LeaseMachine.TestCase
