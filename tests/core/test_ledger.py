"""Tests of the ledger: merging, lifts, virtual time, dead origins."""

from __future__ import annotations

from collections import defaultdict

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sequoiamoor.core import ledger as ledger_module
from sequoiamoor.core.ledger import Ledger
from sequoiamoor.core.messages import CounterRow, Snapshot
from sequoiamoor.types import RouterIdentity

S = "talk"
NAMES = ("x", "y")


def build_identity(number: int, incarnation: int = 1) -> RouterIdentity:
    return RouterIdentity(f"r{number}", incarnation, "a")


def build_row(name: str, served: int, lift: int = 0) -> CounterRow:
    return CounterRow(S, name, served, lift, 0, 0, None)


@pytest.mark.parametrize(
    ("served", "expected"),
    [([10, 30, 20], 30), ([30, 30], 30), ([5], 5), ([], 0)],
)
def test_late_or_repeated_rows_change_nothing(served: list[int], expected: int) -> None:
    """Guards against work that is counted twice, or overwritten by an older report."""
    ledger = Ledger(build_identity(0))
    for value in served:
        ledger.merge(build_identity(1), [build_row("x", value)])
    assert ledger.total(S, "x") == expected


def test_two_routers_lift_at_once_only_once() -> None:
    """Guards against a double lift, after which an organisation gets too little."""
    first, second = Ledger(build_identity(0)), Ledger(build_identity(1))
    for ledger in (first, second):
        ledger.lift_to(S, "x", 100.0)
    first.take_snapshot(second.build_snapshot())
    assert first.total(S, "x") == 100


def test_returning_organisation_gets_no_credit() -> None:
    """Guards against precedence that an organisation earns by being idle."""
    ledger = Ledger(build_identity(0))
    ledger.charge(S, "x", 500)
    ledger.advance_virtual_time(S, ["x"])
    assert ledger.lift_to(S, "y", ledger.virtual_time(S))
    assert ledger.total(S, "y") == ledger.total(S, "x")


def test_memory_of_dead_origins_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with each restart, and work lost in folding."""
    monkeypatch.setattr(ledger_module, "MAX_SEPARATE_DEAD_ORIGINS", 3)
    ledger = Ledger(build_identity(0))
    for incarnation in range(1, 21):
        ledger.merge(build_identity(1, incarnation), [build_row("x", 10)])
        ledger.update_live([])
    assert len(ledger.build_snapshot(set(ledger._origins)).origins) == 3
    assert ledger.total(S, "x") == 200
    ledger.take_snapshot(ledger.build_snapshot())
    newcomer = Ledger(build_identity(9))
    newcomer.take_snapshot(ledger.build_snapshot())
    newcomer.take_snapshot(ledger.build_snapshot())
    assert newcomer.total(S, "x") == ledger.total(S, "x") == 200


def test_folded_origin_that_returns_is_not_counted_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a double count when a router returns after it was folded.

    That happens in a partition during which ``MAX_SEPARATE_DEAD_ORIGINS`` other routers
    die.
    """
    monkeypatch.setattr(ledger_module, "MAX_SEPARATE_DEAD_ORIGINS", 0)
    ledger = Ledger(build_identity(0))
    ledger.merge(build_identity(1), [build_row("x", 100)])
    ledger.update_live([])
    ledger.merge(build_identity(1), [build_row("x", 100)])
    ledger.merge(build_identity(1), [build_row("x", 130)])
    assert ledger.total(S, "x") == 130


def test_origin_without_work_is_not_taken_for_a_folded_one() -> None:
    """Guards against ignoring the first work of a router that sent an empty row."""
    first, second = Ledger(build_identity(0)), Ledger(build_identity(1))
    idle = Ledger(build_identity(2))
    first.merge(build_identity(2), [build_row("x", 0)])
    for sender in (first, idle):
        second.take_snapshot(sender.build_snapshot())
    second.merge(build_identity(2), [build_row("x", 7)])
    newcomer = Ledger(build_identity(3))
    newcomer.take_snapshot(first.build_snapshot())
    newcomer.take_snapshot(second.build_snapshot())
    assert second.total(S, "x") == newcomer.total(S, "x") == 7


class LedgerMachine(RuleBasedStateMachine):
    """Three routers exchange rows that are lost, doubled and reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.incarnations = [1, 1, 1]
        self.ledgers = [Ledger(build_identity(i)) for i in range(3)]
        self.served: dict[tuple[RouterIdentity, str], float] = defaultdict(float)
        self.in_flight: list[
            tuple[int, RouterIdentity, list[CounterRow] | Snapshot]
        ] = []
        self.highest: dict[tuple[int, str], float] = defaultdict(float)

    def identity(self, router: int) -> RouterIdentity:
        return build_identity(router, self.incarnations[router])

    @rule(
        router=st.integers(0, 2),
        name=st.sampled_from(NAMES),
        units=st.integers(1, 50),
    )
    def charge(self, router: int, name: str, units: int) -> None:
        self.ledgers[router].charge(S, name, units)
        self.served[self.identity(router), name] += units

    @rule(router=st.integers(0, 2), name=st.sampled_from(NAMES))
    def lift(self, router: int, name: str) -> None:
        ledger = self.ledgers[router]
        ledger.advance_virtual_time(S, NAMES)
        ledger.lift_to(S, name, ledger.virtual_time(S))

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2), whole=st.booleans())
    def send(self, sender: int, receiver: int, whole: bool) -> None:
        ledger = self.ledgers[sender]
        if whole:
            self.in_flight.append(
                (receiver, self.identity(sender), ledger.build_snapshot())
            )
        else:
            rows = [
                build_row(one, int(ledger.served(S, one)), int(ledger.lift(S, one)))
                for one in NAMES
            ]
            self.in_flight.append((receiver, self.identity(sender), rows))

    @rule(index=st.integers(0, 50), is_kept=st.booleans())
    def deliver(self, index: int, is_kept: bool) -> None:
        if not self.in_flight:
            return
        target, sender, message = self.in_flight[index % len(self.in_flight)]
        if not is_kept:
            del self.in_flight[index % len(self.in_flight)]
        if isinstance(message, Snapshot):
            self.ledgers[target].take_snapshot(message)
        else:
            self.ledgers[target].merge(sender, message)

    @rule(index=st.integers(0, 50))
    def lose(self, index: int) -> None:
        if self.in_flight:
            del self.in_flight[index % len(self.in_flight)]

    @rule(router=st.integers(0, 2))
    def restart(self, router: int) -> None:
        self.incarnations[router] += 1
        self.ledgers[router] = Ledger(self.identity(router))
        for name in NAMES:
            self.highest[router, name] = 0

    @invariant()
    def never_counts_more_than_was_done(self) -> None:
        for name in NAMES:
            done = sum(units for key, units in self.served.items() if key[1] == name)
            for ledger in self.ledgers:
                assert ledger.total(S, name) - ledger.lift(S, name) <= done

    @invariant()
    def totals_only_grow(self) -> None:
        for router, ledger in enumerate(self.ledgers):
            for name in NAMES:
                total = ledger.total(S, name)
                assert total >= self.highest[router, name]
                self.highest[router, name] = total

    def teardown(self) -> None:
        """After a full exchange all routers have the same totals."""
        for _ in range(2):
            for sender in self.ledgers:
                for target in self.ledgers:
                    target.take_snapshot(sender.build_snapshot())
        for name in NAMES:
            totals = [one.total(S, name) for one in self.ledgers]
            # Lifts travel as whole units.
            assert max(totals) - min(totals) <= 1


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
