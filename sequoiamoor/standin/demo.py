"""Demonstration: runs a bounded load on a small fleet and prints the results."""

from __future__ import annotations

import time
from typing import Any

import curio

from ..types import Address
from .client import MetricsPage, read_metrics_async
from .launcher import Fleet, FleetPlan, LaunchError, UpstreamPlan, run_fleet
from .load import CallerPlan, CallerResult, run_load, summarise

READY_TIMEOUT_SECONDS = 20.0
MAX_PRINTED_FAULTS = 5
SAMPLE_INTERVAL_SECONDS = 0.5

DECLARATION: dict[str, dict[str, dict[str, Any]]] = {
    "organisations": {
        "league-captains": {"title": "League captains"},
        "alley-owners": {"title": "Alley owners"},
        "grant-partners": {"title": "Grant partners"},
    },
    "classes": {
        "chat": {"first_token_ms": 800},
        "summary": {"complete_ms": 60_000},
        "booking": {"complete_ms": 5_000},
    },
    "services": {
        "lane-talk": {"kind": "engine"},
        "lane-desk": {"kind": "plain", "repeatable": False},
    },
}


def build_plan() -> FleetPlan:
    """Returns the fleet of the demonstration, in two availability zones."""
    upstreams = tuple(
        UpstreamPlan(f"talk-{number}", "lane-talk", zone, "engine", 8)
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b"))
    ) + (UpstreamPlan("desk-0", "lane-desk", "zone-b", "service", 4),)
    return FleetPlan(
        zones=("zone-a", "zone-a", "zone-b"),
        upstreams=upstreams,
        declaration=DECLARATION,
    )


def build_callers(fleet: Fleet, *, requests: int) -> list[CallerPlan]:
    """Returns callers with uneven routing: to one router, to all and to the others."""
    routers = tuple(fleet.routers.values())
    plans = []
    for organisation, work_class, reached in (
        ("league-captains", "chat", routers[:1]),
        ("alley-owners", "chat", routers),
        ("grant-partners", "summary", routers[1:] or routers),
    ):
        talk = CallerPlan(
            organisation,
            work_class,
            reached,
            ("lane-talk",),
            concurrency=16,
            requests=requests,
        )
        desk = CallerPlan(
            organisation,
            "booking",
            reached,
            ("lane-desk",),
            concurrency=2,
            requests=max(1, requests // 4),
        )
        plans += [talk, desk]
    return plans


def list_kinds(declaration: dict[str, Any]) -> dict[str, str]:
    """Returns the kind of each declared service."""
    return {name: service["kind"] for name, service in declaration["services"].items()}


def print_results(results: list[CallerResult]) -> None:
    """Prints one line per organisation, then refusals and faulty answers."""
    print(
        f"{'organisation':<18}{'requests':>9}{'whole':>7}{'refused':>8}{'tokens':>8}"
        f"{'share':>7}{'p50 ms':>8}{'p95 ms':>8}"
    )
    for row in summarise(results):
        print(
            f"{row['organisation']:<18}{row['requests']:>9}{row['whole']:>7}"
            f"{row['refused']:>8}{row['tokens']:>8}{row['share']:>7.1%}"
            f"{row['p50_ms']:>8}{row['p95_ms']:>8}"
        )
    for result in results:
        for code, count in result.refused.items():
            print(f"refused: {result.organisation}: {count} times {code}")
        for fault in [*result.wrong, *result.broken][:MAX_PRINTED_FAULTS]:
            print(f"fault: {result.organisation}: {fault}")


async def sample_metrics(
    routers: list[Address], reads: list[list[MetricsPage]]
) -> None:
    """Appends a read of every router's ``/metrics`` to ``reads``, once per interval."""
    while True:
        reads.append([await read_metrics_async(router) for router in routers])
        await curio.sleep(SAMPLE_INTERVAL_SECONDS)


def _format_max(values: list[float], format_spec: str) -> str:
    return format(max(values), format_spec) if values else "n/a"


def describe_metrics(reads: list[list[MetricsPage]], *, seconds: float) -> list[str]:
    """Returns lines on fairness, utilisation and control traffic.

    The gap is the largest one that any router exported at any time. The utilisation is
    the mean over the reads in which requests were waiting.

    Args:
        reads: Reads of ``/metrics`` of all routers, oldest first.
        seconds: Time between the first and the last read.
    """

    def collect(pages: list[MetricsPage], name: str, **labels: str) -> list[float]:
        return [value for page in pages for value in page.read(name, **labels)]

    def collect_all(name: str, **labels: str) -> list[float]:
        return [value for pages in reads for value in collect(pages, name, **labels)]

    waiting_counts = [
        sum(collect(pages, "sequoiamoor_waiting_requests")) for pages in reads
    ]
    first, last = reads[0], reads[-1]
    services = sorted(
        {
            labels["service"]
            for page in last
            for labels, _ in page.samples.get("sequoiamoor_served_units_total", [])
        }
    )
    lines = []
    for service in services:
        units = collect_all("sequoiamoor_fairness_gap_units", service=service)
        gap = collect_all("sequoiamoor_fairness_gap_seconds", service=service)
        utilisations = [
            max(used)
            for pages, count in zip(reads, waiting_counts, strict=True)
            if count
            and (
                used := collect(pages, "sequoiamoor_utilisation_ratio", service=service)
            )
        ]
        mean = [sum(utilisations) / len(utilisations)] if utilisations else []
        served = sum(collect(last, "sequoiamoor_served_units_total", service=service))
        lines.append(
            f"{service}: served {served:.0f} units, largest fairness gap "
            f"{_format_max(units, '.0f')} units "
            f"({_format_max(gap, '.3f')} s of capacity), "
            f"utilisation while requests wait {_format_max(mean, '.1%')}"
        )
    for direction, verb in (("out", "sent"), ("in", "received")):
        rates = []
        for unit in ("bytes", "messages"):
            name = f"sequoiamoor_control_{unit}_total"
            after = collect(last, name, direction=direction)
            growth = sum(after) - sum(collect(first, name, direction=direction))
            rate = [growth / len(last) / seconds] if after and seconds > 0 else []
            rates.append(f"{_format_max(rate, '.1f')} {unit}/s")
        lines.append(f"control traffic {verb} per router: {', '.join(rates)}")
    lines.append(f"most requests waiting: {_format_max(waiting_counts, '.0f')}")
    return lines


async def _run_sampled(
    fleet: Fleet, *, requests: int, seed: int
) -> tuple[list[CallerResult], list[list[MetricsPage]], float]:
    routers = list(fleet.routers.values())
    reads: list[list[MetricsPage]] = []
    started_at = time.monotonic()
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(sample_metrics, routers, reads)
        plans = build_callers(fleet, requests=requests)
        results = await run_load(plans, list_kinds(DECLARATION), seed=seed)
        await tasks.cancel_remaining()
    reads.append([await read_metrics_async(router) for router in routers])
    return results, reads, time.monotonic() - started_at


def run_demo(*, seed: int = 1, requests: int = 60) -> int:
    """Runs the demonstration.

    Args:
        seed: Seed of the load.
        requests: Requests per organisation to the engines.

    Returns:
        0 if every request got its own, complete answer, else 1.
    """
    try:
        with run_fleet(build_plan()) as fleet:
            fleet.wait_ready(timeout=READY_TIMEOUT_SECONDS)
            results, reads, seconds = curio.run(
                lambda: _run_sampled(fleet, requests=requests, seed=seed)
            )
    except LaunchError as err:
        print(err)
        return 1
    print_results(results)
    for line in describe_metrics(reads, seconds=seconds):
        print(line)
    return 0 if all(result.whole == result.requests for result in results) else 1
