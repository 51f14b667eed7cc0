"""What a report on one connection has to carry, and the budgets of reports."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field, replace

from ..options import Options
from ..types import OrganisationName, RouterIdentity, ServiceName, ZoneName
from .messages import CounterRow, Sum, SumRow

# A deadline is sent relative to the time of the report; a smaller difference than
# this comes from the delay between two reports and not from another request.
DEADLINE_TOLERANCE_MS = 50
# Sizes of an encoded report without rows and of a changed row, rounded up.
REPORT_BYTES = 12
COUNTER_ROW_BYTES = 12
# Without any row, peers would take the totals of this router for final.
LEAST_ROWS = 2
# Reports that a router may receive in a second; a flat fleet of 16 sends as many.
RECEIVED_PER_SECOND = 75.0
# Part of the silence after which a router is suspected that two reports may be apart.
LONGEST_INTERVAL_PART = 1 / 3
# A changed row that waits longer than this goes before rows with a larger change.
HELD_BACK_SECONDS = 1.0


def find_report_interval(options: Options, peers: int) -> float:
    """Returns the seconds between two reports to all peers.

    Every router hears every other one, so that in a large fleet they report less often.
    """
    longest = options.suspect_after * LONGEST_INTERVAL_PART
    needed = min(peers / RECEIVED_PER_SECOND, longest)
    return max(options.report_interval, needed)


@dataclass(slots=True)
class _SentRow:
    row: CounterRow
    deadline_at_ms: int | None
    sent_at: float


_NOTHING_SENT = _SentRow(CounterRow("", "", 0, 0, 0, 0, None), None, float("-inf"))


@dataclass(slots=True)
class ByteBudget:
    """How many counters a report may carry, so that the traffic stays bounded.

    Every byte to other routers counts, but only counters are held back: they are
    the part that grows with the number of organisations, and a later report carries
    the whole change.
    """

    options: Options
    _bytes: float = 0.0
    _filled_at: float = float("-inf")

    def fill(self, now: float) -> None:
        """Adds what the time since the last call allows."""
        rate = self.options.control_bytes_per_second
        # At most one second is saved up, or owed after a snapshot.
        self._bytes = min(rate, self._bytes + rate * (now - self._filled_at))
        self._filled_at = now

    def spend(self, size: int) -> None:
        """Takes note of sent bytes."""
        rate = self.options.control_bytes_per_second
        self._bytes = max(-rate, self._bytes - size)

    def find_row_limit(self, peers: int) -> int:
        """Returns how many counters a report to each of the peers may carry."""
        share = self.options.report_interval * self.options.control_bytes_per_second
        allowed = min(self._bytes, share) / max(1, peers) - REPORT_BYTES
        return max(LEAST_ROWS, int(allowed / COUNTER_ROW_BYTES))


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
        is_served_left_out: bool = False,
    ) -> tuple[CounterRow, ...]:
        """Returns the rows to send, at most ``limit``, and takes them as sent.

        A report before the interval ends carries only work that begins or ceases to
        wait.

        Work that begins or ceases to wait goes first, then rows held back for long,
        then the largest change of service; a row that is left out is compared again
        for the next report, with all of its change. Where served work is left out, it
        stays as it was sent last.
        """
        now_ms = int(now * 1000)
        changed = []
        for row in counters:
            old = self._sent.get((row.service, row.organisation), _NOTHING_SENT)
            at = None if row.deadline_ms is None else now_ms + row.deadline_ms
            if is_served_left_out and row.served != old.row.served:
                row = replace(row, served=old.row.served)
            if is_early and not _is_turning(row, old.row):
                continue
            if old is _NOTHING_SENT or not _is_same(old, row, at):
                changed.append((row, at, old))
        if len(changed) > limit:
            changed = heapq.nlargest(
                limit, changed, key=lambda one: _rank(one[0], one[2], now)
            )
        for row, at, _ in changed:
            self._sent[row.service, row.organisation] = _SentRow(row, at, now)
        return tuple([row for row, _, _ in changed])


@dataclass(slots=True)
class _SentSum:
    origins: frozenset[RouterIdentity]
    served: dict[tuple[ServiceName, OrganisationName], int]


@dataclass(slots=True)
class SumFilter:
    """Selects the rows of sums that changed since they were sent on a connection."""

    _sent: dict[tuple[ZoneName, int], _SentSum] = field(default_factory=dict)

    def select(self, message: Sum, *, limit: int) -> Sum | None:
        """Returns the sum with at most ``limit`` rows, None if nothing changed.

        A row that is left out stands for less work than was done, which is safe as
        long as no origin leaves the sum; then all of them are sent.
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
        changed = [one for one in changed if one[0]]
        if not changed and old.origins == message.origins:
            return None
        if len(changed) > limit:
            # A fall comes first: it corrects a sum that held too much.
            changed = heapq.nlargest(
                limit, changed, key=lambda one: (one[0] < 0, one[0])
            )
        old.origins = message.origins
        rows: list[SumRow] = [row for _, row in changed]
        for row in rows:
            old.served[row.service, row.organisation] = row.served
        return replace(message, is_whole=False, rows=tuple(rows))


def _rank(row: CounterRow, old: _SentRow, now: float) -> tuple[bool, float, int]:
    is_turning = _is_turning(row, old.row)
    held_back = now - old.sent_at
    growth = row.served - old.row.served + row.lift - old.row.lift
    return is_turning, held_back if held_back > HELD_BACK_SECONDS else 0.0, growth


def _is_turning(row: CounterRow, old: CounterRow) -> bool:
    return (row.waiting > 0) != (old.waiting > 0)


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


@dataclass(slots=True)
class EarlyBudget:
    """A token bucket of messages that may go out before the interval ends.

    It keeps the number of messages independent of the request rate; without a token
    the news waits for the next regular report.
    """

    options: Options
    _tokens: float = 0.0
    _filled_at: float = float("-inf")

    def take(self, messages: int, now: float, *, reserve: float = 0.0) -> bool:
        """Takes tokens for messages if more than ``reserve`` are left after that."""
        earned = (now - self._filled_at) * self.options.early_message_rate
        self._tokens = min(self._tokens + earned, self.options.early_message_burst)
        self._filled_at = now
        if self._tokens < messages + reserve:
            return False
        self._tokens -= messages
        return True
