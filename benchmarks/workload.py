"""The load of the fairness benchmark, and the processes that generate it."""

from __future__ import annotations

import math
import multiprocessing
import resource
import signal
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import curio

from sequoiamoor.standin.load import (
    Caller,
    CallerPlan,
    CallerResult,
    create_histogram,
    run_together,
)
from sequoiamoor.types import Address

SAMPLE_INTERVAL_SECONDS = 0.2
# Above this fraction of a core, the load generator itself delays requests.
SATURATED_CORE_FRACTION = 0.85
HINT_ERROR_FACTOR = 4.0
# Demand as multiples of an organisation's equal share of the capacity.
FLOOD_DEMAND_FACTOR = 50.0
SMALL_DEMAND_FACTOR = 0.4
LARGEST_ANSWER_TOKENS = 1_000
LARGE_PROMPT_TOKENS = 200
LARGEST_REQUEST_UNITS = LARGE_PROMPT_TOKENS + LARGEST_ANSWER_TOKENS
# Over 300 per router, so that the flood also fills queues (limit 200 by default).
FLOOD_CONNECTIONS = 2_500
# Indexes of the routers that each large organisation uses (None means all), and how
# many chat requests it has under way. The numbers differ, so that a policy that shares
# capacity by requests and not by organisations shows a gap.
LARGE_ORGANISATION_LOADS: tuple[tuple[tuple[int, ...] | None, int], ...] = (
    ((0,), 100),
    ((0, 1), 60),
    ((3, 4, 5), 160),
    (None, 240),
)
SMALL_ORGANISATIONS = 12
FLOODING_ORGANISATION = f"small-{SMALL_ORGANISATIONS - 1}"


def list_large() -> list[str]:
    """Returns the organisations that are backlogged throughout."""
    return [f"large-{number}" for number in range(len(LARGE_ORGANISATION_LOADS))]


def list_organisations() -> list[str]:
    """Returns all organisations."""
    small = [f"small-{number}" for number in range(SMALL_ORGANISATIONS)]
    return list_large() + small


def _compute_mean_units(plan: CallerPlan) -> float:
    # The mean of the log-normal distribution of answers, before they are limited.
    return plan.prompt_tokens + plan.median_tokens * math.exp(plan.spread**2 / 2)


def build_load(
    routers: Sequence[Address], *, capacity: float, is_flooded: bool
) -> list[list[CallerPlan]]:
    """Returns the plans of all organisations, one list per load process.

    Large organisations always have more requests under way than their share of the
    slots; small ones ask for less than their share, at random times.

    Args:
        routers: Routers in the order of their zones.
        capacity: Tokens per second of all engines.
        is_flooded: Whether one small organisation floods the fleet.
    """
    all_routers = tuple(routers)
    share = capacity / len(list_organisations())
    large: list[list[CallerPlan]] = []
    for name, (router_indexes, callers) in zip(
        list_large(), LARGE_ORGANISATION_LOADS, strict=True
    ):
        entry_routers = (
            all_routers
            if router_indexes is None
            else tuple(routers[number] for number in router_indexes)
        )
        chat = CallerPlan(
            name,
            "chat",
            entry_routers,
            ("lane-talk",),
            concurrency=callers,
            prompt_tokens=32,
            median_tokens=60,
            spread=1.0,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR_FACTOR,
        )
        summary = CallerPlan(
            name,
            "summary",
            entry_routers,
            ("lane-talk",),
            concurrency=20,
            prompt_tokens=LARGE_PROMPT_TOKENS,
            median_tokens=200,
            spread=0.8,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR_FACTOR,
        )
        booking = CallerPlan(
            name, "booking", entry_routers, ("lane-desk",), concurrency=20, rate=0.25
        )
        large.append([chat, summary, booking])
    small: list[CallerPlan] = []
    flood: list[CallerPlan] = []
    for number in range(SMALL_ORGANISATIONS):
        name = f"small-{number}"
        # Router 7 is killed in one scenario, so no organisation uses it alone.
        entry_routers = all_routers if number % 2 else (routers[number % 7],)
        is_flooding = is_flooded and name == FLOODING_ORGANISATION
        plan = CallerPlan(
            name,
            "chat",
            entry_routers,
            ("lane-talk",),
            concurrency=FLOOD_CONNECTIONS if is_flooding else 400,
            prompt_tokens=32,
            median_tokens=40,
            spread=1.0,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR_FACTOR,
            rate=1.0,
        )
        demand = FLOOD_DEMAND_FACTOR if is_flooding else SMALL_DEMAND_FACTOR
        rate = demand * share / _compute_mean_units(plan)
        (flood if is_flooding else small).append(replace(plan, rate=rate))
    groups = [large[0] + large[3], large[1] + large[2], small]
    return groups + ([flood] if flood else [])


@dataclass(slots=True)
class Sample:
    """Units received and requests without a first token, per organisation."""

    units: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LoadProcessReport:
    """Observations of one load process, or of all, during the measured time.

    Attributes:
        results: Result of each caller.
        samples: One sample per interval, from the start of the measured time.
        core_shares: CPU seconds per second of each load process.
        longest_waits: Seconds that the oldest request had waited at the end, per class.
    """

    results: list[CallerResult] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    core_shares: list[float] = field(default_factory=list)
    longest_waits: dict[str, float] = field(default_factory=dict)


def _read_cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _record_samples(
    callers: list[Caller], report: LoadProcessReport, *, from_time: float, until: float
) -> None:
    await curio.sleep(max(0.0, from_time - time.monotonic()))
    for caller in callers:
        caller.result.first_token.reset()
        caller.result.complete.reset()
    cpu = _read_cpu_seconds()
    count = round((until - from_time) / SAMPLE_INTERVAL_SECONDS)
    for number in range(count + 1):
        due = from_time + number * SAMPLE_INTERVAL_SECONDS
        await curio.sleep(max(0.0, due - time.monotonic()))
        units: dict[str, int] = defaultdict(int)
        waiting: dict[str, int] = defaultdict(int)
        for caller in callers:
            units[caller.result.organisation] += caller.result.units
            waiting[caller.result.organisation] += caller.waiting
        report.samples.append(Sample(dict(units), dict(waiting)))
    report.core_shares.append(
        (_read_cpu_seconds() - cpu) / (time.monotonic() - from_time)
    )


def _run_load_process(
    sender: Any,
    plans: list[CallerPlan],
    service_kinds: dict[str, str],
    seed: int,
    from_time: float,
    until: float,
) -> None:
    # Ctrl-C reaches the whole process group; the benchmark ends this process itself.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    report = LoadProcessReport()

    async def run() -> None:
        callers = [Caller(plan, service_kinds, seed=seed) for plan in plans]
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(run_together, [caller.run for caller in callers])
            await tasks.spawn(
                lambda: _record_samples(
                    callers, report, from_time=from_time, until=until
                )
            )
        # Raises the error of the task that ended first.
        tasks.result  # noqa: B018
        report.results = [caller.result for caller in callers]
        for caller in callers:
            name = caller.result.class_name
            longest = max(report.longest_waits.get(name, 0.0), caller.longest_wait)
            report.longest_waits[name] = longest

    try:
        curio.run(run)
        # Histograms cannot be pickled, so they are sent in their own encoding.
        for result in report.results:
            result.first_token = result.first_token.encode()
            result.complete = result.complete.encode()
        sender.send(report)
    except Exception as err:
        sender.send(err)
        raise


def _decode_histogram(encoded: Any) -> Any:
    histogram = create_histogram()
    histogram.decode_and_add(encoded)
    return histogram


class LoadError(Exception):
    """A load process ended without a report."""


class LoadProcesses:
    """The processes that generate the load of one run."""

    def __init__(
        self,
        groups: list[list[CallerPlan]],
        service_kinds: dict[str, str],
        *,
        seed: int,
        from_time: float,
        until: float,
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self._until = until
        self._processes: list[tuple[Any, Any]] = []
        for plans in groups:
            receiver, sender = context.Pipe(duplex=False)
            process = context.Process(
                target=_run_load_process,
                args=(sender, plans, service_kinds, seed, from_time, until),
                daemon=True,
            )
            process.start()
            sender.close()
            self._processes.append((process, receiver))

    def collect(self, *, timeout: float) -> LoadProcessReport:
        """Waits for all processes and returns their merged reports.

        Raises:
            LoadError: If a process fails, or has sent no report ``timeout`` seconds
                after the end of the measured time.
        """
        merged = LoadProcessReport()
        for _, receiver in self._processes:
            remaining = self._until + timeout - time.monotonic()
            if not receiver.poll(max(0.0, remaining)):
                raise LoadError("a load process sent no report in time")
            try:
                report = receiver.recv()
            except EOFError as err:
                raise LoadError("a load process ended without a report") from err
            if isinstance(report, Exception):
                raise LoadError("a load process failed") from report
            _merge_reports(merged, report)
        return merged

    def end(self) -> None:
        """Ends all processes."""
        for process, receiver in self._processes:
            if process.is_alive():
                process.terminate()
            process.join()
            receiver.close()


def _merge_reports(merged: LoadProcessReport, report: LoadProcessReport) -> None:
    for result in report.results:
        result.first_token = _decode_histogram(result.first_token)
        result.complete = _decode_histogram(result.complete)
    merged.results += report.results
    merged.core_shares += report.core_shares
    for name, wait in report.longest_waits.items():
        merged.longest_waits[name] = max(merged.longest_waits.get(name, 0.0), wait)
    if not merged.samples:
        merged.samples = [Sample() for _ in report.samples]
    for total, sample in zip(merged.samples, report.samples, strict=True):
        total.units.update(sample.units)
        total.waiting.update(sample.waiting)
