"""An in-memory fleet: routers, replicas, callers and the network between them."""

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
TOKEN_INTERVAL_SECONDS = 0.02
"""Seconds that a slot takes per token, and interval at which replicas advance."""
CAPACITY = REPLICAS * SLOTS / TOKEN_INTERVAL_SECONDS
"""Tokens per second of all replicas together."""
LARGEST = 2_000
"""Tokens of the largest request."""
DELAY = 0.001
"""Seconds that a message takes in one direction."""
WARM_UP_SECONDS = 10.0
SAMPLE_INTERVAL_SECONDS = 0.013


class Fleet(Timeline):
    """Routers, replicas, callers and the network between them.

    Attributes:
        cut: Availability zone that a partition cuts off, or None.
        cut_at: Time in seconds at which ``cut`` last changed.
        killed_at: Time in seconds at which each killed router died.
        cost_divisor: Divisor of the tokens of all requests.
        sent_messages: Control messages sent after the warm-up.
        sent_bytes: Their encoded size.
        first_token_waits: For each organisation, the arrival times of its requests
            and the seconds that they waited for the first token.
        served_tokens: Tokens generated per organisation.
        samples: Times in seconds, and the tokens generated per organisation until
            then.
        slot_usage: Times in seconds, busy slots and all slots of replicas for which
            requests waited.
        refused_requests: Requests that found their queue full.
        organisations: Names of the organisations.
        entry_routers: The routers that the callers of each organisation know.
        long_request_fractions: Fraction of each organisation's requests that are long.
        rngs: Random number generator of each organisation.
        backlogs: Organisations and routers at which requests always wait.
    """

    def __init__(self, policy: str, seed: int, options: Options) -> None:
        super().__init__()
        self.policy, self.options, self.rng = policy, options, Random(seed)
        self.cut: str | None = None
        self.cut_at = float("inf")
        self.killed_at: dict[RouterIdentity, float] = {}
        self.cost_divisor = 1
        self.sent_messages = self.sent_bytes = 0
        self.first_token_waits: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.served_tokens: dict[str, int] = defaultdict(int)
        self.samples: list[tuple[float, dict[str, int]]] = []
        self.slot_usage: list[tuple[float, int, int]] = []
        self.refused_requests = 0
        self.jobs: dict[str, Job] = {}
        self.replicas = {
            f"m{i}": FakeReplica(f"m{i}", ZONES[i % 3]) for i in range(REPLICAS)
        }
        self.routers: dict[str, FakeRouter] = {}
        for i in range(ROUTERS):
            self.add_router(f"r{i}", ZONES[i % 3], 1 + i, self.rng.random() * 0.2)
        self.organisations = [f"o{i}" for i in range(ORGANISATIONS)]
        self.entry_routers = {
            organisation: self.rng.sample(sorted(self.routers), 3)
            for organisation in self.organisations
        }
        self.long_request_fractions = {
            organisation: self.rng.random() * 0.6 for organisation in self.organisations
        }
        # One generator per organisation, so that it sends the same requests in runs
        # that differ in the load of others.
        self.rngs = {
            organisation: Random(f"{seed}/{organisation}")
            for organisation in self.organisations
        }
        self.backlogs: list[tuple[str, str]] = []
        for index, replica in enumerate(self.replicas.values()):
            self.at(
                index * TOKEN_INTERVAL_SECONDS / REPLICAS, self.run_replica, replica
            )
            self.at(0.1 * index, self.report_load, replica)

    def add_router(self, name: str, zone: str, incarnation: int, when: float) -> None:
        """Adds a router, or replaces it, with its first tick at ``when`` seconds."""
        identity = RouterIdentity(name, incarnation, zone)
        self.routers[name] = FakeRouter(self, identity, self.policy)
        for other in self.routers.values():
            other.sent_rows.pop(name, None)
        self.at(when, self.routers[name].tick)

    def is_cut(self, zone: str, other: str) -> bool:
        """Returns whether a partition separates two availability zones."""
        return self.cut is not None and (zone == self.cut) != (other == self.cut)

    def find_ended(self) -> frozenset[RouterIdentity]:
        """Returns the killed routers to which a new connection was refused."""
        limit = self.now - self.options.reconnect_base_delay - 2 * DELAY
        return frozenset(
            identity
            for identity, ended_at in self.killed_at.items()
            if ended_at <= limit
        )

    def find_unreachable(self, router: RouterIdentity) -> frozenset[RouterIdentity]:
        """Returns the routers that a partition has kept silent for too long."""
        silence = self.options.suspect_after + self.options.report_interval
        if self.now < self.cut_at + silence:
            return frozenset()
        identities = [peer.board.identity for peer in self.routers.values()]
        return frozenset(
            peer for peer in identities if self.is_cut(router.zone, peer.zone)
        )

    def send(self, sender: FakeRouter, router_id: str, message: Message) -> None:
        """Sends a message, which a partition drops, and counts its encoded bytes."""
        target = self.routers[router_id]
        identity = sender.board.identity
        if self.is_cut(identity.zone, target.board.identity.zone):
            sender.sent_rows.pop(router_id, None)
            return
        if self.now >= WARM_UP_SECONDS:
            self.sent_messages += 1
            self.sent_bytes += 4 + len(msgpack.packb(to_array(message)))
        self.at(self.now + DELAY, target.take, identity, message)

    # Callers.

    def draw_request(self, organisation: str) -> tuple[int, str]:
        """Returns cost in tokens and class of an organisation's next request."""
        cost, class_name = self.draw_unscaled_request(organisation)
        return max(cost // self.cost_divisor, 1), class_name

    def draw_unscaled_request(self, organisation: str) -> tuple[int, str]:
        rng = self.rngs[organisation]
        if rng.random() < self.long_request_fractions[organisation]:
            cost = rng.lognormvariate(5.5, 0.9)
            return int(min(max(cost, 50), LARGEST)), "summary"
        return int(min(max(rng.lognormvariate(3.7, 0.8), 5), 400)), "chat"

    def estimate_mean_cost(self, organisation: str) -> float:
        """Returns the mean tokens of an organisation's requests.

        Uses a generator of its own, so that the requests of the run stay the same.
        """
        rng, self.rngs[organisation] = self.rngs[organisation], Random(1)
        costs = [self.draw_request(organisation)[0] for _ in range(2_000)]
        self.rngs[organisation] = rng
        return statistics.fmean(costs)

    def arrive(self, organisation: str, router_id: str | None = None) -> None:
        """Queues a request of an organisation at a given router, or at a random one."""
        rng = self.rngs[organisation]
        if router_id is None:
            router_id = rng.choices(self.entry_routers[organisation], (0.7, 0.2, 0.1))[
                0
            ]
        router = self.routers[router_id]
        if not router.is_alive:
            return
        cost, class_name = self.draw_request(organisation)
        call_id = f"c{next(self.numbers)}"
        target = 1.0 if class_name == "chat" else 20.0
        request = CallRequest(
            call_id, call_id, organisation, class_name, SERVICE, self.now,
            self.now + target, self.now + 30.0, b"",
            cost_hint=cost * 4 ** rng.uniform(-1, 1),
        )  # fmt: skip
        try:
            router.board.queues.add(request)
        except QueueFullError:
            self.refused_requests += 1
            return
        self.jobs[call_id] = Job(request, cost, router)
        router.dispatch()

    def send_open_loop(self, organisation: str, rate: float) -> None:
        """Sends requests at random times, ``rate`` per second on average."""
        self.arrive(organisation)
        interval = self.rngs[organisation].expovariate(rate)
        self.at(self.now + interval, self.send_open_loop, organisation, rate)

    def add_load(self, organisation: str, share: float, when: float = 0.0) -> None:
        """Starts a load of ``share`` times the organisation's equal share.

        Args:
            organisation: Organisation that sends the requests.
            share: Load as a multiple of an equal share of the capacity.
            when: Time in seconds at which the load starts.
        """
        rate = share * CAPACITY / ORGANISATIONS / self.estimate_mean_cost(organisation)
        interval = self.rngs[organisation].expovariate(rate)
        self.at(when + interval, self.send_open_loop, organisation, rate)

    def keep_backlogged(self) -> None:
        """Keeps at least two requests waiting for each of ``backlogs``."""
        for organisation, router_id in self.backlogs:
            router = self.routers[router_id]
            while (
                router.is_alive and router.board.queues.count(SERVICE, organisation) < 2
            ):
                self.arrive(organisation, router_id)
        self.at(self.now + 0.005, self.keep_backlogged)

    # Replicas.

    def start(self, router: FakeRouter, call_id: str, replica_id: str) -> None:
        job, replica = self.jobs[call_id], self.replicas[replica_id]
        if self.is_cut(router.board.identity.zone, replica.zone):
            self.at(self.now + DELAY, self.fail, job, replica_id)
            return
        replica.running[call_id] = job

    def fail(self, job: Job, replica_id: str) -> None:
        """Records a failed attempt and queues its request again."""
        router = job.router
        if router.is_alive:
            router.board.upstreams.record_failure(replica_id, self.now)
            router.finish(job, replica_id)
            router.board.queues.add_again(job.request)
            router.dispatch()

    def run_replica(self, replica: FakeReplica) -> None:
        """Advances the requests of a replica by one token interval."""
        speed = min(1.0, SLOTS / max(len(replica.running), 1))
        finished_jobs = []
        for job in list(replica.running.values()):
            tokens_before = int(job.generated_tokens)
            job.generated_tokens += speed
            tokens = int(job.generated_tokens + 1e-9) - tokens_before
            if tokens > 0:
                organisation = job.request.organisation
                if job.first_token_at is None:
                    job.first_token_at = self.now
                    wait = self.now - job.request.arrival
                    self.first_token_waits[organisation].append(
                        (job.request.arrival, wait)
                    )
                job.router.board.ledger.charge(SERVICE, organisation, tokens)
                job.request.charged += tokens
                self.served_tokens[organisation] += tokens
            if job.generated_tokens >= job.cost:
                finished_jobs.append(job)
        for job in finished_jobs:
            del replica.running[job.request.call_id]
            del self.jobs[job.request.call_id]
            job.router.finish(job, replica.name)
            job.router.dispatch()
        self.at(self.now + TOKEN_INTERVAL_SECONDS, self.run_replica, replica)

    def report_load(self, replica: FakeReplica) -> None:
        running = len(replica.running)
        load = LoadReport(
            1, SLOTS, min(running, SLOTS), max(running - SLOTS, 0),
            min(running, SLOTS) / TOKEN_INTERVAL_SECONDS, False,
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
        """Cuts off an availability zone, or ends the partition with None."""
        self.cut, self.cut_at = zone, self.now
        for replica in self.replicas.values():
            for job in list(replica.running.values()):
                if self.is_cut(job.router.board.identity.zone, replica.zone):
                    del replica.running[job.request.call_id]
                    self.fail(job, replica.name)

    def kill(self, router_id: str) -> None:
        """Kills a router; replicas cancel its requests."""
        router = self.routers[router_id]
        router.is_alive = False
        self.killed_at[router.board.identity] = self.now
        for replica in self.replicas.values():
            for call_id, job in list(replica.running.items()):
                if job.router is router:
                    del replica.running[call_id]

    def sample(self) -> None:
        """Records the service so far and the slots in use on each side of the cut."""
        self.samples.append((self.now, dict(self.served_tokens)))
        if self.now >= WARM_UP_SECONDS:
            for is_inside in (False, True):
                self.sample_side(is_inside)
        self.at(self.now + SAMPLE_INTERVAL_SECONDS, self.sample)

    def sample_side(self, is_inside: bool) -> None:
        """Records the busy slots on one side of a partition if requests wait there."""
        routers = [
            router
            for router in self.routers.values()
            if router.is_alive and (router.board.identity.zone == self.cut) == is_inside
        ]
        if any(len(router.board.queues) for router in routers):
            replicas = [
                replica
                for replica in self.replicas.values()
                if (replica.zone == self.cut) == is_inside
            ]
            busy = sum(min(len(replica.running), SLOTS) for replica in replicas)
            self.slot_usage.append((self.now, busy, SLOTS * len(replicas)))

    def compute_utilisation(self) -> float:
        """Returns the busy fraction of the slots while requests waited."""
        return sum(sample[1] for sample in self.slot_usage) / sum(
            sample[2] for sample in self.slot_usage
        )

    def compute_idle_slot_seconds(self, start: float, end: float) -> float:
        """Returns the slot-seconds that were idle while requests waited.

        Counts from ``start`` to ``end``, in seconds.
        """
        return SAMPLE_INTERVAL_SECONDS * sum(
            slots - busy for at, busy, slots in self.slot_usage if start <= at < end
        )

    def compute_gaps(
        self, organisations: list[str], start: float, end: float
    ) -> list[float]:
        """Returns the gap at each sample, in tokens.

        The gap is the largest difference between organisations in the service that
        they got since ``start``.
        """
        samples = [
            served_tokens for at, served_tokens in self.samples if start <= at <= end
        ]
        first = samples[0]
        gaps = []
        for served_tokens in samples:
            done = [
                served_tokens.get(name, 0) - first.get(name, 0)
                for name in organisations
            ]
            gaps.append(float(max(done) - min(done)))
        return gaps

    def compute_largest_gap(
        self, organisations: list[str], start: float, end: float
    ) -> float:
        """Returns the largest gap of any interval between two samples, in tokens."""
        samples = [
            served_tokens for at, served_tokens in self.samples if start <= at <= end
        ]
        largest = 0.0
        for first, second in itertools.combinations(organisations, 2):
            leads = [
                served_tokens.get(first, 0) - served_tokens.get(second, 0)
                for served_tokens in samples
            ]
            largest = max(largest, max(leads) - min(leads))
        return largest


def to_array(message: Message) -> list[Any]:
    """Returns the message as an array like the encoded one, with names as indexes."""
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
            [int(grant.replica_id[1:]), grant.epoch, grant.granted, grant.recalled]
            for grant in message.rows
        ]
        return [4, rows, message.acknowledged, message.incarnation]
    assert isinstance(message, Snapshot)
    origins = [
        [one.origin.router_id, one.origin.incarnation, one.origin.zone,
         [[0, int(row.organisation[1:]), row.served, row.lift] for row in one.counters]]
        for one in message.origins
    ]  # fmt: skip
    return [5, origins]
