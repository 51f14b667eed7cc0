"""Counters and demand that routers tell each other."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ..core.blackboard import Blackboard
from ..core.demand import Demand, DemandTable
from ..core.messages import CounterRow, Report, Snapshot
from ..core.reports import EarlyBudget
from ..types import CallRequest, OrganisationName, RouterIdentity, ServiceName
from .fair import FairPolicy

ROW_REFRESH = 1.0
"""Seconds after which even a small change is reported."""

_DEADLINE_STEP_MS = 500
"""Change of the earliest deadline that peers are told."""


@dataclass(slots=True)
class _PublishedRow:
    """What the last reports said about one organisation.

    Rows stay the same until the difference matters, so that connections, which
    send changed rows only, carry few of them.
    """

    row: CounterRow
    at: float

    def is_outdated(self, new: CounterRow, quantum: float, now: float) -> bool:
        """Returns whether peers need the new row.

        Args:
            new: The current values.
            quantum: Work that may stay unreported, in service units.
            now: Monotonic time in seconds.
        """
        old = self.row
        if (
            new.lift != old.lift
            or bool(new.waiting) != bool(old.waiting)
            or not old.waiting / 2 <= new.waiting <= old.waiting * 2
            or abs(new.running - old.running) > 1
            or new.served - old.served > quantum
        ):
            return True
        age = now - self.at
        if old.deadline_ms is not None and new.deadline_ms is not None:
            moved = new.deadline_ms + age * 1000 - old.deadline_ms
            if abs(moved) > _DEADLINE_STEP_MS:
                return True
        return age >= ROW_REFRESH and (
            (new.served, new.waiting, new.running)
            != (old.served, old.waiting, old.running)
        )


class ReportingPolicy(FairPolicy):
    """Tells peers what was served and what waits, and takes what they tell."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._demands = DemandTable()
        self._early_budget: EarlyBudget | None = None
        self._published: dict[tuple[ServiceName, OrganisationName], _PublishedRow] = {}

    def _peer_demands(
        self, board: Blackboard, service: ServiceName
    ) -> Mapping[OrganisationName, Demand]:
        return self._demands.sum(service, board.members.keys())

    def _take_early(
        self, board: Blackboard, messages: int, now: float, reserve: float = 0.0
    ) -> bool:
        """Returns whether reports may go out before the interval ends."""
        if self._early_budget is None:
            self._early_budget = EarlyBudget(board.options)
        return self._early_budget.take(messages, now, reserve=reserve)

    def _request_report(self, board: Blackboard, now: float) -> None:
        if not board.is_report_due and self._take_early(board, len(board.members), now):
            board.is_report_due = True

    def _take_counters(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> bool:
        """Takes the counters of a report; returns False if a later one was taken."""
        board.ledger.merge(origin, report.counters)
        is_latest = self._demands.take(origin, report.sequence, report.counters, now)
        for row in report.counters:
            if row.waiting:
                self._waited_at[row.service, row.organisation] = now
        return is_latest

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Leaves the wait to the class or route of the request."""
        return None

    def note_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Does nothing: places do not depend on it."""

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        """Returns this router's counters for a report."""
        keys = board.ledger.accounts()
        for service in board.upstreams.services():
            keys |= {(service, one) for one in board.queues.organisations(service)}
            keys |= {(service, one) for one in self._running_counts.get(service, ())}
        routers = len(board.members) + 1
        for service, name in keys:
            row = self._build_row(board, service, name, now)
            known = self._published.get((service, name))
            quantum = self._allowed_gap(board, service, now) / (2 * routers)
            if known is None or known.is_outdated(row, quantum, now):
                self._published[service, name] = _PublishedRow(row, now)
        board.is_report_due = False
        return tuple(known.row for known in self._published.values())

    def _build_row(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        now: float,
    ) -> CounterRow:
        first = board.queues.peek(service, name)
        return CounterRow(
            service=service,
            organisation=name,
            served=int(board.ledger.served(service, name)),
            lift=int(board.ledger.lift(service, name)),
            waiting=board.queues.count(service, name),
            running=self._running_counts.get(service, {}).get(name, 0),
            deadline_ms=None if first is None else int((first.deadline - now) * 1000),
        )

    def build_snapshot(self, board: Blackboard) -> Snapshot:
        """Returns all counters that this router knows."""
        return board.ledger.build_snapshot()

    def take_snapshot(self, board: Blackboard, snapshot: Snapshot) -> None:
        """Merges the counters that a peer knows."""
        board.ledger.take_snapshot(snapshot)
