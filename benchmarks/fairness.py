"""Fairness, utilisation and cost of whole fleets under bounded loads.

Runs real processes on one machine, one run per policy and scenario, and checks the
goals of section 1.2 and the bound of section 6 of the design. Everything is
measured from outside the routers but for waiting requests and control traffic,
which are read from their ``/metrics``.

    python -m benchmarks.fairness --policy arbitrated --scenario steady
"""

from __future__ import annotations

import contextlib
import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Annotated, Any

import curio
import typer

from sequoiamoor.policies import create_policy
from sequoiamoor.standin.client import Series, fetch_async, read_metrics_async
from sequoiamoor.standin.demo import list_kinds
from sequoiamoor.standin.launcher import (
    Fleet,
    FleetPlan,
    LaunchError,
    UpstreamPlan,
    run_fleet,
)
from sequoiamoor.standin.load import create_histogram

from . import measures
from .measures import Check, LoadSample
from .workload import (
    FLOODING,
    LARGEST_REQUEST_UNITS,
    SAMPLE_INTERVAL_SECONDS,
    SATURATED_CORE_SHARE,
    LoadError,
    LoadProcesses,
    LoadReport,
    build_load,
    list_large,
    list_organisations,
)

POLICIES = ("round-robin", "least-load", "local-fair", "arbitrated")
SCENARIOS = ("steady", "flood", "partition", "platform-out", "router-killed")
ROUTER_ZONES = ("zone-a",) * 3 + ("zone-b",) * 3 + ("zone-c",) * 2
ENGINE_ZONES = ("zone-a",) * 3 + ("zone-b",) * 3 + ("zone-c",) * 4
SERVICE_ZONES = ("zone-a", "zone-b", "zone-c")
CUT_ZONE = "zone-b"
KILLED_ROUTER = "router-7"
ENGINE_SLOTS = 24
TOKEN_INTERVAL_SECONDS = 0.04
READY_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 5.0
START_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 1.0
# Policies that send each request at once, so that none waits in a router.
QUEUELESS = ("RoundRobinPolicy", "LeastLoadPolicy")
# Parts of the measured time at which a fault starts and ends.
FAULT_STARTS = 0.25
FAULT_ENDS = 0.6
REPORT_TIMEOUT_SECONDS = 30.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

CLASSES: dict[str, dict[str, int]] = {
    "chat": {"first_token_ms": 800},
    "summary": {"first_token_ms": 5_000},
    "booking": {"complete_ms": 5_000},
}


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
class _Poll:
    """One poll of the whole fleet."""

    at: float
    load: LoadSample | None
    series: dict[str, Series]
    platform: dict[str, float]


def build_plan(policy: str, *, seed: int) -> FleetPlan:
    """Returns the fleet: 8 routers, 10 engines, 3 plain services."""
    engines = tuple(
        UpstreamPlan(
            f"talk-{number}",
            "lane-talk",
            zone,
            "engine",
            ENGINE_SLOTS,
            (
                "--token-interval",
                str(TOKEN_INTERVAL_SECONDS),
                "--seed",
                str(seed + number),
            ),
        )
        for number, zone in enumerate(ENGINE_ZONES)
    )
    services = tuple(
        UpstreamPlan(f"desk-{number}", "lane-desk", zone, "service", 4)
        for number, zone in enumerate(SERVICE_ZONES)
    )
    declaration = {
        "organisations": {name: {} for name in list_organisations()},
        "classes": CLASSES,
        "services": {
            "lane-talk": {"kind": "engine"},
            "lane-desk": {"kind": "plain", "repeatable": False},
        },
    }
    settings = {
        "policy": policy,
        "fault_injection": True,
        "log_level": "warning",
        "seed": seed,
    }
    return FleetPlan(ROUTER_ZONES, engines + services, declaration, settings)


def compute_capacity() -> float:
    """Returns the tokens per second of all engines."""
    return len(ENGINE_ZONES) * ENGINE_SLOTS / TOKEN_INTERVAL_SECONDS


def read_cpu_seconds(pid: int) -> float | None:
    """Returns the CPU time of a process, or None if it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    values = text.rpartition(")")[2].split()
    if values[0] == "Z":
        return None
    return (int(values[11]) + int(values[12])) / CLOCK_TICKS


def read_memory_bytes(pid: int) -> float | None:
    """Returns the resident memory of a process, or None if it is gone."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return None


def _list_pids(fleet: Fleet) -> dict[str, int]:
    return {name: fleet.processes[name].pid for name in fleet.routers}


def _read_cpu(pids: dict[str, int]) -> dict[str, float]:
    times = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    return {name: value for name, value in times.items() if value is not None}


def _largest_core_share(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> float | None:
    shares = [(after[name] - before[name]) / seconds for name in before.keys() & after]
    return max(shares, default=None)


async def poll_fleet(fleet: Fleet) -> _Poll:
    """Reads routers, engines and platform once; what is gone is left out."""
    series: dict[str, Series] = {}
    counts: list[Any] = []
    platform: dict[str, float] = {}

    async def read_router(name: str) -> None:
        with contextlib.suppress(OSError):
            series[name] = await read_metrics_async(fleet.routers[name])

    async def read_engine(name: str) -> None:
        with contextlib.suppress(OSError):
            counts.append(
                (await fetch_async(fleet.upstreams[name], "GET", "/admin/counts"))[1]
            )

    async def read_platform() -> None:
        with contextlib.suppress(OSError):
            answer = await fetch_async(fleet.platform, "GET", "/admin/counts")
            platform.update(answer[1])

    engines = [name for name in fleet.upstreams if name.startswith("talk-")]
    async with curio.TaskGroup() as tasks:
        for name in fleet.routers:
            await tasks.spawn(read_router, name)
        for name in engines:
            await tasks.spawn(read_engine, name)
        await tasks.spawn(read_platform)
    load = None
    if len(counts) == len(engines):
        counts.sort(key=lambda one: str(one["replica"]))
        waiting = sum(
            sum(one.read("sequoiamoor_waiting_requests")) for one in series.values()
        )
        load = LoadSample(
            waiting,
            tuple(one["busy_slot_seconds"] for one in counts),
            tuple(one["elapsed_seconds"] for one in counts),
            tuple(one["slots"] for one in counts),
        )
    return _Poll(time.monotonic(), load, series, platform)


async def _poll_until(fleet: Fleet, polls: list[_Poll], until: float) -> None:
    while time.monotonic() < until:
        polls.append(await poll_fleet(fleet))
        await curio.sleep(POLL_INTERVAL_SECONDS)


async def _sleep_until(at: float) -> None:
    await curio.sleep(max(0.0, at - time.monotonic()))


def list_cut_zones(zone: str) -> list[str]:
    """Returns the zones that a router of ``zone`` cannot reach in the partition."""
    if zone != CUT_ZONE:
        return [CUT_ZONE]
    return sorted(set(ROUTER_ZONES) - {CUT_ZONE})


async def _partition(fleet: Fleet, run: Run, *, is_cut: bool) -> None:
    statuses = set()
    for address, zone in zip(fleet.routers.values(), ROUTER_ZONES, strict=True):
        cut = list_cut_zones(zone) if is_cut else []
        prefixes = [fleet.zone_prefix(one) for one in cut]
        body = {"prefixes": prefixes}
        statuses.add((await fetch_async(address, "POST", "/debug/partition", body))[0])
    if any(status >= 300 for status in statuses):
        run.invalid.append(f"POST /debug/partition gave status {sorted(statuses)}")


async def _bring_faults(fleet: Fleet, run: Run, starts: float, ends: float) -> None:
    if run.scenario == "partition":
        await _sleep_until(starts)
        await _partition(fleet, run, is_cut=True)
        await _sleep_until(ends)
        await _partition(fleet, run, is_cut=False)
    elif run.scenario == "platform-out":
        for at, is_out in ((starts, True), (ends, False)):
            await _sleep_until(at)
            body = {"outage": is_out}
            await fetch_async(fleet.platform, "POST", "/admin/faults", body)
    elif run.scenario == "router-killed":
        await _sleep_until(starts)
        fleet.kill(KILLED_ROUTER)


async def _watch(fleet: Fleet, run: Run, from_time: float, until: float) -> list[_Poll]:
    polls: list[_Poll] = []
    length = until - from_time
    await _sleep_until(from_time)
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(_poll_until, fleet, polls, until)
        await tasks.spawn(
            _bring_faults,
            fleet,
            run,
            from_time + FAULT_STARTS * length,
            from_time + FAULT_ENDS * length,
        )
    for error in tasks.exceptions:
        if error is not None:
            raise error
    return polls


def _measure_idle(fleet: Fleet, run: Run) -> None:
    pids = _list_pids(fleet)
    time.sleep(SETTLE_SECONDS)
    first = curio.run(poll_fleet, fleet)
    before, began = _read_cpu(pids), time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - began
    after = _read_cpu(pids)
    last = curio.run(poll_fleet, fleet)
    run.figures["router_core_share_idle"] = _largest_core_share(before, after, seconds)
    run.figures["control_bytes_per_second_idle"] = _control_rate(
        [first, last], "sequoiamoor_control_bytes_total", "out"
    )


def run_once(
    policy: str, scenario: str, *, seconds: float, warm_up: float, seed: int
) -> Run:
    """Runs one policy in one scenario; a run that fails is invalid."""
    implementation = type(create_policy(policy, rng=Random(seed))).__name__
    run = Run(policy, scenario, seed, seconds, implementation)
    try:
        _measure(run, warm_up=warm_up)
    except (LaunchError, LoadError, OSError) as err:
        run.invalid.append(repr(err))
    return run


def _measure(run: Run, *, warm_up: float) -> None:
    policy, scenario, seed = run.policy, run.scenario, run.seed
    plan = build_plan(policy, seed=seed)
    with run_fleet(plan) as fleet:
        fleet.wait_ready(timeout=READY_TIMEOUT_SECONDS)
        _measure_idle(fleet, run)
        pids = _list_pids(fleet)
        from_time = time.monotonic() + START_SECONDS + warm_up
        until = from_time + run.seconds
        groups = build_load(
            tuple(fleet.routers.values()),
            capacity=compute_capacity(),
            is_flooded=scenario == "flood",
        )
        load = LoadProcesses(
            groups,
            list_kinds(plan.declaration),
            seed=seed,
            from_time=from_time,
            until=until,
        )
        try:
            time.sleep(max(0.0, from_time - time.monotonic()))
            before = _read_cpu(pids)
            polls = curio.run(_watch, fleet, run, from_time, until)
            after, ended = _read_cpu(pids), time.monotonic()
            memory = [read_memory_bytes(pid) for pid in pids.values()]
            report = load.collect(timeout=REPORT_TIMEOUT_SECONDS)
        finally:
            load.end()
        run.figures["router_core_share"] = _largest_core_share(
            before, after, ended - from_time
        )
        run.figures["router_memory_bytes"] = max(one for one in memory if one)
        for name in fleet.routers:
            status = fleet.processes[name].poll()
            if status is not None and (scenario, name) != (
                "router-killed",
                KILLED_ROUTER,
            ):
                run.invalid.append(
                    f"{name} ended with {status}: {fleet.read_log(name)}"
                )
    _take_polls(run, polls)
    _take_load(run, report)


def _control_rate(polls: list[_Poll], name: str, direction: str) -> float | None:
    """Returns the largest growth per second of a router's counter."""
    first, last = polls[0], polls[-1]
    rates = []
    for router in first.series.keys() & last.series:
        before = first.series[router].read(name, direction=direction)
        after = last.series[router].read(name, direction=direction)
        if before and after and last.at > first.at:
            rates.append((sum(after) - sum(before)) / (last.at - first.at))
    return max(rates, default=None)


def _take_polls(run: Run, polls: list[_Poll]) -> None:
    loads = [poll.load for poll in polls if poll.load is not None]
    for name, only in (("utilisation_waiting", True), ("utilisation", False)):
        run.figures[name] = measures.compute_utilisation(loads, only_while_waiting=only)
    run.figures["most_waiting"] = max((one.waiting for one in loads), default=None)
    for what in ("bytes", "messages"):
        for direction, verb in (("out", "sent"), ("in", "received")):
            run.figures[f"control_{what}_{verb}_per_second"] = _control_rate(
                polls, f"sequoiamoor_control_{what}_total", direction
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


def _take_load(run: Run, report: LoadReport) -> None:
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


def judge(runs: list[Run], *, policy: str) -> list[Check]:
    """Returns the checks of section 1.2 and of the bound of section 6."""
    found = {run.scenario: run for run in runs if run.policy == policy}
    local = {run.scenario: run for run in runs if run.policy == "local-fair"}

    def read(source: dict[str, Run], scenario: str, name: str) -> float | None:
        run = source.get(scenario)
        return None if run is None or run.invalid else run.figures.get(name)

    gap = read(found, "steady", "gap_units")
    capacity = read(found, "steady", "capacity_units_per_second") or compute_capacity()
    goal = capacity * measures.GAP_GOAL_SECONDS + LARGEST_REQUEST_UNITS
    checks = [measures.check_at_most("gap in units, steady", gap, goal)]
    other = read(local, "steady", "gap_units")
    factor = other / gap if other is not None and gap else None
    checks.append(
        measures.check_at_least(
            "gap of local-fair over gap, steady", factor, measures.GAP_GOAL_FACTOR
        )
    )
    for scenario in SCENARIOS:
        if scenario not in found:
            continue
        if scenario != "partition":
            value = read(found, scenario, "gap_units")
            bound = measures.compute_bound(
                capacity=read(found, scenario, "capacity_units_per_second")
                or compute_capacity(),
                largest_request=LARGEST_REQUEST_UNITS,
            )
            name = f"bound of section 6 in units, {scenario}"
            checks.append(measures.check_at_most(name, value, bound))
        checks += _judge_costs(scenario, partial(read, found, scenario))
    calm = read(found, "steady", "chat_others_first_token_p95_ms")
    flooded = read(found, "flood", "chat_others_first_token_p95_ms")
    ratio = flooded / calm if flooded is not None and calm else None
    checks.append(
        measures.check_at_most(
            "p95 of others, flood over steady", ratio, measures.FLOOD_GOAL_RATIO
        )
    )
    return checks


def _judge_costs(scenario: str, read: Callable[[str], float | None]) -> list[Check]:
    reads = read("platform_reads_per_second")
    writes = read("platform_writes_per_second")
    total = None if reads is None or writes is None else reads + writes
    rows: list[Check] = []
    if scenario == "steady":
        rows += [
            measures.check_at_least(
                "utilisation while work waits, steady",
                read("utilisation_waiting"),
                measures.UTILISATION_GOAL,
            ),
            measures.check_at_most(
                "chat p95 of small organisations in ms, steady",
                read("chat_small_first_token_p95_ms"),
                float(CLASSES["chat"]["first_token_ms"]),
            ),
            measures.check_at_most(
                "share of a core without load",
                read("router_core_share_idle"),
                measures.CONTROL_GOAL_CORE,
            ),
        ]
    for name, value, limit in (
        (
            "control bytes/s sent per router",
            read("control_bytes_sent_per_second"),
            measures.CONTROL_GOAL_BYTES,
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


_ROWS: tuple[tuple[str, str, float, str], ...] = (
    ("gap, largest, units", "gap_units", 1, ".0f"),
    ("gap, largest, s of capacity", "gap_seconds", 1, ".2f"),
    ("gap, p99, units", "gap_p99_units", 1, ".0f"),
    ("gap, p99, s of capacity", "gap_p99_seconds", 1, ".2f"),
    ("gap that routers report, units", "reported_gap_units", 1, ".0f"),
    ("units/s received", "units_per_second", 1, ".0f"),
    ("capacity, units/s", "capacity_units_per_second", 1, ".0f"),
    ("utilisation while work waits, %", "utilisation_waiting", 100, ".1f"),
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


def _format(value: float | None, factor: float, form: str) -> str:
    return "n/a" if value is None else format(value * factor, form)


def print_runs(runs: list[Run]) -> None:
    """Prints a table per scenario with the policies side by side."""
    for scenario in dict.fromkeys(run.scenario for run in runs):
        columns = [run for run in runs if run.scenario == scenario]
        print(f"\n{scenario:<34}" + "".join(f"{run.policy:>14}" for run in columns))
        for label, name, factor, form in _ROWS:
            cells = [_format(run.figures.get(name), factor, form) for run in columns]
            print(f"{label:<34}" + "".join(f"{cell:>14}" for cell in cells))
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


def main(
    policy: Annotated[
        list[str] | None, typer.Option(help=f"Policies, of {', '.join(POLICIES)}.")
    ] = None,
    scenario: Annotated[
        list[str] | None, typer.Option(help=f"Scenarios, of {', '.join(SCENARIOS)}.")
    ] = None,
    duration: Annotated[
        float, typer.Option(min=2.0, help="Measured seconds of each run.")
    ] = 20.0,
    warm_up: Annotated[float, typer.Option(min=0.0, help="Seconds before.")] = 8.0,
    seed: Annotated[int, typer.Option(help="Seed of the load and the routers.")] = 1,
    judged: Annotated[
        str, typer.Option(help="Policy that the goals are checked with.")
    ] = "arbitrated",
    folder: Annotated[Path, typer.Option(help="Where the JSON goes.")] = Path(
        "results"
    ),
) -> None:
    """Measures policies in scenarios; exits with 1 if a run is invalid or wrong."""
    policies, scenarios = policy or list(POLICIES), scenario or list(SCENARIOS)
    for values, known in ((policies, POLICIES), (scenarios, SCENARIOS)):
        for value in values:
            if value not in known:
                raise typer.BadParameter(f"{value!r}; use one of {', '.join(known)}")
    runs: list[Run] = []
    for one in scenarios:
        for name in policies:
            print(f"running {one} with {name}", file=sys.stderr, flush=True)
            runs.append(
                run_once(name, one, seconds=duration, warm_up=warm_up, seed=seed)
            )
    checks = judge(runs, policy=judged)
    print_runs(runs)
    for name in policies:
        implementation = next(run.implementation for run in runs if run.policy == name)
        print(f"implementation of {name}: {implementation}")
    print_checks(checks, policy=judged)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"fairness-{time.strftime('%Y%m%d-%H%M%S')}.json"
    document = {
        "sample_interval_seconds": SAMPLE_INTERVAL_SECONDS,
        "capacity_tokens_per_second": compute_capacity(),
        "largest_request_units": LARGEST_REQUEST_UNITS,
        "judged": judged,
        "runs": [asdict(run) for run in runs],
        "checks": [asdict(check) for check in checks],
    }
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
    print(f"written to {path}")
    if any(run.invalid or run.wrong for run in runs):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
