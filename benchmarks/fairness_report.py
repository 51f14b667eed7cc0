"""The checks of the fairness benchmark, and the tables that it prints."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from . import measures
from .fairness_figures import Run
from .fairness_fleet import (
    CLASSES,
    ENGINE_SLOTS,
    ENGINE_ZONES,
    ROUTER_ZONES,
    SCENARIOS,
    compute_capacity,
)
from .measures import Check
from .workload import LARGEST_REQUEST_UNITS, list_large


def check_goals(runs: list[Run], *, policy: str) -> list[Check]:
    """Checks the goals of section 1.2 and the bound of section 6 of the design.

    Args:
        runs: All runs; invalid ones are not used.
        policy: Policy that the goals are checked with.
    """
    checked_runs = {run.scenario: run for run in runs if run.policy == policy}
    local_fair_runs = {run.scenario: run for run in runs if run.policy == "local-fair"}

    def read(source: dict[str, Run], scenario: str, name: str) -> float | None:
        run = source.get(scenario)
        return None if run is None or run.invalid else run.figures.get(name)

    gap = read(checked_runs, "steady", "gap_units")
    capacity = (
        read(checked_runs, "steady", "capacity_units_per_second") or compute_capacity()
    )
    goal = capacity * measures.GAP_GOAL_SECONDS + LARGEST_REQUEST_UNITS
    checks = [measures.check_at_most("gap in units, steady", gap, goal)]
    local_fair_gap = read(local_fair_runs, "steady", "gap_units")
    gap_ratio = local_fair_gap / gap if local_fair_gap is not None and gap else None
    checks.append(
        measures.check_at_least(
            "gap of local-fair over gap, steady", gap_ratio, measures.GAP_GOAL_FACTOR
        )
    )
    for scenario in SCENARIOS:
        if scenario not in checked_runs:
            continue
        if scenario != "partition":
            value = read(checked_runs, scenario, "gap_units")
            rate = read(checked_runs, scenario, "capacity_units_per_second")
            bound = _compute_bound(scenario, rate or compute_capacity())
            name = f"bound of section 6 in units, {scenario}"
            checks.append(measures.check_at_most(name, value, bound))
        checks += _check_costs(scenario, partial(read, checked_runs, scenario))
    steady_p95_ms = read(checked_runs, "steady", "chat_others_first_token_p95_ms")
    flood_p95_ms = read(checked_runs, "flood", "chat_others_first_token_p95_ms")
    ratio = (
        flood_p95_ms / steady_p95_ms
        if flood_p95_ms is not None and steady_p95_ms
        else None
    )
    checks.append(
        measures.check_at_most(
            "p95 of others, flood over steady", ratio, measures.FLOOD_GOAL_RATIO
        )
    )
    return checks


def _compute_bound(scenario: str, capacity: float) -> float:
    bound = measures.compute_bound(
        capacity=capacity, largest_request=LARGEST_REQUEST_UNITS
    )
    if scenario == "router-killed":
        bound += measures.compute_failure_term(
            capacity=capacity,
            routers=len(ROUTER_ZONES),
            slots=len(ENGINE_ZONES) * ENGINE_SLOTS,
            backlogged=len(list_large()),
        )
    return bound


def _check_costs(scenario: str, read: Callable[[str], float | None]) -> list[Check]:
    reads = read("platform_reads_per_second")
    writes = read("platform_writes_per_second")
    total = None if reads is None or writes is None else reads + writes
    rows: list[Check] = [
        measures.check_at_least(
            f"utilisation while work waits in reach, {scenario}",
            read("utilisation_reachable"),
            measures.UTILISATION_GOAL_FRACTION,
        )
    ]
    if scenario == "steady":
        rows += [
            measures.check_at_least(
                "utilisation while work waits, steady",
                read("utilisation_waiting"),
                measures.UTILISATION_GOAL_FRACTION,
            ),
            measures.check_at_most(
                "chat p95 of small organisations in ms, steady",
                read("chat_small_first_token_p95_ms"),
                float(CLASSES["chat"]["first_token_ms"]),
            ),
            measures.check_at_most(
                "share of a core without load",
                read("router_core_share_idle"),
                measures.CONTROL_GOAL_CORE_FRACTION,
            ),
        ]
    for name, value, limit in (
        (
            "control bytes/s sent per router",
            read("control_bytes_sent_per_second"),
            measures.CONTROL_GOAL_BYTES_PER_SECOND,
        ),
        (
            "control share of a core",
            read("control_core_share"),
            measures.CONTROL_GOAL_CORE_FRACTION,
        ),
        (
            "memory of a router in bytes",
            read("router_memory_bytes"),
            float(measures.MEMORY_GOAL_BYTES),
        ),
        (
            "platform reads and writes per second",
            total,
            measures.PLATFORM_GOAL_PER_SECOND,
        ),
        ("wrong answers", read("wrong_answers"), 0.0),
    ):
        rows.append(measures.check_at_most(f"{name}, {scenario}", value, limit))
    return rows


_TABLE_ROWS: tuple[tuple[str, str, float, str], ...] = (
    ("gap, largest, units", "gap_units", 1, ".0f"),
    ("gap, largest, s of capacity", "gap_seconds", 1, ".2f"),
    ("gap, p99, units", "gap_p99_units", 1, ".0f"),
    ("gap, p99, s of capacity", "gap_p99_seconds", 1, ".2f"),
    ("gap that routers report, units", "reported_gap_units", 1, ".0f"),
    ("units/s received", "units_per_second", 1, ".0f"),
    ("capacity, units/s", "capacity_units_per_second", 1, ".0f"),
    ("utilisation while work waits, %", "utilisation_waiting", 100, ".1f"),
    ("the same, work that reaches them, %", "utilisation_reachable", 100, ".1f"),
    ("the same, zone that is cut, %", "utilisation_inside", 100, ".1f"),
    ("the same, other zones, %", "utilisation_outside", 100, ".1f"),
    ("utilisation, %", "utilisation", 100, ".1f"),
    ("most waiting requests", "most_waiting", 1, ".0f"),
    ("chat p50, ms (target 800)", "chat_first_token_p50_ms", 1, ".0f"),
    ("chat p95, ms (target 800)", "chat_first_token_p95_ms", 1, ".0f"),
    ("chat p95 without the flood, ms", "chat_others_first_token_p95_ms", 1, ".0f"),
    ("chat p95 of small, ms", "chat_small_first_token_p95_ms", 1, ".0f"),
    ("summary p95, ms (target 5000)", "summary_first_token_p95_ms", 1, ".0f"),
    ("booking p95, ms (target 5000)", "booking_complete_p95_ms", 1, ".0f"),
    ("control bytes/s sent, router", "control_bytes_sent_per_second", 1, ".0f"),
    ("control messages/s sent, router", "control_messages_sent_per_second", 1, ".1f"),
    ("control CPU, % of a core", "control_core_share", 100, ".2f"),
    ("router CPU, % of a core", "router_core_share", 100, ".1f"),
    ("router CPU without load, %", "router_core_share_idle", 100, ".1f"),
    ("router memory, MB", "router_memory_bytes", 1e-6, ".0f"),
    ("platform reads/s", "platform_reads_per_second", 1, ".1f"),
    ("platform writes/s", "platform_writes_per_second", 1, ".1f"),
    ("whole answers", "whole_answers", 1, ".0f"),
    ("refused requests", "refused_requests", 1, ".0f"),
    ("arrivals left out", "left_out_arrivals", 1, ".0f"),
    ("broken answers", "broken_answers", 1, ".0f"),
    ("wrong answers", "wrong_answers", 1, ".0f"),
    ("load process CPU, %", "load_core_share", 100, ".0f"),
)


def _format(value: float | None, factor: float, format_spec: str) -> str:
    return "n/a" if value is None else format(value * factor, format_spec)


def print_runs(runs: list[Run]) -> None:
    """Prints a table per scenario with the policies side by side."""
    for scenario in dict.fromkeys(run.scenario for run in runs):
        columns = [run for run in runs if run.scenario == scenario]
        print(f"\n{scenario:<38}" + "".join(f"{run.policy:>14}" for run in columns))
        for label, name, factor, format_spec in _TABLE_ROWS:
            cells = [
                _format(run.figures.get(name), factor, format_spec) for run in columns
            ]
            print(f"{label:<38}" + "".join(f"{cell:>14}" for cell in cells))
        for run in columns:
            if run.refused:
                print(f"refused, {run.policy}: {run.refused}")
            for text in [*run.notes, *run.wrong[:5]]:
                print(f"note, {run.policy}: {text}")
            for text in run.invalid:
                print(f"INVALID, {run.policy}: {text}")


def print_checks(checks: list[Check], *, policy: str) -> None:
    """Prints whether each goal was met."""
    print(f"\ngoals, measured with {policy}")
    words = {True: "met", False: "not met", None: "not measured"}
    for check in checks:
        value = "n/a" if check.value is None else f"{check.value:.4g}"
        print(
            f"{check.name:<52}{value:>10} (limit {check.limit:.4g}): "
            f"{words[check.is_met]}"
        )
