"""Runs and polls real fleets for the fairness benchmark."""

from __future__ import annotations

import contextlib
import time
from random import Random
from typing import Any

import curio

from sequoiamoor.policies import create_policy
from sequoiamoor.standin.client import Series, fetch_async, read_metrics_async
from sequoiamoor.standin.demo import list_kinds
from sequoiamoor.standin.launcher import Fleet, LaunchError, run_fleet

from .fairness_figures import (
    Poll,
    Run,
    add_load_figures,
    add_poll_figures,
    compute_control_rate,
)
from .fairness_fleet import (
    KILLED_ROUTER,
    ROUTER_ZONES,
    build_plan,
    compute_capacity,
    count_reachable,
    list_cut_zones,
)
from .measures import LoadSample
from .usage import find_cpu_seconds, find_resident_bytes
from .workload import LoadError, LoadProcesses, build_load

READY_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 5.0
START_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 1.0
# Fractions of the measured time at which a fault starts and ends.
FAULT_START_FRACTION = 0.25
FAULT_END_FRACTION = 0.6
REPORT_TIMEOUT_SECONDS = 30.0


def _list_pids(fleet: Fleet) -> dict[str, int]:
    return {name: fleet.processes[name].pid for name in fleet.routers}


def _read_cpu(pids: dict[str, int]) -> dict[str, float]:
    times = {name: find_cpu_seconds(pid) for name, pid in pids.items()}
    return {name: value for name, value in times.items() if value is not None}


def _compute_largest_core_share(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> float | None:
    shares = [(after[name] - before[name]) / seconds for name in before.keys() & after]
    return max(shares, default=None)


async def poll_fleet(fleet: Fleet, *, is_cut: bool = False) -> Poll:
    """Reads routers, engines and platform once.

    Processes that do not answer are left out.

    Args:
        fleet: The fleet.
        is_cut: Whether the partition is in force.
    """
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
        counts.sort(key=lambda count: str(count["replica"]))
        # Includes the requests for the plain service, few of which ever wait.
        waiting = {
            name: sum(metrics.read("sequoiamoor_waiting_requests"))
            for name, metrics in series.items()
        }
        load = LoadSample(
            sum(waiting.values()),
            tuple(count["busy_slot_seconds"] for count in counts),
            tuple(count["elapsed_seconds"] for count in counts),
            tuple(count["slots"] for count in counts),
            tuple(count_reachable(waiting, is_cut=is_cut)),
        )
    return Poll(time.monotonic(), load, series, platform)


async def _poll_until(
    fleet: Fleet, polls: list[Poll], until: float, cut_times: tuple[float, float] | None
) -> None:
    while (now := time.monotonic()) < until:
        is_cut = cut_times is not None and cut_times[0] <= now < cut_times[1]
        polls.append(await poll_fleet(fleet, is_cut=is_cut))
        await curio.sleep(POLL_INTERVAL_SECONDS)


async def _sleep_until(at: float) -> None:
    await curio.sleep(max(0.0, at - time.monotonic()))


async def _partition(fleet: Fleet, run: Run, *, is_cut: bool) -> None:
    statuses = set()
    for address, zone in zip(fleet.routers.values(), ROUTER_ZONES, strict=True):
        cut_zones = list_cut_zones(zone) if is_cut else []
        prefixes = [fleet.zone_prefix(cut_zone) for cut_zone in cut_zones]
        body = {"prefixes": prefixes}
        statuses.add((await fetch_async(address, "POST", "/debug/partition", body))[0])
    if any(status >= 300 for status in statuses):
        run.invalid.append(f"POST /debug/partition gave status {sorted(statuses)}")


async def _inject_faults(
    fleet: Fleet, run: Run, fault_start: float, fault_end: float
) -> None:
    if run.scenario == "partition":
        await _sleep_until(fault_start)
        await _partition(fleet, run, is_cut=True)
        await _sleep_until(fault_end)
        await _partition(fleet, run, is_cut=False)
    elif run.scenario == "platform-out":
        for at, is_out in ((fault_start, True), (fault_end, False)):
            await _sleep_until(at)
            body = {"outage": is_out}
            await fetch_async(fleet.platform, "POST", "/admin/faults", body)
    elif run.scenario == "router-killed":
        await _sleep_until(fault_start)
        fleet.kill(KILLED_ROUTER)


async def _observe_run(
    fleet: Fleet, run: Run, from_time: float, until: float
) -> list[Poll]:
    polls: list[Poll] = []
    seconds = until - from_time
    fault_times = (
        from_time + FAULT_START_FRACTION * seconds,
        from_time + FAULT_END_FRACTION * seconds,
    )
    cut_times = fault_times if run.scenario == "partition" else None
    await _sleep_until(from_time)
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(_poll_until, fleet, polls, until, cut_times)
        await tasks.spawn(_inject_faults, fleet, run, *fault_times)
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
    run.figures["router_core_share_idle"] = _compute_largest_core_share(
        before, after, seconds
    )
    run.figures["control_bytes_per_second_idle"] = compute_control_rate(
        [first, last], "sequoiamoor_control_bytes_total", direction="out"
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
            polls = curio.run(_observe_run, fleet, run, from_time, until)
            after, ended = _read_cpu(pids), time.monotonic()
            memory = [find_resident_bytes(pid) for pid in pids.values()]
            report = load.collect(timeout=REPORT_TIMEOUT_SECONDS)
        finally:
            load.end()
        run.figures["router_core_share"] = _compute_largest_core_share(
            before, after, ended - from_time
        )
        run.figures["router_memory_bytes"] = max(size for size in memory if size)
        for name in fleet.routers:
            status = fleet.processes[name].poll()
            if status is not None and (scenario, name) != (
                "router-killed",
                KILLED_ROUTER,
            ):
                run.invalid.append(
                    f"{name} ended with {status}: {fleet.read_log(name)}"
                )
    add_poll_figures(run, polls)
    add_load_figures(run, report)
