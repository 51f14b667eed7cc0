"""One soak from its seed: start, faults, recovery, checks."""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import curio

from .callers import PROMISED_NOT_RUN, ROUTES, Asked, Callers
from .faults import inject
from .fleet import SoakFleet
from .routers import REVOCATION_SECONDS

RECOVERY_SECONDS = 12.0
"""Time after the last fault within which every route is served at every router."""

SETTLE_SECONDS = 1.0
LATE_SECONDS = 2.0
"""Time after the last answer in which a request that was refused could still run."""


@dataclass
class SoakResult:
    """What a soak found.

    Attributes:
        violations: Broken promises; empty if all were kept.
        ends: Requests by status, None for those without an answer.
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    ends: Counter[int | None] = field(default_factory=Counter)


def run_soak(
    seed: int, *, seconds: float, routers: int = 4, callers: int = 24
) -> SoakResult:
    """Runs one soak.

    Args:
        seed: Draws faults and requests; the timing of processes is not repeatable.
        seconds: Time during which faults begin.
        routers: Router processes.
        callers: Callers at the same time.
    """
    with tempfile.TemporaryDirectory(prefix="sequoiamoor-soak-") as folder:
        fleet = SoakFleet(seed, Path(folder), routers)
        try:
            result: SoakResult = curio.run(_run, fleet, seed, seconds, callers)
        finally:
            fleet.end()
        if result.violations:
            _keep_logs(Path(folder), seed)
    return result


def _keep_logs(folder: Path, seed: int) -> None:
    kept = Path("results") / f"soak-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (kept / log.name).write_bytes(log.read_bytes())


async def _run(fleet: SoakFleet, seed: int, seconds: float, count: int) -> SoakResult:
    result = SoakResult(seed)
    await fleet.start()
    fronts = {name: one.front.address for name, one in fleet.routers.items()}
    callers = Callers(seed, fronts, fleet.keys)
    tasks = [await curio.spawn(callers.run, number) for number in range(count)]
    watch = await curio.spawn(_watch, fleet)
    result.faults = await inject(fleet, seed, seconds)
    await fleet.heal()
    result.violations += await _check_recovery(fleet, callers, seed)
    callers.is_stopped = True
    for task in tasks:
        await task.join()
    await curio.sleep(LATE_SECONDS)
    await watch.cancel()
    fleet.check_processes()
    result.ends = Counter(one.status for one in callers.asked)
    result.violations += [*callers.violations, *fleet.violations]
    result.violations += [*fleet.log.violations, *_check_runs(fleet, callers.asked)]
    return result


async def _watch(fleet: SoakFleet) -> None:
    while True:
        fleet.check_processes()
        await curio.sleep(0.1)


async def _check_recovery(fleet: SoakFleet, callers: Callers, seed: int) -> list[str]:
    """Returns the routes and routers that do not serve again in time."""
    await curio.sleep(SETTLE_SECONDS)
    left = {(name, route) for name in fleet.routers for route in ROUTES}
    rng = Random(f"recovery {seed}")
    end = time.monotonic() + RECOVERY_SECONDS
    number = 0
    last = None
    while left and time.monotonic() < end:
        for name, route in sorted(left, key=lambda one: (one[0], one[1].path)):
            number += 1
            organisation = rng.choice(sorted(fleet.keys))
            key = fleet.keys[organisation][-1]
            request_id = f"recovery{seed:x}-{number}"
            asked = Asked(request_id, route, organisation, key, name, 0.0)
            connection = await callers.connect(name)
            if connection is None:
                continue
            await callers.ask(connection, asked, rng)
            await connection.close()
            if asked.status == 200 and asked.is_whole:
                left.discard((name, route))
            else:
                last = asked
        await curio.sleep(0.1)
    return [
        f"RECOVER: {route.path} is not served at {name} {RECOVERY_SECONDS} s after the "
        f"last fault; last answer {last}"
        for name, route in sorted(left, key=lambda one: (one[0], one[1].path))
    ]


def _check_runs(fleet: SoakFleet, all_asked: list[Asked]) -> list[str]:
    """Compares what callers were told with what replicas ran."""
    found = []
    runs = fleet.log.runs
    for asked in all_asked:
        name = f"{asked.request_id} on {asked.route.path} at {asked.router}"
        ran = runs.get(asked.request_id, [])
        if asked.route.runs_once and len(ran) > 1:
            found.append(f"TWICE: {name} ran {len(ran)} times: {ran}")
        if asked.route.runs_once and ran and asked.status in PROMISED_NOT_RUN:
            found.append(f"REFUSED: {name} got {asked.status} and ran: {ran}")
        for run in ran:
            if run.organisation != asked.organisation:
                found.append(f"UNASKED: {name} ran for {run.organisation!r}")
        revoked_at = fleet.revoked_at.get(asked.key)
        if ran and revoked_at and asked.sent_at > revoked_at + REVOCATION_SECONDS:
            late = asked.sent_at - revoked_at
            found.append(f"CONFIG: {name} ran {late:.1f} s after its key was revoked")
    known = {asked.request_id for asked in all_asked}
    found += [f"UNASKED: {one!r} was sent by nobody" for one in runs.keys() - known]
    return found
