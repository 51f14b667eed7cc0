"""Selection of the rows of reports and sums, and byte and message budgets."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace

from ..options import Options
from ..types import OrganisationName, RouterIdentity, ServiceName, ZoneName
from .messages import CounterRow, Sum, SumRow

# Deadlines are sent relative to the time of the report. A smaller difference comes
# from the delay between two reports and not from a different request.
DEADLINE_TOLERANCE_MS = 50
# Encoded sizes of a report without rows and of a changed row, rounded up.
REPORT_BYTES = 12
COUNTER_ROW_BYTES = 12
# Without any row, peers would consider the totals of this router to be final.
MIN_ROWS = 2
# Reports and sums along the tree go to few routers. Each level that leaves out the work
# of an organisation delays it by an interval.
MIN_TREE_ROWS = 8
# Rate of received reports above which the report interval grows; a flat fleet of 16
# routers reaches this rate.
MAX_RECEIVED_REPORTS_PER_SECOND = 75.0
# Report intervals without a message after which a router is suspected.
SUSPECT_AFTER_INTERVALS = 3
# A changed row that is held back for longer goes before rows with a larger change.
HELD_BACK_PRIORITY_SECONDS = 1.0


def find_report_interval(options: Options, peers: int) -> float:
    """Returns the seconds between two reports to all peers.

    Every router receives the reports of every other one, so the routers of a large
    fleet report less often.
    """
    needed = peers / MAX_RECEIVED_REPORTS_PER_SECOND
    return max(options.report_interval, min(needed, options.longest_report_interval))


def find_suspect_after(options: Options, peers: int) -> float:
    """Returns the seconds of silence after which a router is suspected.

    Args:
        options: Options of the router.
        peers: Other routers that may report, including silent ones. A router that
            counted only those it hears would suspect the routers of a large fleet,
            which report less often, and never count them.
    """
    interval = find_report_interval(options, peers)
    return max(options.suspect_after, SUSPECT_AFTER_INTERVALS * interval)


@dataclass(slots=True)
class _SentRow:
    row: CounterRow
    deadline_at_ms: int | None
    sent_at: float


_Change = tuple[CounterRow, int | None, _SentRow]
"""Changed row, its deadline on the clock of ``now`` in milliseconds, and the row sent
before."""

_NEVER_SENT = _SentRow(CounterRow("", "", 0, 0, 0, 0, None), None, float("-inf"))


@dataclass(slots=True)
class ByteBudget:
    """Token bucket in bytes that bounds the traffic to other routers.

    All bytes sent to other routers are charged, but only counters are held back: they
    are the part that grows with the number of organisations, and a later report
    carries the whole change.
    """

    options: Options
    _bytes: float = 0.0
    _filled_at: float = float("-inf")

    def fill(self, now: float) -> None:
        """Adds the bytes for the time since the last call."""
        rate = self.options.control_bytes_per_second
        # The balance is at most one second of traffic, or minus that after a snapshot.
        self._bytes = min(rate, self._bytes + rate * (now - self._filled_at))
        self._filled_at = now

    def spend(self, size: int) -> None:
        """Charges sent bytes."""
        rate = self.options.control_bytes_per_second
        self._bytes = max(-rate, self._bytes - size)

    def find_row_limit(self, peers: int) -> int:
        """Returns how many counters a report to each of the peers may carry."""
        share = self.options.report_interval * self.options.control_bytes_per_second
        allowed = min(self._bytes, share) / max(1, peers) - REPORT_BYTES
        return max(MIN_ROWS, int(allowed / COUNTER_ROW_BYTES))

    def find_tree_row_limit(self, messages: int) -> int:
        """Returns how many counters each of the messages along the tree may carry."""
        return max(self.find_row_limit(messages), MIN_TREE_ROWS)


@dataclass(slots=True)
class ReportFilter:
    """Selects the counters that changed since the last report on a connection."""

    _sent: dict[tuple[ServiceName, OrganisationName], _SentRow] = field(
        default_factory=dict
    )

    def select(
        self,
        counters: tuple[CounterRow, ...],
        now: float,
        *,
        limit: int,
        is_early: bool = False,
        is_served_frozen: bool = False,
    ) -> tuple[CounterRow, ...]:
        """Returns the rows to send, at most ``limit``, and records them as sent.

        Half of the places are for the largest changes of served work, or of requests
        on a connection that carries no work. In the others,
        rows whose work starts or stops waiting go first, then rows held back for long,
        then those with the largest change. A row that is left out is compared again
        for the next report, with its whole change.

        Args:
            counters: All counters of this router.
            now: Monotonic time in seconds.
            limit: Largest number of rows.
            is_early: Whether the report is sent before the interval ends. Such a
                report carries only rows whose work starts or stops waiting.
            is_served_frozen: Whether served work keeps the value sent last.
        """
        now_ms = int(now * 1000)
        changed = []
        for row in counters:
            last = self._sent.get((row.service, row.organisation), _NEVER_SENT)
            deadline_at_ms = (
                None if row.deadline_ms is None else now_ms + row.deadline_ms
            )
            if is_served_frozen and row.served != last.row.served:
                row = replace(row, served=last.row.served)
            if is_early and not _starts_or_stops_waiting(row, last.row):
                continue
            if last is _NEVER_SENT or not _is_same(last, row, deadline_at_ms):
                changed.append((row, deadline_at_ms, last))
        if len(changed) > limit:
            changed = _choose_rows(changed, limit, now)
        for row, deadline_at_ms, _ in changed:
            self._sent[row.service, row.organisation] = _SentRow(
                row, deadline_at_ms, now
            )
        return tuple([row for row, _, _ in changed])


@dataclass(slots=True)
class _SentSum:
    origins: frozenset[RouterIdentity]
    served: dict[tuple[ServiceName, OrganisationName], int]


@dataclass(slots=True)
class SumFilter:
    """Selects the rows of sums that changed since the last sum on a connection."""

    _sent: dict[tuple[ZoneName, int], _SentSum] = field(default_factory=dict)

    def select(self, message: Sum, *, limit: int) -> Sum | None:
        """Returns the sum with at most ``limit`` rows, None if nothing changed.

        For a row that is left out, the receiver assumes less work than was done. This
        is safe as long as no origin leaves the sum; if one does, all rows are sent, as
        in the first sum on a connection.
        """
        key = (message.scope, message.part)
        old = self._sent.get(key)
        if old is None or not old.origins <= message.origins:
            self._sent[key] = _SentSum(
                message.origins,
                {(row.service, row.organisation): row.served for row in message.rows},
            )
            return message
        changed = [
            (row.served - old.served.get((row.service, row.organisation), 0), row)
            for row in message.rows
        ]
        changed = [change for change in changed if change[0]]
        if not changed and old.origins == message.origins:
            return None
        if len(changed) > limit:
            # Decreases go first: they correct a sum that was too high.
            changed = heapq.nlargest(
                limit, changed, key=lambda change: (change[0] < 0, change[0])
            )
        old.origins = message.origins
        rows: list[SumRow] = [row for _, row in changed]
        for row in rows:
            old.served[row.service, row.organisation] = row.served
        return replace(message, is_whole=False, rows=tuple(rows))


def _choose_rows(changed: list[_Change], limit: int, now: float) -> list[_Change]:
    """Returns the changed rows that a report has places for."""
    ordered = sorted(changed, key=_measure_change, reverse=True)
    largest, others = ordered[: limit // 2], ordered[limit // 2 :]
    return largest + heapq.nlargest(
        limit - len(largest), others, key=lambda change: _rank(change, now)
    )


def _rank(change: _Change, now: float) -> tuple[bool, float, tuple[int, int]]:
    row, _, last = change
    held_back = now - last.sent_at
    return (
        _starts_or_stops_waiting(row, last.row),
        held_back if held_back > HELD_BACK_PRIORITY_SECONDS else 0.0,
        _measure_change(change),
    )


def _measure_change(change: _Change) -> tuple[int, int]:
    """Returns the service units and the requests that the other routers do not know of.

    Work goes first. Reports without it are ordered by the requests.
    """
    row, _, last = change
    requests = abs(row.waiting - last.row.waiting) + abs(row.running - last.row.running)
    return row.served - last.row.served + row.lift - last.row.lift, requests


def _starts_or_stops_waiting(row: CounterRow, last: CounterRow) -> bool:
    return (row.waiting > 0) != (last.waiting > 0)


def _is_same(last: _SentRow, row: CounterRow, deadline_at_ms: int | None) -> bool:
    if (last.row.served, last.row.lift, last.row.waiting, last.row.running) != (
        row.served,
        row.lift,
        row.waiting,
        row.running,
    ):
        return False
    if deadline_at_ms is None or last.deadline_at_ms is None:
        return deadline_at_ms is last.deadline_at_ms
    return abs(deadline_at_ms - last.deadline_at_ms) <= DEADLINE_TOLERANCE_MS


@dataclass(slots=True)
class EarlyMessageBudget:
    """Token bucket of messages that may be sent before the interval ends.

    It bounds the number of messages independently of the request rate; without a
    token, the changes wait for the next regular report.
    """

    options: Options
    _tokens: float = 0.0
    _filled_at: float = float("-inf")

    def take(self, messages: int, now: float, *, reserve: float = 0.0) -> bool:
        """Takes one token per message; returns whether there were enough.

        Args:
            messages: Number of messages.
            now: Monotonic time in seconds.
            reserve: Tokens that must be left afterwards; else none are taken.
        """
        earned = (now - self._filled_at) * self.options.early_message_rate
        self._tokens = min(self._tokens + earned, self.options.early_message_burst)
        self._filled_at = now
        if self._tokens < messages + reserve:
            return False
        self._tokens -= messages
        return True
