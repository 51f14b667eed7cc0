"""A fleet in memory: routers, replicas, callers and the network between them."""

from __future__ import annotations

import itertools
import statistics
from collections import defaultdict
from random import Random
from typing import Any

import msgpack

from sequoiamoor.core.messages import Grants, Message, Report, Snapshot
from sequoiamoor.core.upstreams import LoadReport
from sequoiamoor.errors import QueueFullError
from sequoiamoor.options import Options
from sequoiamoor.types import CallRequest, RouterIdentity

from .decisions_router import SERVICE, FakeReplica, FakeRouter, Job
from .timeline import Timeline

ZONES = ("a", "b", "c")
ROUTERS, REPLICAS, SLOTS, ORGANISATIONS = 8, 10, 8, 16
TICK = 0.02
"""Seconds per token of a slot."""
CAPACITY = REPLICAS * SLOTS / TICK
LARGEST = 2_000
DELAY = 0.001
WARM_UP = 10.0
SAMPLE_INTERVAL = 0.013


class Fleet(Timeline):
    """Routers, replicas, callers and the network between them."""

    def __init__(self, policy: str, seed: int, options: Options) -> None:
        super().__init__()
        self.policy, self.options, self.rng = policy, options, Random(seed)
        self.cut: str | None = None
        self.cut_at = float("inf")
        self.killed: dict[RouterIdentity, float] = {}
        self.cost_divisor = 1
        self.messages = self.bytes = 0
        self.waits: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.served: dict[str, int] = defaultdict(int)
        self.samples: list[tuple[float, dict[str, int]]] = []
        self.usage: list[tuple[float, int, int]] = []
        self.refused = 0
        self.jobs: dict[str, Job] = {}
        self.replicas = {
            f"m{i}": FakeReplica(f"m{i}", ZONES[i % 3]) for i in range(REPLICAS)
        }
        self.routers: dict[str, FakeRouter] = {}
        for i in range(ROUTERS):
            self.add_router(f"r{i}", ZONES[i % 3], 1 + i, self.rng.random() * 0.2)
        self.names = [f"o{i}" for i in range(ORGANISATIONS)]
        self.homes = {
            name: self.rng.sample(sorted(self.routers), 3) for name in self.names
        }
        self.long_part = {name: self.rng.random() * 0.6 for name in self.names}
        # Each organisation has its own stream, so that it sends the same requests in
        # runs that differ in the load of others.
        self.streams = {name: Random(f"{seed}/{name}") for name in self.names}
        self.keep: list[tuple[str, str]] = []
        for index, one in enumerate(self.replicas.values()):
            self.at(index * TICK / REPLICAS, self.run_replica, one)
            self.at(0.1 * index, self.report_load, one)

    def add_router(self, name: str, zone: str, incarnation: int, when: float) -> None:
        identity = RouterIdentity(name, incarnation, zone)
        self.routers[name] = FakeRouter(self, identity, self.policy)
        for other in self.routers.values():
            other.sent.pop(name, None)
        self.at(when, self.routers[name].tick)

    def is_cut(self, zone: str, other: str) -> bool:
        return self.cut is not None and (zone == self.cut) != (other == self.cut)

    def find_ended(self) -> frozenset[RouterIdentity]:
        """Returns the killed routers to which a new connection was refused."""
        limit = self.now - self.options.reconnect_base_delay - 2 * DELAY
        return frozenset(one for one, at in self.killed.items() if at <= limit)

    def find_unreachable(self, router: RouterIdentity) -> frozenset[RouterIdentity]:
        """Returns the routers that have acknowledged nothing for too long."""
        silence = self.options.suspect_after + self.options.report_interval
        if self.now < self.cut_at + silence:
            return frozenset()
        identities = [one.board.identity for one in self.routers.values()]
        return frozenset(
            one for one in identities if self.is_cut(router.zone, one.zone)
        )

    def send(self, sender: FakeRouter, name: str, message: Message) -> None:
        target = self.routers[name]
        identity = sender.board.identity
        if self.is_cut(identity.zone, target.board.identity.zone):
            sender.sent.pop(name, None)
            return
        if self.now >= WARM_UP:
            self.messages += 1
            self.bytes += 4 + len(msgpack.packb(to_array(message)))
        self.at(self.now + DELAY, target.take, identity, message)

    # Callers.

    def draw(self, name: str) -> tuple[int, str]:
        cost, class_name = self.draw_full(name)
        return max(cost // self.cost_divisor, 1), class_name

    def draw_full(self, name: str) -> tuple[int, str]:
        rng = self.streams[name]
        if rng.random() < self.long_part[name]:
            cost = rng.lognormvariate(5.5, 0.9)
            return int(min(max(cost, 50), LARGEST)), "summary"
        return int(min(max(rng.lognormvariate(3.7, 0.8), 5), 400)), "chat"

    def mean_cost(self, name: str) -> float:
        stream, self.streams[name] = self.streams[name], Random(1)
        costs = [self.draw(name)[0] for _ in range(2_000)]
        self.streams[name] = stream
        return statistics.fmean(costs)

    def arrive(self, name: str, home: str | None = None) -> None:
        rng = self.streams[name]
        if home is None:
            home = rng.choices(self.homes[name], (0.7, 0.2, 0.1))[0]
        router = self.routers[home]
        if not router.is_alive:
            return
        cost, class_name = self.draw(name)
        call_id = f"c{next(self.numbers)}"
        target = 1.0 if class_name == "chat" else 20.0
        request = CallRequest(
            call_id, call_id, name, class_name, SERVICE, self.now, self.now + target,
            self.now + 30.0, b"", cost_hint=cost * 4 ** rng.uniform(-1, 1),
        )  # fmt: skip
        try:
            router.board.queues.add(request)
        except QueueFullError:
            self.refused += 1
            return
        self.jobs[call_id] = Job(request, cost, router)
        router.dispatch()

    def open_loop(self, name: str, rate: float) -> None:
        self.arrive(name)
        interval = self.streams[name].expovariate(rate)
        self.at(self.now + interval, self.open_loop, name, rate)

    def add_load(self, name: str, share: float, when: float = 0.0) -> None:
        """Sends requests of ``share`` times the organisation's equal share."""
        rate = share * CAPACITY / ORGANISATIONS / self.mean_cost(name)
        interval = self.streams[name].expovariate(rate)
        self.at(when + interval, self.open_loop, name, rate)

    def keep_backlogged(self) -> None:
        for name, home in self.keep:
            router = self.routers[home]
            while router.is_alive and router.board.queues.count(SERVICE, name) < 2:
                self.arrive(name, home)
        self.at(self.now + 0.005, self.keep_backlogged)

    # Replicas.

    def start(self, router: FakeRouter, call_id: str, name: str) -> None:
        job, replica = self.jobs[call_id], self.replicas[name]
        if self.is_cut(router.board.identity.zone, replica.zone):
            self.at(self.now + DELAY, self.fail, job, name)
            return
        replica.running[call_id] = job

    def fail(self, job: Job, name: str) -> None:
        router = job.router
        if router.is_alive:
            router.board.upstreams.record_failure(name, self.now)
            router.finish(job, name)
            router.board.queues.put_back(job.request)
            router.dispatch()

    def run_replica(self, replica: FakeReplica) -> None:
        speed = min(1.0, SLOTS / max(len(replica.running), 1))
        ended = []
        for job in list(replica.running.values()):
            before = int(job.done)
            job.done += speed
            units = int(job.done + 1e-9) - before
            if units > 0:
                name = job.request.organisation
                if job.first_at is None:
                    job.first_at = self.now
                    wait = self.now - job.request.arrival
                    self.waits[name].append((job.request.arrival, wait))
                job.router.board.ledger.charge(SERVICE, name, units)
                job.request.charged += units
                self.served[name] += units
            if job.done >= job.cost:
                ended.append(job)
        for job in ended:
            del replica.running[job.request.call_id]
            del self.jobs[job.request.call_id]
            job.router.finish(job, replica.name)
            job.router.dispatch()
        self.at(self.now + TICK, self.run_replica, replica)

    def report_load(self, replica: FakeReplica) -> None:
        running = len(replica.running)
        load = LoadReport(
            1, SLOTS, min(running, SLOTS), max(running - SLOTS, 0),
            min(running, SLOTS) / TICK, False,
        )  # fmt: skip
        self.at(self.now + 0.5, self.take_load, replica, load)
        self.at(self.now + 1.0, self.report_load, replica)

    def take_load(self, replica: FakeReplica, load: LoadReport) -> None:
        for router in self.routers.values():
            if not self.is_cut(router.board.identity.zone, replica.zone):
                upstreams = router.board.upstreams
                upstreams.record_load(replica.name, load, self.now)
                upstreams.record_success(replica.name)

    # Faults and samples.

    def partition(self, zone: str | None) -> None:
        self.cut, self.cut_at = zone, self.now
        for replica in self.replicas.values():
            for job in list(replica.running.values()):
                if self.is_cut(job.router.board.identity.zone, replica.zone):
                    del replica.running[job.request.call_id]
                    self.fail(job, replica.name)

    def kill(self, name: str) -> None:
        router = self.routers[name]
        router.is_alive = False
        self.killed[router.board.identity] = self.now
        for replica in self.replicas.values():
            for call_id, job in list(replica.running.items()):
                if job.router is router:
                    del replica.running[call_id]

    def sample(self) -> None:
        self.samples.append((self.now, dict(self.served)))
        if self.now >= WARM_UP:
            for is_inside in (False, True):
                self.sample_side(is_inside)
        self.at(self.now + SAMPLE_INTERVAL, self.sample)

    def sample_side(self, is_inside: bool) -> None:
        """Notes used slots on one side of the cut if work waits there."""
        routers = [
            one
            for one in self.routers.values()
            if one.is_alive and (one.board.identity.zone == self.cut) == is_inside
        ]
        if any(len(one.board.queues) for one in routers):
            near = [
                one
                for one in self.replicas.values()
                if (one.zone == self.cut) == is_inside
            ]
            busy = sum(min(len(one.running), SLOTS) for one in near)
            self.usage.append((self.now, busy, SLOTS * len(near)))

    def utilisation(self) -> float:
        return sum(one[1] for one in self.usage) / sum(one[2] for one in self.usage)

    def lost(self, start: float, end: float) -> float:
        """Returns the idle slot-seconds from ``start`` to ``end`` while work waited."""
        return SAMPLE_INTERVAL * sum(
            slots - busy for at, busy, slots in self.usage if start <= at < end
        )

    def gaps(self, names: list[str], start: float, end: float) -> list[float]:
        """Returns the largest difference of service done since ``start``."""
        chosen = [one for at, one in self.samples if start <= at <= end]
        first = chosen[0]
        gaps = []
        for one in chosen:
            done = [one.get(name, 0) - first.get(name, 0) for name in names]
            gaps.append(float(max(done) - min(done)))
        return gaps

    def largest_gap(self, names: list[str], start: float, end: float) -> float:
        """Returns the largest gap of any interval between ``start`` and ``end``."""
        chosen = [one for at, one in self.samples if start <= at <= end]
        largest = 0.0
        for name, other in itertools.combinations(names, 2):
            ahead = [one.get(name, 0) - one.get(other, 0) for one in chosen]
            largest = max(largest, max(ahead) - min(ahead))
        return largest


def to_array(message: Message) -> list[Any]:
    """Returns the message in the compact form of the wire, names as indexes."""
    if isinstance(message, Report):
        counters = [
            [0, int(row.organisation[1:]), row.served, row.lift, row.waiting,
             row.running, row.deadline_ms] for row in message.counters
        ]  # fmt: skip
        slots = [
            [int(row.replica_id[1:]), row.epoch, row.base, row.released, row.in_use]
            for row in message.slots
        ]
        return [3, message.sequence, 1, False, counters, slots]
    if isinstance(message, Grants):
        rows = [
            [int(one.replica_id[1:]), one.epoch, one.granted, one.recalled]
            for one in message.rows
        ]
        return [4, rows, message.acknowledged, message.incarnation]
    assert isinstance(message, Snapshot)
    origins = [
        [one.origin.router_id, one.origin.incarnation, one.origin.zone,
         [[0, int(row.organisation[1:]), row.served, row.lift] for row in one.counters]]
        for one in message.origins
    ]  # fmt: skip
    return [5, origins]
