"""The scenarios of the fleet in memory, and the figures of each run."""

from __future__ import annotations

from collections.abc import Callable

from sequoiamoor.options import Options

from . import measures
from .decisions_fleet import (
    CAPACITY,
    LARGEST,
    ORGANISATIONS,
    REPLICAS,
    ROUTERS,
    SLOTS,
    WARM_UP,
    Fleet,
)

# The first arrivals at an idle fleet start on all free slots; what they are ahead by is
# repaid by then, and the steady scenarios measure from here on.
STEADY_AT = 25.0
FAULT_AT = 20.0


def build(policy: str, seed: int, options: Options, backlogged: int) -> Fleet:
    """Returns a fleet in which some organisations always have work waiting."""
    fleet = Fleet(policy, seed, options)
    for name in fleet.names[:backlogged]:
        fleet.keep += [(name, home) for home in fleet.homes[name][: 1 + seed % 3]]
    fleet.at(0.0, fleet.keep_backlogged)
    fleet.at(0.0, fleet.sample)
    return fleet


def run_steady(
    policy: str, seed: int, options: Options, fault: str
) -> dict[str, float]:
    """Ten organisations backlogged throughout, six with less than their share."""
    fleet = build(policy, seed, options, 10)
    fleet.cost_divisor = 10 if fault == "short" else 1
    names = fleet.names[:10]
    for index, name in enumerate(fleet.names[10:]):
        fleet.add_load(name, 0.3 + 0.1 * index)
    is_steady = fault in ("none", "short")
    start, end = (STEADY_AT, 85.0) if is_steady else (WARM_UP, 70.0)
    bound = measures.compute_bound(
        capacity=CAPACITY, largest_request=LARGEST, options=options
    )
    if fault == "partition":
        fleet.at(FAULT_AT, fleet.partition, "c")
        fleet.at(40.0, fleet.partition, None)
        end = 130.0
    elif fault == "killed":
        victim = fleet.homes["o15"][0]
        # Callers that know no other router have no work waiting while it is gone.
        names = [
            one
            for one in names
            if any(name == one and home != victim for name, home in fleet.keep)
        ]
        bound += measures.compute_failure_term(
            capacity=CAPACITY,
            routers=ROUTERS,
            slots=REPLICAS * SLOTS,
            backlogged=len(names),
            options=options,
        )
        fleet.at(FAULT_AT, fleet.kill, victim)
        zone = fleet.routers[victim].board.identity.zone
        fleet.at(30.0, fleet.add_router, victim, zone, 1_000, 30.0)
    fleet.run(end)
    result = summarise(fleet, names, start, end)
    result["largest gap from cold"] = fleet.largest_gap(names, 0.0, end)
    if not is_steady:
        result |= measure_lost(fleet, options, end)
    if fault in ("none", "killed"):
        result["bound of section 6 s"] = bound / CAPACITY
        result["gap over bound"] = result["largest gap"] / bound
    if fault == "partition":
        result |= measure_repayment(fleet, names, 40.0, end)
    return result


def measure_lost(fleet: Fleet, options: Options, end: float) -> dict[str, float]:
    """Returns the slot-seconds that were idle while work waited, per phase."""
    phases = {
        "before the fault": (WARM_UP, FAULT_AT),
        "until suspicion": (FAULT_AT, FAULT_AT + options.suspect_after),
        "until expiry": (
            FAULT_AT + options.suspect_after,
            FAULT_AT + options.grant_expiry,
        ),
        "until reclaiming": (
            FAULT_AT + options.grant_expiry,
            FAULT_AT + options.router_reclaim_after + 2 * options.report_interval,
        ),
        "later": (
            FAULT_AT + options.router_reclaim_after + 2 * options.report_interval,
            end,
        ),
    }
    return {f"lost {name}": fleet.lost(*span) for name, span in phases.items()}


def measure_repayment(
    fleet: Fleet, names: list[str], healed_at: float, end: float
) -> dict[str, float]:
    """Returns the gap at the heal, the time to repay, and the least share meanwhile."""
    times = [at for at, _ in fleet.samples if at >= WARM_UP]
    gaps = fleet.gaps(names, WARM_UP, end)
    at_heal = next(gap for at, gap in zip(times, gaps, strict=True) if at >= healed_at)
    bound = CAPACITY + LARGEST
    late = [at for at, gap in zip(times, gaps, strict=True) if gap > bound]
    repaid = max([at for at in late if at >= healed_at], default=healed_at)
    repaid = min(repaid, end - 5)
    least = float("inf")
    window = 10.0
    start = healed_at
    while start + window <= max(repaid, healed_at + window):
        span = [one for at, one in fleet.samples if start <= at <= start + window]
        for name in names:
            done = span[-1].get(name, 0) - span[0].get(name, 0)
            least = min(least, done / window / (CAPACITY / ORGANISATIONS))
        start += window / 2
    return {
        "gap at heal s": at_heal / CAPACITY,
        "repaid after s": repaid - healed_at,
        "least share": least,
        "gap after repayment s": fleet.largest_gap(names, repaid + 1, end) / CAPACITY,
    }


def run_flood(
    policy: str, seed: int, options: Options, load: float, backlogged: int = 0
) -> dict[str, float]:
    """One organisation at 50 times its share against the same fleet without it.

    Args:
        policy: Name of the policy.
        seed: Seed of all draws.
        options: Options of the routers.
        load: Load of the other organisations in parts of their equal share.
        backlogged: Number of organisations that are backlogged in any case.
    """
    waits = []
    result: dict[str, float] = {}
    for share in (0.0, 50.0):
        fleet = build(policy, seed, options, backlogged)
        for name in fleet.names[backlogged : ORGANISATIONS - 1]:
            fleet.add_load(name, load)
        if share:
            fleet.add_load(fleet.names[-1], share, WARM_UP - 5)
        fleet.run(60.0)
        found = [
            wait
            for name in fleet.names[backlogged : ORGANISATIONS - 1]
            for at, wait in fleet.waits[name]
            if at >= WARM_UP
        ]
        waits.append(percentile(found, 0.95))
        if share:
            result = summarise(fleet, [], WARM_UP, 60.0)
    return result | {
        "p95 first token alone ms": waits[0] * 1000,
        "p95 first token flood ms": waits[1] * 1000,
        "ratio": waits[1] / waits[0],
    }


def percentile(values: list[float], part: float) -> float:
    """Returns the value below which ``part`` of the values lie."""
    return sorted(values)[min(int(len(values) * part), len(values) - 1)]


def summarise(
    fleet: Fleet, names: list[str], start: float, end: float
) -> dict[str, float]:
    """Returns the figures that every scenario has."""
    router_seconds = ROUTERS * (end - WARM_UP)
    busy = sum(one.busy for one in fleet.routers.values())
    result = {
        "utilisation %": 100 * fleet.utilisation(),
        "messages/s sent per router": fleet.messages / router_seconds,
        "KB/s in+out per router": 2 * fleet.bytes / router_seconds / 1000,
        "control % of a core": 100 * busy / (ROUTERS * end),
    }
    if names:
        gaps = fleet.gaps(names, start, end)
        largest = fleet.largest_gap(names, start, end)
        result |= {
            "largest gap": largest,
            "largest gap s": largest / CAPACITY,
            "p99 gap": percentile(gaps, 0.99),
            "p99 gap s": percentile(gaps, 0.99) / CAPACITY,
        }
    return result


SCENARIOS: dict[str, Callable[[str, int, Options], dict[str, float]]] = {
    "steady": lambda policy, seed, options: run_steady(policy, seed, options, "none"),
    "short": lambda policy, seed, options: run_steady(policy, seed, options, "short"),
    "partition": lambda p, seed, options: run_steady(p, seed, options, "partition"),
    "killed": lambda policy, seed, options: run_steady(policy, seed, options, "killed"),
    "flood": lambda policy, seed, options: run_flood(policy, seed, options, 0.5, 10),
    "flood-60": lambda policy, seed, options: run_flood(policy, seed, options, 0.6),
    "flood-85": lambda policy, seed, options: run_flood(policy, seed, options, 0.85),
}
