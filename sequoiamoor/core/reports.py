"""Which counters a report on one connection has to carry."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import OrganisationName, ServiceName
from .messages import CounterRow

# A deadline is sent relative to the time of the report; a smaller difference than
# this comes from the delay between two reports and not from another request.
DEADLINE_TOLERANCE_MS = 50


@dataclass(slots=True)
class _SentRow:
    row: CounterRow
    deadline_at_ms: int | None


@dataclass(slots=True)
class ReportFilter:
    """Selects the counters that changed since the last report on a connection."""

    _sent: dict[tuple[ServiceName, OrganisationName], _SentRow] = field(
        default_factory=dict
    )

    def select(
        self, counters: tuple[CounterRow, ...], now: float
    ) -> tuple[CounterRow, ...]:
        """Returns the rows to send and takes them as sent."""
        now_ms = int(now * 1000)
        return tuple([row for row in counters if self._take(row, now_ms)])

    def _take(self, row: CounterRow, now_ms: int) -> bool:
        at = None if row.deadline_ms is None else now_ms + row.deadline_ms
        key = (row.service, row.organisation)
        old = self._sent.get(key)
        if old is not None and _is_same(old, row, at):
            return False
        self._sent[key] = _SentRow(row, at)
        return True


def _is_same(old: _SentRow, row: CounterRow, at: int | None) -> bool:
    if (old.row.served, old.row.lift, old.row.waiting, old.row.running) != (
        row.served,
        row.lift,
        row.waiting,
        row.running,
    ):
        return False
    if at is None or old.deadline_at_ms is None:
        return at is old.deadline_at_ms
    return abs(at - old.deadline_at_ms) <= DEADLINE_TOLERANCE_MS
