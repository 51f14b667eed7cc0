"""Tests of the sums of requests at peers."""

from __future__ import annotations

from random import Random

from sequoiamoor.core.demand import DemandTable
from sequoiamoor.core.messages import CounterRow
from sequoiamoor.types import RouterIdentity


def test_sum_after_each_report_is_that_of_a_new_table() -> None:
    """Guards against demand that stays after it ended, or is missed.

    Only organisations with a report are summed again. Members come and go, reports come
    late and twice, and routers start again.
    """
    rng = Random(7)
    table = DemandTable()
    applied = []
    for number in range(400):
        peer = RouterIdentity(f"r{rng.randrange(4)}", 1 + number // 150, "z")
        row = CounterRow(
            "talk", f"o{rng.randrange(5)}", 0, 0, rng.randrange(2), rng.randrange(2), 9
        )
        applied.append((peer, number - rng.randrange(3), (row,), float(number)))
        table.apply_report(*applied[-1])
        members = {f"r{router}" for router in range(4) if rng.random() < 0.9}
        fresh = DemandTable()
        for report in applied:
            fresh.apply_report(*report)
        assert table.sum("talk", members) == fresh.sum("talk", members)
        assert table.sum("talk", members) == fresh.sum("talk", members)
