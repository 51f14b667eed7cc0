"""The figures of a run of the fairness benchmark."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sequoiamoor.standin.client import Series
from sequoiamoor.standin.load import create_histogram

from . import measures
from .fairness_fleet import CLASSES, list_partition_sides
from .measures import LoadSample
from .workload import (
    FLOODING_ORGANISATION,
    SATURATED_CORE_FRACTION,
    LoadProcessReport,
    list_large,
    list_organisations,
)

# These policies send each request to a replica at once, so none waits in a router.
QUEUELESS_POLICIES = ("RoundRobinPolicy", "LeastLoadPolicy")


@dataclass(slots=True)
class Run:
    """A run and its figures.

    Attributes:
        policy: Name of the policy.
        scenario: Name of the scenario.
        seed: Seed of the load and the routers.
        seconds: Measured time.
        implementation: Name of the policy's class.
        invalid: Reasons for which the run must not be used.
        notes: Observations that limit what the figures mean.
        figures: The figures by name; None where a figure could not be measured.
        gaps: Gap in units at each sample.
        shares: Fraction of all units that each organisation received.
        refused: Refused requests per error code.
        wrong: Descriptions of wrong answers.
    """

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
    """One poll of the whole fleet.

    Attributes:
        at: Monotonic time in seconds.
        load: Load of routers and engines, or None if an engine did not answer.
        series: Metrics of each router that answered.
        platform: The platform's counters, empty if it did not answer.
    """

    at: float
    load: LoadSample | None
    series: dict[str, Series]
    platform: dict[str, float]


def compute_control_rate(polls: list[Poll], name: str, **labels: str) -> float | None:
    """Returns the largest rate per second of a counter among the routers."""
    first, last = polls[0], polls[-1]
    rates = []
    for router in first.series.keys() & last.series:
        before = first.series[router].read(name, **labels)
        after = last.series[router].read(name, **labels)
        if before and after and last.at > first.at:
            rates.append((sum(after) - sum(before)) / (last.at - first.at))
    return max(rates, default=None)


def add_poll_figures(run: Run, polls: list[Poll]) -> None:
    """Adds the figures that routers, engines and platform report."""
    loads = [poll.load for poll in polls if poll.load is not None]
    for name, only_while_waiting in (
        ("utilisation_waiting", True),
        ("utilisation", False),
    ):
        run.figures[name] = measures.compute_utilisation(
            loads, only_while_waiting=only_while_waiting
        )
    sides = list_partition_sides()
    for name, engines in {**sides, "reachable": sum(sides.values(), [])}.items():
        value = measures.compute_reachable_utilisation(loads, engines)
        run.figures[f"utilisation_{name}"] = value
    run.figures["most_waiting"] = max((load.waiting for load in loads), default=None)
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
    reported_gaps = [
        value
        for poll in polls
        for series in poll.series.values()
        for value in series.read("sequoiamoor_fairness_gap_units", service="lane-talk")
    ]
    run.figures["reported_gap_units"] = max(reported_gaps, default=None)


def add_load_figures(run: Run, report: LoadProcessReport) -> None:
    """Adds the figures that the callers measured."""
    first, last = report.samples[0], report.samples[-1]
    served = {
        name: last.units.get(name, 0) - first.units.get(name, 0)
        for name in list_organisations()
    }
    rate = sum(served.values()) / run.seconds
    run.figures["units_per_second"] = rate
    run.shares = {name: value / sum(served.values()) for name, value in served.items()}
    # Prompt tokens count as service but cost an engine less than generated ones, so
    # the capacity in units is derived from the served units and the utilisation.
    capacity = rate / (run.figures["utilisation"] or 1.0)
    run.figures["capacity_units_per_second"] = capacity
    backlogged = list_large() + (
        [FLOODING_ORGANISATION] if run.scenario == "flood" else []
    )
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
    for name in backlogged if run.implementation not in QUEUELESS_POLICIES else ():
        if min(sample.waiting.get(name, 0) for sample in report.samples) == 0:
            run.notes.append(f"{name} had no waiting request at some sample")
    _add_time_figures(run, report)
    for result in report.results:
        for code, count in result.refused.items():
            run.refused[code] = run.refused.get(code, 0) + count
        run.wrong += [f"{result.organisation}: {text}" for text in result.wrong]
    whole = sum(caller.whole for caller in report.results)
    run.figures["whole_answers"] = whole
    run.figures["broken_answers"] = sum(len(caller.broken) for caller in report.results)
    run.figures["wrong_answers"] = len(run.wrong)
    run.figures["refused_requests"] = sum(run.refused.values())
    run.figures["left_out_arrivals"] = sum(caller.skipped for caller in report.results)
    run.figures["load_core_share"] = max(report.core_shares)
    for share in report.core_shares:
        if share > SATURATED_CORE_FRACTION:
            run.invalid.append(f"a load process used {share:.0%} of a core")
    for name, wait in report.longest_waits.items():
        run.figures[f"{name}_longest_wait_ms_at_end"] = wait * 1000


def _add_time_figures(run: Run, report: LoadProcessReport) -> None:
    for name, target in CLASSES.items():
        histogram_name = "first_token" if "first_token_ms" in target else "complete"
        groups: list[tuple[str, Callable[[str], bool]]] = [
            (name, lambda _: True),
            (
                f"{name}_small",
                lambda organisation: (
                    organisation.startswith("small-")
                    and organisation != FLOODING_ORGANISATION
                ),
            ),
            (f"{name}_large", lambda organisation: organisation.startswith("large-")),
            (
                f"{name}_others",
                lambda organisation: organisation != FLOODING_ORGANISATION,
            ),
        ]
        for label, is_member in groups:
            times = create_histogram()
            for result in report.results:
                if result.class_name == name and is_member(result.organisation):
                    times.add(getattr(result, histogram_name))
            if not times.get_total_count():
                continue
            run.figures[f"{label}_{histogram_name}_count"] = times.get_total_count()
            for percent in (50, 95, 99):
                value = times.get_value_at_percentile(percent)
                run.figures[f"{label}_{histogram_name}_p{percent}_ms"] = value
