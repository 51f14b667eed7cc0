"""The figures of a run of the fairness benchmark."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sequoiamoor.standin.client import MetricsPage
from sequoiamoor.standin.load import create_histogram

from . import measures
from .fairness_fleet import CLASSES, list_sides
from .measures import LoadSample
from .workload import (
    FLOODING,
    SATURATED_CORE_SHARE,
    LoadReport,
    list_large,
    list_organisations,
)

# Policies that send each request at once, so that none waits in a router.
QUEUELESS = ("RoundRobinPolicy", "LeastLoadPolicy")


@dataclass(slots=True)
class Run:
    """The figures of one run; None where a figure could not be measured."""

    policy: str
    scenario: str
    seed: int
    seconds: float
    implementation: str
    invalid: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    figures: dict[str, float | None] = field(default_factory=dict)
    gaps: list[float] = field(default_factory=list)
    shares: dict[str, float] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Poll:
    """One poll of the whole fleet."""

    at: float
    load: LoadSample | None
    series: dict[str, MetricsPage]
    platform: dict[str, float]


def compute_control_rate(polls: list[Poll], name: str, **labels: str) -> float | None:
    """Returns the largest growth per second of a router's counter."""
    first, last = polls[0], polls[-1]
    rates = []
    for router in first.series.keys() & last.series:
        before = first.series[router].read(name, **labels)
        after = last.series[router].read(name, **labels)
        if before and after and last.at > first.at:
            rates.append((sum(after) - sum(before)) / (last.at - first.at))
    return max(rates, default=None)


def take_polls(run: Run, polls: list[Poll]) -> None:
    """Adds the figures that routers, engines and platform report."""
    loads = [poll.load for poll in polls if poll.load is not None]
    for name, only in (("utilisation_waiting", True), ("utilisation", False)):
        run.figures[name] = measures.compute_utilisation(loads, only_while_waiting=only)
    sides = list_sides()
    for name, engines in {**sides, "reachable": sum(sides.values(), [])}.items():
        value = measures.compute_reachable_utilisation(loads, engines)
        run.figures[f"utilisation_{name}"] = value
    run.figures["most_waiting"] = max((one.waiting for one in loads), default=None)
    for what in ("bytes", "messages"):
        for direction, verb in (("out", "sent"), ("in", "received")):
            run.figures[f"control_{what}_{verb}_per_second"] = compute_control_rate(
                polls, f"sequoiamoor_control_{what}_total", direction=direction
            )
    run.figures["control_core_share"] = compute_control_rate(
        polls, "sequoiamoor_control_cpu_seconds_total"
    )
    first, last = polls[0], polls[-1]
    for what in ("reads", "writes"):
        growth = last.platform[what] - first.platform[what]
        run.figures[f"platform_{what}_per_second"] = growth / (last.at - first.at)
    own_gap = [
        value
        for poll in polls
        for one in poll.series.values()
        for value in one.read("sequoiamoor_fairness_gap_units", service="lane-talk")
    ]
    run.figures["reported_gap_units"] = max(own_gap, default=None)


def take_load(run: Run, report: LoadReport) -> None:
    """Adds the figures that the callers measured."""
    first, last = report.samples[0], report.samples[-1]
    served = {
        name: last.units.get(name, 0) - first.units.get(name, 0)
        for name in list_organisations()
    }
    rate = sum(served.values()) / run.seconds
    run.figures["units_per_second"] = rate
    run.shares = {name: value / sum(served.values()) for name, value in served.items()}
    # Prompt tokens count as service too, but cost an engine less than generated
    # ones, so the capacity in units follows from what was served.
    capacity = rate / (run.figures["utilisation"] or 1.0)
    run.figures["capacity_units_per_second"] = capacity
    backlogged = list_large() + ([FLOODING] if run.scenario == "flood" else [])
    series = {
        name: [float(sample.units.get(name, 0)) for sample in report.samples]
        for name in backlogged
    }
    run.gaps = measures.compute_gaps(series)
    largest = max(run.gaps)
    p99 = measures.compute_percentile(run.gaps, 99)
    assert p99 is not None
    run.figures["gap_units"] = largest
    run.figures["gap_seconds"] = largest / capacity
    run.figures["gap_p99_units"] = p99
    run.figures["gap_p99_seconds"] = p99 / capacity
    for name in backlogged if run.implementation not in QUEUELESS else ():
        if min(sample.waiting.get(name, 0) for sample in report.samples) == 0:
            run.notes.append(f"{name} had no waiting request at some sample")
    _take_times(run, report)
    for result in report.results:
        for code, count in result.refused.items():
            run.refused[code] = run.refused.get(code, 0) + count
        run.wrong += [f"{result.organisation}: {text}" for text in result.wrong]
    whole = sum(one.whole for one in report.results)
    run.figures["whole_answers"] = whole
    run.figures["broken_answers"] = sum(len(one.broken) for one in report.results)
    run.figures["wrong_answers"] = len(run.wrong)
    run.figures["refused_requests"] = sum(run.refused.values())
    run.figures["left_out_arrivals"] = sum(one.skipped for one in report.results)
    run.figures["load_core_share"] = max(report.core_shares)
    for share in report.core_shares:
        if share > SATURATED_CORE_SHARE:
            run.invalid.append(f"a load process used {share:.0%} of a core")
    for name, wait in report.longest_waits.items():
        run.figures[f"{name}_longest_wait_ms_at_end"] = wait * 1000


def _take_times(run: Run, report: LoadReport) -> None:
    for name, target in CLASSES.items():
        kind = "first_token" if "first_token_ms" in target else "complete"
        groups: list[tuple[str, Callable[[str], bool]]] = [
            (name, lambda _: True),
            (f"{name}_small", lambda one: one.startswith("small-") and one != FLOODING),
            (f"{name}_large", lambda one: one.startswith("large-")),
            (f"{name}_others", lambda one: one != FLOODING),
        ]
        for label, is_member in groups:
            times = create_histogram()
            for result in report.results:
                if result.class_name == name and is_member(result.organisation):
                    times.add(getattr(result, kind))
            if not times.get_total_count():
                continue
            run.figures[f"{label}_{kind}_count"] = times.get_total_count()
            for percent in (50, 95, 99):
                value = times.get_value_at_percentile(percent)
                run.figures[f"{label}_{kind}_p{percent}_ms"] = value
