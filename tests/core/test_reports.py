"""Tests of the selection of counters and of the budgets of reports."""

from __future__ import annotations

import pytest

from sequoiamoor.core.messages import CounterRow, Sum, SumRow
from sequoiamoor.core.reports import (
    COUNTER_ROW_BYTES,
    HELD_BACK_PRIORITY_SECONDS,
    MIN_ROWS,
    REPORT_BYTES,
    ByteBudget,
    EarlyMessageBudget,
    ReportFilter,
    SumFilter,
    find_report_interval,
    find_suspect_after,
)
from sequoiamoor.options import Options
from sequoiamoor.types import RouterIdentity

OPTIONS = Options.model_validate({})
PEERS = ("router-1", "router-2", "router-3")


def build_row(
    name: str, served: int = 0, *, waiting: int = 0, deadline_ms: int | None = None
) -> CounterRow:
    return CounterRow("talk", name, served, 0, waiting, 0, deadline_ms)


@pytest.mark.parametrize(
    ("first", "second", "elapsed", "is_sent"),
    [
        (build_row("a", 1), build_row("a", 1), 0.2, False),
        (build_row("a", 1), build_row("a", 2), 0.2, True),
        (build_row("a", 1), build_row("a", 1, waiting=1), 0.2, True),
        # The same deadline, seen 0.2 s later, and another one.
        (build_row("a", deadline_ms=800), build_row("a", deadline_ms=600), 0.2, False),
        (build_row("a", deadline_ms=800), build_row("a", deadline_ms=300), 0.2, True),
        (build_row("a", deadline_ms=800), build_row("a"), 0.2, True),
        (build_row("a"), build_row("a", deadline_ms=800), 0.2, True),
    ],
)
def test_only_changed_rows_are_sent(
    first: CounterRow, second: CounterRow, elapsed: float, is_sent: bool
) -> None:
    """Guards against sending unchanged rows and against not sending changed ones."""
    report_filter = ReportFilter()
    assert report_filter.select((first,), 10.0, limit=9) == (first,)
    expected = (second,) if is_sent else ()
    assert report_filter.select((second,), 10.0 + elapsed, limit=9) == expected


def test_rows_over_the_limit_follow_later() -> None:
    """Guards against a row that is never sent because others changed more."""
    report_filter = ReportFilter()
    rows = tuple(build_row(f"o{number}", 10 * number) for number in range(1, 8))
    rows += (build_row("w", 1, waiting=1),)
    parts = [
        {row.organisation for row in report_filter.select(rows, 10.0, limit=3)}
        for _ in range(4)
    ]
    assert parts == [{"w", "o7", "o6"}, {"o5", "o4", "o3"}, {"o2", "o1"}, set()]


def test_small_changes_are_not_held_back_for_long() -> None:
    """Guards against a row that is starved by rows that change more.

    The other rows change more in each report, and the limit is less than the number
    of rows.
    """
    report_filter = ReportFilter()
    sent_at = dict.fromkeys(["small", "o1", "o2", "o3"], 0.0)
    longest = 0.0
    for tick in range(100):
        now = 0.2 * tick
        rows = [build_row(f"o{number}", 1_000 * tick * number) for number in (1, 2, 3)]
        rows.append(build_row("small", 1, waiting=2 + tick))
        for row in report_filter.select(tuple(rows), now, limit=2):
            longest = max(longest, now - sent_at[row.organisation])
            sent_at[row.organisation] = now
    assert longest <= 2 * HELD_BACK_PRIORITY_SECONDS
    assert min(sent_at.values()) >= 0.2 * 99 - 2 * HELD_BACK_PRIORITY_SECONDS


@pytest.mark.parametrize(
    ("interval", "others", "is_urgent"),
    [(0.2, 6, True), (0.9, 2, True), (0.9, 6, False), (0.9, 13, False)],
)
def test_largest_change_is_not_held_back_for_long(
    interval: float, others: int, is_urgent: bool
) -> None:
    """Guards against the work of a flooding organisation that no router learns of.

    Its row is one of many at a router that may send the least number of rows. Rows of
    small organisations that waited longer, or start and stop waiting, go first. The
    others learn of seconds of work at once, and hold the organisation back for it.
    """
    report_filter = ReportFilter()
    sent_at, longest = 0.0, 0.0
    for tick in range(1, 51):
        now = interval * tick
        rows = [build_row("flood", 100_000 * tick, waiting=5)]
        for number in range(others):
            waiting = (tick + number) % 2 if is_urgent else 0
            rows.append(build_row(f"o{number}", 100 * tick, waiting=waiting))
        for row in report_filter.select(tuple(rows), now, limit=MIN_ROWS):
            if row.organisation == "flood":
                sent_at = now
        longest = max(longest, now - sent_at)
    assert longest <= 2 * HELD_BACK_PRIORITY_SECONDS


@pytest.mark.parametrize("others", [6, 13])
def test_requests_that_no_longer_run_are_reported_soon(others: int) -> None:
    """Guards against requests of a flood that count as running for seconds after.

    Most connections of a large fleet carry no work, so that its growth orders nothing
    there. Rows that change little then take turns with the one that changes most.
    """
    report_filter = ReportFilter()
    sent_at, longest = 0.0, 0.0
    for tick in range(1, 51):
        now = 0.9 * tick
        rows = []
        for number in range(others):
            running = 1 + 2 * ((tick + number) % 2)
            rows.append(CounterRow("talk", f"o{number}", tick, 0, 1, running, None))
        running = 20 * (tick % 5)
        rows.append(CounterRow("talk", "flood", 100 * tick, 0, 5, running, None))
        sent = report_filter.select(
            tuple(rows), now, limit=MIN_ROWS, is_served_frozen=True
        )
        if any(row.organisation == "flood" for row in sent):
            sent_at = now
        longest = max(longest, now - sent_at)
    assert longest <= 2 * HELD_BACK_PRIORITY_SECONDS


@pytest.mark.parametrize(("peers", "others"), [(7, 0), (7, 600), (2, 100)])
def test_counters_keep_the_byte_budget(peers: int, others: int) -> None:
    """Guards against control traffic that grows with the number of organisations.

    ``others`` are bytes per interval that are sent regardless of the budget.
    """
    budget = ByteBudget(OPTIONS)
    sent = 0
    for tick in range(500):
        budget.fill(0.2 * tick)
        rows = budget.find_row_limit(peers)
        size = others + peers * (REPORT_BYTES + rows * COUNTER_ROW_BYTES)
        budget.spend(size)
        sent += size
    least = others + peers * (REPORT_BYTES + MIN_ROWS * COUNTER_ROW_BYTES)
    allowed = OPTIONS.control_bytes_per_second
    assert sent <= 100 * max(allowed, 5 * least) + allowed
    assert sent >= 80 * allowed


def test_early_reports_stay_within_their_budget() -> None:
    """Guards against control messages that grow with the request rate."""
    budget = EarlyMessageBudget(OPTIONS)
    sent = 0
    for tick in range(1_000):
        if budget.take(len(PEERS), tick / 100):
            sent += len(PEERS)
    earned = 10 * OPTIONS.early_message_rate
    assert 0.9 * earned <= sent <= earned + OPTIONS.early_message_burst


def test_reserved_tokens_are_left() -> None:
    """Guards against reports of waiting work that use up the tokens of releases."""
    budget = EarlyMessageBudget(OPTIONS)
    reserve = OPTIONS.early_message_burst / 2
    while budget.take(1, 1.0, reserve=reserve):
        pass
    assert sum(budget.take(1, 1.0) for _ in range(100)) == reserve


@pytest.mark.parametrize(
    ("peers", "longest", "interval"),
    [
        (0, 0.5, 0.2),
        (7, 0.5, 0.2),
        (15, 0.5, 0.2),
        (30, 0.5, 0.4),
        (69, 0.5, 0.5),
        (69, 4.0, 0.92),
        (195, 4.0, 2.6),
        (349, 4.0, 4.0),
    ],
)
def test_routers_of_a_large_fleet_report_less_often(
    peers: int, longest: float, interval: float
) -> None:
    """Guards against routers that are busy with reading the reports of the others.

    Two consecutive reports may be lost before a router is suspected.
    """
    options = Options.model_validate({"longest_report_interval": longest})
    report_interval = find_report_interval(options, peers)
    assert report_interval == pytest.approx(interval)
    assert 3 * report_interval <= find_suspect_after(options, peers)


@pytest.mark.parametrize("organisations", [2, 6, 8])
def test_work_passes_each_level_of_the_tree_in_one_interval(organisations: int) -> None:
    """Guards against work of floods that routers learn of seconds late, and at once.

    All bytes of the budget are spent on reports to all routers. If a sum then leaves
    out an organisation, its work waits for another interval at each level.
    """
    levels, budget = 4, ByteBudget(OPTIONS)
    budget.fill(0.0)
    budget.spend(100_000)
    limit = budget.find_tree_row_limit(7)
    origin = frozenset({RouterIdentity("router-1", 1, "zone")})
    names = [f"o{number}" for number in range(organisations)]
    filters = [SumFilter() for _ in range(levels)]
    known = [dict.fromkeys(names, 0) for _ in range(levels + 1)]
    for tick in range(1, 41):
        for level in reversed(range(levels)):
            rows = tuple(SumRow("talk", *item) for item in known[level].items())
            message = Sum("zone", 0, tick, True, origin, rows)
            changed = filters[level].select(message, limit=limit)
            if changed is not None:
                for row in changed.rows:
                    known[level + 1][row.organisation] = row.served
        known[0] = {name: 100 * tick for name in names}
        if tick > 2 * levels:
            assert min(known[levels].values()) >= 100 * (tick - levels)
