"""The scenarios of the in-memory fleet, and the figures of each run."""

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
    WARM_UP_SECONDS,
    Fleet,
)

# The first requests at an idle fleet start on all free slots. Their organisations' lead
# in service is repaid by this time, from which the steady scenarios measure.
STEADY_START_SECONDS = 25.0
FAULT_START_SECONDS = 20.0


def build(policy: str, seed: int, options: Options, backlogged: int) -> Fleet:
    """Returns a fleet in which some organisations always have work waiting."""
    fleet = Fleet(policy, seed, options)
    for organisation in fleet.organisations[:backlogged]:
        fleet.backlogs += [
            (organisation, router_id)
            for router_id in fleet.entry_routers[organisation][: 1 + seed % 3]
        ]
    fleet.at(0.0, fleet.keep_backlogged)
    fleet.at(0.0, fleet.sample)
    return fleet


def run_steady(
    policy: str, seed: int, options: Options, fault: str
) -> dict[str, float]:
    """Runs ten organisations that are always backlogged, and six below their share.

    Args:
        policy: Name of the policy.
        seed: Seed of all random numbers.
        options: Options of the routers.
        fault: ``none``, ``partition``, ``killed`` (one router dies and returns), or
            ``short``, which is no fault but has requests of a tenth of the cost.

    Returns:
        The figures of the run by their printed names.
    """
    fleet = build(policy, seed, options, 10)
    fleet.cost_divisor = 10 if fault == "short" else 1
    organisations = fleet.organisations[:10]
    for index, name in enumerate(fleet.organisations[10:]):
        fleet.add_load(name, 0.3 + 0.1 * index)
    is_steady = fault in ("none", "short")
    start, end = (STEADY_START_SECONDS, 85.0) if is_steady else (WARM_UP_SECONDS, 70.0)
    bound = measures.compute_bound(
        capacity=CAPACITY, largest_request=LARGEST, options=options
    )
    if fault == "partition":
        fleet.at(FAULT_START_SECONDS, fleet.partition, "c")
        fleet.at(40.0, fleet.partition, None)
        end = 130.0
    elif fault == "killed":
        killed_router = fleet.entry_routers["o15"][0]
        # Callers that know no other router have no work waiting while it is gone.
        organisations = [
            candidate
            for candidate in organisations
            if any(
                organisation == candidate and router_id != killed_router
                for organisation, router_id in fleet.backlogs
            )
        ]
        bound += measures.compute_failure_term(
            capacity=CAPACITY,
            routers=ROUTERS,
            slots=REPLICAS * SLOTS,
            backlogged=len(organisations),
            options=options,
        )
        fleet.at(FAULT_START_SECONDS, fleet.kill, killed_router)
        zone = fleet.routers[killed_router].board.identity.zone
        fleet.at(30.0, fleet.add_router, killed_router, zone, 1_000, 30.0)
    fleet.run(end)
    result = summarise(fleet, organisations, start, end)
    result["largest gap from cold"] = fleet.compute_largest_gap(organisations, 0.0, end)
    if not is_steady:
        result |= measure_idle_slots(fleet, options, end)
    if fault in ("none", "killed"):
        result["bound of section 6 s"] = bound / CAPACITY
        result["gap over bound"] = result["largest gap"] / bound
    if fault == "partition":
        result |= measure_repayment(fleet, organisations, 40.0, end)
    return result


def measure_idle_slots(fleet: Fleet, options: Options, end: float) -> dict[str, float]:
    """Returns the slot-seconds that were idle while work waited, per phase."""
    phases = {
        "before the fault": (WARM_UP_SECONDS, FAULT_START_SECONDS),
        "until suspicion": (
            FAULT_START_SECONDS,
            FAULT_START_SECONDS + options.suspect_after,
        ),
        "until expiry": (
            FAULT_START_SECONDS + options.suspect_after,
            FAULT_START_SECONDS + options.grant_expiry,
        ),
        "until reclaiming": (
            FAULT_START_SECONDS + options.grant_expiry,
            FAULT_START_SECONDS
            + options.router_reclaim_after
            + 2 * options.report_interval,
        ),
        "later": (
            FAULT_START_SECONDS
            + options.router_reclaim_after
            + 2 * options.report_interval,
            end,
        ),
    }
    return {
        f"lost {name}": fleet.compute_idle_slot_seconds(*span)
        for name, span in phases.items()
    }


def measure_repayment(
    fleet: Fleet, organisations: list[str], healed_at: float, end: float
) -> dict[str, float]:
    """Returns how the gap of a partition is repaid after its end.

    The figures are the gap at the end of the partition and after the repayment, in
    seconds of capacity, the seconds until it is repaid, and the least service of an
    organisation meanwhile, as a fraction of its equal share.
    """
    times = [at for at, _ in fleet.samples if at >= WARM_UP_SECONDS]
    gaps = fleet.compute_gaps(organisations, WARM_UP_SECONDS, end)
    at_heal = next(gap for at, gap in zip(times, gaps, strict=True) if at >= healed_at)
    bound = CAPACITY + LARGEST
    late = [at for at, gap in zip(times, gaps, strict=True) if gap > bound]
    repaid = max([at for at in late if at >= healed_at], default=healed_at)
    repaid = min(repaid, end - 5)
    least = float("inf")
    window = 10.0
    start = healed_at
    while start + window <= max(repaid, healed_at + window):
        samples = [
            served for at, served in fleet.samples if start <= at <= start + window
        ]
        for organisation in organisations:
            done = samples[-1].get(organisation, 0) - samples[0].get(organisation, 0)
            least = min(least, done / window / (CAPACITY / ORGANISATIONS))
        start += window / 2
    return {
        "gap at heal s": at_heal / CAPACITY,
        "repaid after s": repaid - healed_at,
        "least share": least,
        "gap after repayment s": fleet.compute_largest_gap(
            organisations, repaid + 1, end
        )
        / CAPACITY,
    }


def run_flood(
    policy: str, seed: int, options: Options, load: float, backlogged: int = 0
) -> dict[str, float]:
    """Compares waits with and without one organisation at 50 times its share.

    Args:
        policy: Name of the policy.
        seed: Seed of all random numbers.
        options: Options of the routers.
        load: Load of the other organisations as a fraction of their equal share.
        backlogged: Number of organisations that are always backlogged.

    Returns:
        The figures of the run with the flood, and the 95th percentile of the others'
        time to the first token in both runs.
    """
    p95_waits = []
    result: dict[str, float] = {}
    for share in (0.0, 50.0):
        fleet = build(policy, seed, options, backlogged)
        for name in fleet.organisations[backlogged : ORGANISATIONS - 1]:
            fleet.add_load(name, load)
        if share:
            fleet.add_load(fleet.organisations[-1], share, WARM_UP_SECONDS - 5)
        fleet.run(60.0)
        waits = [
            wait
            for name in fleet.organisations[backlogged : ORGANISATIONS - 1]
            for at, wait in fleet.first_token_waits[name]
            if at >= WARM_UP_SECONDS
        ]
        p95_waits.append(compute_quantile(waits, 0.95))
        if share:
            result = summarise(fleet, [], WARM_UP_SECONDS, 60.0)
    return result | {
        "p95 first token alone ms": p95_waits[0] * 1000,
        "p95 first token flood ms": p95_waits[1] * 1000,
        "ratio": p95_waits[1] / p95_waits[0],
    }


def compute_quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which ``fraction`` of the values lie."""
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)]


def summarise(
    fleet: Fleet, organisations: list[str], start: float, end: float
) -> dict[str, float]:
    """Returns the figures that every scenario has."""
    router_seconds = ROUTERS * (end - WARM_UP_SECONDS)
    policy_seconds = sum(router.policy_seconds for router in fleet.routers.values())
    result = {
        "utilisation %": 100 * fleet.compute_utilisation(),
        "messages/s sent per router": fleet.sent_messages / router_seconds,
        "KB/s in+out per router": 2 * fleet.sent_bytes / router_seconds / 1000,
        "control % of a core": 100 * policy_seconds / (ROUTERS * end),
    }
    if organisations:
        gaps = fleet.compute_gaps(organisations, start, end)
        largest = fleet.compute_largest_gap(organisations, start, end)
        result |= {
            "largest gap": largest,
            "largest gap s": largest / CAPACITY,
            "p99 gap": compute_quantile(gaps, 0.99),
            "p99 gap s": compute_quantile(gaps, 0.99) / CAPACITY,
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
