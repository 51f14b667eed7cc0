"""The load of the fairness benchmark and the processes that generate it."""

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
# Above this share of a core the load generator itself delays requests.
SATURATED_CORE_SHARE = 0.85
HINT_ERROR = 4.0
FLOOD_FACTOR = 50.0
SMALL_DEMAND = 0.4
LARGEST_ANSWER_TOKENS = 1_000
LARGE_PROMPT_TOKENS = 200
LARGEST_REQUEST_UNITS = LARGE_PROMPT_TOKENS + LARGEST_ANSWER_TOKENS
# Over 300 per router, so that the flood also meets full queues (200 by default).
FLOOD_CONNECTIONS = 2_500
# Routers on which the large organisations land (None means all) and how many chat
# requests they have under way. The numbers differ, so that a policy that shares by
# requests and not by organisations shows its gap.
LARGE_LANDINGS: tuple[tuple[tuple[int, ...] | None, int], ...] = (
    ((0,), 100),
    ((0, 1), 60),
    ((3, 4, 5), 160),
    (None, 240),
)
SMALL_ORGANISATIONS = 12
FLOODING = f"small-{SMALL_ORGANISATIONS - 1}"


def list_large() -> list[str]:
    """Returns the organisations that are backlogged throughout."""
    return [f"large-{number}" for number in range(len(LARGE_LANDINGS))]


def list_organisations() -> list[str]:
    """Returns all organisations."""
    small = [f"small-{number}" for number in range(SMALL_ORGANISATIONS)]
    return list_large() + small


def _mean_units(plan: CallerPlan) -> float:
    # The mean of a log-normal distribution, without its upper limit.
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
    everywhere = tuple(routers)
    share = capacity / len(list_organisations())
    large: list[list[CallerPlan]] = []
    for name, (landing, callers) in zip(list_large(), LARGE_LANDINGS, strict=True):
        reached = (
            everywhere
            if landing is None
            else tuple(routers[number] for number in landing)
        )
        chat = CallerPlan(
            name,
            "chat",
            reached,
            ("lane-talk",),
            concurrency=callers,
            prompt_tokens=32,
            median_tokens=60,
            spread=1.0,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR,
        )
        summary = CallerPlan(
            name,
            "summary",
            reached,
            ("lane-talk",),
            concurrency=20,
            prompt_tokens=LARGE_PROMPT_TOKENS,
            median_tokens=200,
            spread=0.8,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR,
        )
        booking = CallerPlan(
            name, "booking", reached, ("lane-desk",), concurrency=20, rate=0.25
        )
        large.append([chat, summary, booking])
    small: list[CallerPlan] = []
    flood: list[CallerPlan] = []
    for number in range(SMALL_ORGANISATIONS):
        name = f"small-{number}"
        # Router 7 is killed in one scenario, so nobody depends on it alone.
        reached = everywhere if number % 2 else (routers[number % 7],)
        is_flooding = is_flooded and name == FLOODING
        plan = CallerPlan(
            name,
            "chat",
            reached,
            ("lane-talk",),
            concurrency=FLOOD_CONNECTIONS if is_flooding else 400,
            prompt_tokens=32,
            median_tokens=40,
            spread=1.0,
            largest_tokens=LARGEST_ANSWER_TOKENS,
            hint_error=HINT_ERROR,
            rate=1.0,
        )
        demand = FLOOD_FACTOR if is_flooding else SMALL_DEMAND
        rate = demand * share / _mean_units(plan)
        (flood if is_flooding else small).append(replace(plan, rate=rate))
    groups = [large[0] + large[3], large[1] + large[2], small]
    return groups + ([flood] if flood else [])


@dataclass(slots=True)
class Sample:
    """Units received and requests without a first token, per organisation."""

    units: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class LoadReport:
    """What one load process, or all of them together, saw in the measured time.

    Attributes:
        samples: One sample per interval, from the start of the measured time.
        core_shares: CPU seconds per second of each load process.
        longest_waits: Seconds that the oldest request had waited at the end.
    """

    results: list[CallerResult] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    core_shares: list[float] = field(default_factory=list)
    longest_waits: dict[str, float] = field(default_factory=dict)


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _observe(
    callers: list[Caller], report: LoadReport, *, from_time: float, until: float
) -> None:
    await curio.sleep(max(0.0, from_time - time.monotonic()))
    for caller in callers:
        caller.result.first_token.reset()
        caller.result.complete.reset()
    cpu = _cpu_seconds()
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
    report.core_shares.append((_cpu_seconds() - cpu) / (time.monotonic() - from_time))


def _serve_load(
    sender: Any,
    plans: list[CallerPlan],
    kinds: dict[str, str],
    seed: int,
    from_time: float,
    until: float,
) -> None:
    # The benchmark ends its load processes itself.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    report = LoadReport()

    async def run() -> None:
        callers = [Caller(plan, kinds, seed=seed) for plan in plans]
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(run_together, [caller.run for caller in callers])
            await tasks.spawn(
                lambda: _observe(callers, report, from_time=from_time, until=until)
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
        # Histograms cannot be pickled, but have an encoding of their own.
        for result in report.results:
            result.first_token = result.first_token.encode()
            result.complete = result.complete.encode()
        sender.send(report)
    except Exception as err:
        sender.send(err)
        raise


def _unpack(encoded: Any) -> Any:
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
        kinds: dict[str, str],
        *,
        seed: int,
        from_time: float,
        until: float,
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self._until = until
        self._running: list[tuple[Any, Any]] = []
        for plans in groups:
            receiver, sender = context.Pipe(duplex=False)
            process = context.Process(
                target=_serve_load,
                args=(sender, plans, kinds, seed, from_time, until),
                daemon=True,
            )
            process.start()
            sender.close()
            self._running.append((process, receiver))

    def collect(self, *, timeout: float) -> LoadReport:
        """Waits for all processes and returns what they saw together.

        Raises:
            LoadError: If a process has no report ``timeout`` seconds after its end.
        """
        merged = LoadReport()
        for _, receiver in self._running:
            remaining = self._until + timeout - time.monotonic()
            if not receiver.poll(max(0.0, remaining)):
                raise LoadError("a load process has not reported in time")
            try:
                report = receiver.recv()
            except EOFError as err:
                raise LoadError("a load process ended without a report") from err
            if isinstance(report, Exception):
                raise LoadError("a load process failed") from report
            _merge(merged, report)
        return merged

    def end(self) -> None:
        """Ends all processes."""
        for process, receiver in self._running:
            if process.is_alive():
                process.terminate()
            process.join()
            receiver.close()


def _merge(merged: LoadReport, report: LoadReport) -> None:
    for result in report.results:
        result.first_token = _unpack(result.first_token)
        result.complete = _unpack(result.complete)
    merged.results += report.results
    merged.core_shares += report.core_shares
    for name, wait in report.longest_waits.items():
        merged.longest_waits[name] = max(merged.longest_waits.get(name, 0.0), wait)
    if not merged.samples:
        merged.samples = [Sample() for _ in report.samples]
    for mine, other in zip(merged.samples, report.samples, strict=True):
        mine.units.update(other.units)
        mine.waiting.update(other.waiting)
