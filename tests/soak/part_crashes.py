"""Many replicas that end on a prompt part, and callers with and without it."""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import curio

from .callers import NOT_EXECUTED_STATUSES, ROUTES, Callers, RequestRecord, build_prompt
from .fleet import SoakFleet
from .replicas import BAD_PARTS, CONTACT_SECONDS, ENDS_BEFORE_LIMIT
from .run import keep_logs

REPLICAS = 12
CALM_SECONDS = 5.0
CRASH_SECONDS = 14.0
SOUND_PER_SECOND = 40.0
CRASHING_PER_SECOND = 5.0
MIN_SERVED_FRACTION = 0.5
MIN_SOUND_REQUESTS = 20
SUMMARY = next(route for route in ROUTES if route.path == "/summary/")


@dataclass
class PartCrashes:
    """One scenario, drawn from a seed.

    Attributes:
        bad_parts: Parts that end replicas, sent in turn.
        place: Number of shared parts before such a part.
        pause: Seconds from the first such request between which none is sent.
        kills_router: Whether a router is killed and started after the second end.
        cuts_store: Whether the store refuses calls for two seconds before that.
        ends_rack: Whether a third of the replicas end at once in the calm before.
        hides_peers: Whether the routers never hear of each other, only of the store.
    """

    seed: int
    bad_parts: tuple[str, ...] = BAD_PARTS[:1]
    place: int = 0
    pause: tuple[float, float] | None = None
    kills_router: bool = False
    cuts_store: bool = False
    ends_rack: bool = False
    hides_peers: bool = False
    sound: list[RequestRecord] = field(default_factory=list, repr=False)
    crashing: list[RequestRecord] = field(default_factory=list, repr=False)

    @classmethod
    def draw(cls, seed: int) -> PartCrashes:
        """Returns the scenario of a seed."""
        rng = Random(f"part crashes {seed}")
        return cls(
            seed,
            bad_parts=BAD_PARTS[: rng.choice([1, 1, 2])],
            place=rng.randrange(3),
            pause=rng.choice([None, (4.0, 9.0)]),
            kills_router=rng.random() < 0.4,
            cuts_store=rng.random() < 0.3,
            ends_rack=rng.random() < 0.4,
            hides_peers=rng.random() < 0.3,
        )

    def run(self, *, routers: int = 4) -> list[str]:
        """Runs the scenario and returns the guarantees that were violated."""
        services = {SUMMARY.service: REPLICAS}
        with tempfile.TemporaryDirectory(prefix="sequoiamoor-soak-") as folder:
            fleet = SoakFleet(self.seed, Path(folder), routers, services=services)
            try:
                violations: list[str] = curio.run(self._run, fleet)
            finally:
                fleet.kill()
            if violations:
                keep_logs(Path(folder), f"parts-{self.seed}")
        return violations

    def count_statuses(self) -> list[Counter[int | None]]:
        """Returns the answers to sound and to crashing requests by status."""
        return [
            Counter(record.status for record in records)
            for records in (self.sound, self.crashing)
        ]

    async def _run(self, fleet: SoakFleet) -> list[str]:
        if self.hides_peers:
            fleet.store.refused_tables = {"routers"}
        await fleet.start()
        addresses = {
            name: router.caller_proxy.address for name, router in fleet.routers.items()
        }
        callers = Callers(self.seed, addresses, fleet.keys, fleet.log.traffic)
        await curio.sleep(1.0)
        begin = time.monotonic()
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self._send_sound, fleet, callers, begin)
            if self.ends_rack:
                await curio.sleep(1.0)
                for replica in fleet.replicas[: REPLICAS // 3]:
                    await tasks.spawn(replica.end_and_restart)
            await curio.sleep(begin + CALM_SECONDS - time.monotonic())
            await tasks.spawn(self._send_crashing, fleet, callers)
            await tasks.spawn(self._disturb, fleet)
        for task in tasks.tasks:
            if task.exception is not None:
                raise task.exception
        fleet.check_processes()
        violations = [*callers.violations, *fleet.violations, *fleet.log.violations]
        return violations + self._check(fleet, begin)

    async def _send_sound(
        self, fleet: SoakFleet, callers: Callers, begin: float
    ) -> None:
        rng = Random(f"sound {self.seed}")
        end = begin + CALM_SECONDS + CRASH_SECONDS
        async with curio.TaskGroup() as tasks:
            while time.monotonic() < end:
                await tasks.spawn(self._send, fleet, callers, rng, None)
                await curio.sleep(rng.expovariate(SOUND_PER_SECOND))

    async def _send_crashing(self, fleet: SoakFleet, callers: Callers) -> None:
        rng = Random(f"crashing {self.seed}")
        begin = time.monotonic()
        async with curio.TaskGroup() as tasks:
            while (elapsed := time.monotonic() - begin) < CRASH_SECONDS:
                if self.pause is None or not self.pause[0] < elapsed < self.pause[1]:
                    part = self.bad_parts[len(self.crashing) % len(self.bad_parts)]
                    await tasks.spawn(self._send, fleet, callers, rng, part)
                await curio.sleep(1 / CRASHING_PER_SECOND)

    async def _disturb(self, fleet: SoakFleet) -> None:
        end = time.monotonic() + CRASH_SECONDS
        while not any(len(fleet.log.ends[part]) > 1 for part in self.bad_parts):
            await curio.sleep(0.02)
            if time.monotonic() > end:
                return
        if self.cuts_store:
            fleet.store.status = 503
            await curio.sleep(2.0)
            fleet.store.status = None
        if self.kills_router:
            router = fleet.routers[
                sorted(fleet.routers)[self.seed % len(fleet.routers)]
            ]
            router.kill()
            router.start()

    async def _send(
        self, fleet: SoakFleet, callers: Callers, rng: Random, bad_part: str | None
    ) -> None:
        records = self.sound if bad_part is None else self.crashing
        request_id = f"{bad_part or 'sound'}-{self.seed:x}-{len(records)}"
        router, key = rng.choice(sorted(fleet.routers)), fleet.keys["captains"][0]
        record = RequestRecord(request_id, SUMMARY, "captains", key, router, 0.0)
        record.prompt = build_prompt(request_id, bad_part, self.place)
        record.sent_at = time.monotonic()
        records.append(record)
        if (connection := await callers.connect(router)) is not None:
            await callers.send(connection, record, rng)
            await connection.close()

    def _check(self, fleet: SoakFleet, begin: float) -> list[str]:
        runs = fleet.log.runs
        violations = [
            f"REFUSED: {record.request_id} got {record.status} and ran"
            for record in (*self.sound, *self.crashing)
            if record.status in NOT_EXECUTED_STATUSES and record.request_id in runs
        ]
        violations += [
            f"MIXED: {record.request_id} got a whole answer of a replica that ended"
            for record in self.crashing
            if record.status == 200 and record.is_complete
        ]
        ends = [fleet.log.ends[part] for part in self.bad_parts]
        decisive = [times[:ENDS_BEFORE_LIMIT][-1] for times in ends if times]
        from_time = max(decisive, default=begin) + 2 * CONTACT_SECONDS
        calm = [one for one in self.sound if one.sent_at < begin + CALM_SECONDS]
        later = [one for one in self.sound if one.sent_at > from_time]
        fractions = [
            sum(one.request_id in runs for one in records) / max(len(records), 1)
            for records in (calm, later)
        ]
        is_enough = min(len(calm), len(later)) >= MIN_SOUND_REQUESTS
        if is_enough and fractions[1] < MIN_SERVED_FRACTION * fractions[0]:
            violations.append(f"LOST: of the sound requests began {fractions}")
        return violations
