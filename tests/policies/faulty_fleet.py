"""A small in-memory fleet with injected faults of routers, messages and replicas."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from benchmarks.decisions_router import SERVICE, FakeReplica, Job
from benchmarks.timeline import Timeline
from sequoiamoor.core.messages import LoadRow, Message
from sequoiamoor.options import Options
from sequoiamoor.types import CallRequest, RouterIdentity

from .faulty_router import FaultyRouter

OPTIONS = Options.model_validate({})
ROUTERS = 4
REPLICAS = 3
# The same as the window of a replica whose load is not known yet.
SLOTS = 4
ORGANISATIONS = 3
ZONES = ("a", "b")
NETWORK_DELAY_SECONDS = 0.001
UNITS_PER_SECOND = 50
UNITS_AT_START = 10
LEAVING_LIMIT_SECONDS = 3.0

# Times after a fault during which a replica may run more requests than its window.
# After a partition or a pause, the grants of a replaced arbiter end at the latest when
# they expire. The new arbiter waits one report interval, and each side hears the other
# within one more.
SETTLING_SECONDS = OPTIONS.grant_expiry + 2 * OPTIONS.report_interval
# After a death or a restart the slots of the router are reclaimed first, and a router
# arbitrates only two report intervals after its start.
TAKE_OVER_SECONDS = OPTIONS.router_reclaim_after + 2 * OPTIONS.report_interval


@dataclass(slots=True)
class ReplaceableReplica(FakeReplica):
    """A replica that may leave the fleet and return as a new incarnation."""

    incarnation: int = 1
    is_leaving: bool = False


@dataclass(slots=True)
class MessageFault:
    """A fault of the next messages from one router to another.

    Attributes:
        effect: ``lose``, ``double`` or ``delay``.
        seconds: Delay of a delayed message or of the second copy.
        count: Messages still to be affected.
        set_at: Time in seconds at which the fault was set.
    """

    effect: str
    seconds: float
    count: int
    set_at: float


def build_configuration(version: int) -> Any:
    document = {
        "organisations": {f"o{number}": {} for number in range(ORGANISATIONS)},
        "classes": {"chat": {"first_token_ms": 800 + version}},
        "services": {SERVICE: {"kind": "engine"}},
    }
    return {"document": document, "change_id": str(version)}


class FaultyFleet(Timeline):
    """Four routers in two availability zones, three replicas and their network.

    Attributes:
        cut: Availability zone that a partition cuts off, or None.
        healed_at: Time in seconds at which the last partition ended.
        allowed_until: Time in seconds until which a window may be exceeded.
        known_leaving_at: Time in seconds at which the first router knew that an
            incarnation of a replica is leaving.
        started: Identifiers of the calls that were started.
        version: Newest version of the configuration.
        has_failed: Whether a check of a start failed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.options, self.rng = OPTIONS, Random(0)
        self.cut: str | None = None
        self.healed_at = float("-inf")
        self.allowed_until = 0.0
        self.known_leaving_at: dict[tuple[str, int], float] = {}
        self.message_faults: dict[tuple[str, str], MessageFault] = {}
        self.jobs: dict[str, Job] = {}
        self.attempts: dict[str, int] = {}
        self.started: set[str] = set()
        self.version = 0
        self.has_failed = False
        self.replicas = {
            f"m{n}": ReplaceableReplica(f"m{n}", ZONES[n % 2]) for n in range(REPLICAS)
        }
        self.routers: dict[str, FaultyRouter] = {}
        for number in range(ROUTERS):
            self.routers[f"r{number}"] = FaultyRouter(
                self, RouterIdentity(f"r{number}", 1, ZONES[number % 2])
            )
        for number, name in enumerate(self.routers):
            self.open_connections(name)
            self.at(0.05 * number, self.routers[name].tick)

    def open_connections(self, name: str) -> None:
        """Schedules all connections from and to a router to be opened."""
        router = self.routers[name]
        for other in self.routers.values():
            if other is not router:
                router.heard[other.name] = (other.board.identity, 0.0)
                router.pending_connections.add(other.name)
                other.pending_connections.add(name)

    def allow_excess(self, seconds: float) -> None:
        self.allowed_until = max(self.allowed_until, self.now + seconds)

    def is_excess_allowed(self) -> bool:
        return (
            self.cut is not None
            or self.now < self.allowed_until
            or any(router.is_paused for router in self.routers.values())
        )

    # Network.

    def is_cut(self, zone: str, other: str) -> bool:
        return self.cut is not None and (zone == self.cut) != (other == self.cut)

    def can_reach(self, sender: FaultyRouter, name: str) -> bool:
        target = self.routers[name]
        zones = sender.board.identity.zone, target.board.identity.zone
        return target.is_alive and not self.is_cut(*zones)

    def send(self, sender: FaultyRouter, name: str, message: Message) -> None:
        delay = NETWORK_DELAY_SECONDS
        fault = self.message_faults.get((sender.name, name))
        if fault is not None and fault.count > 0:
            fault.count -= 1
            if fault.effect == "lose":
                sender.pending_connections.add(name)
                return
            if fault.effect == "double":
                self.at(self.now + fault.seconds, self.deliver, sender, name, message)
            else:
                delay = fault.seconds
        self.at(self.now + delay, self.deliver, sender, name, message)

    def deliver(self, sender: FaultyRouter, name: str, message: Message) -> None:
        if self.can_reach(sender, name):
            self.routers[name].take(sender.board.identity, message)
        else:
            sender.pending_connections.add(name)

    def disturb(
        self, sender: str, target: str, effect: str, seconds: float, count: int
    ) -> None:
        """Loses, doubles or delays a few messages.

        There are too few of them for the sender to be suspected dead.
        """
        before = self.message_faults.get((sender, target))
        if before is None or self.now - before.set_at >= OPTIONS.suspect_after:
            fault = MessageFault(effect, seconds, count, self.now)
            self.message_faults[sender, target] = fault

    # Requests.

    def arrive(self, router: FaultyRouter, organisation: str, seconds: float) -> None:
        call_id = f"c{next(self.numbers)}"
        request = CallRequest(
            call_id, call_id, organisation, "chat", SERVICE, self.now, self.now + 1.0,
            self.now + 30.0, b"",
        )  # fmt: skip
        self.jobs[call_id] = Job(request, int(seconds * UNITS_PER_SECOND), router)
        router.run_or_defer(partial(self._accept, router, request))

    def _accept(self, router: FaultyRouter, request: CallRequest) -> None:
        router.board.queues.add(request)
        router.dispatch()

    def start(self, router: FaultyRouter, call_id: str, name: str) -> None:
        try:
            self._start(router, call_id, name)
        except AssertionError:
            self.has_failed = True
            raise

    def _start(self, router: FaultyRouter, call_id: str, name: str) -> None:
        job, replica = self.jobs[call_id], self.replicas[name]
        assert router.may_start(name), f"{router.name} started on an expired grant"
        if self.is_cut(router.board.identity.zone, replica.zone):
            self.at(self.now + NETWORK_DELAY_SECONDS, self._fail, job, name)
            return
        self.check_leaving(replica)
        self.started.add(call_id)
        replica.running[call_id] = job
        number = self.attempts[call_id] = self.attempts.get(call_id, 0) + 1
        self._charge(job, UNITS_AT_START)
        seconds = job.cost / UNITS_PER_SECOND
        self.at(self.now + seconds, self.end, job, name, number)
        self.check_window(replica)

    def check_window(self, replica: ReplaceableReplica) -> None:
        if not self.is_excess_allowed():
            running = len(replica.running)
            assert running <= SLOTS, f"{replica.name} runs {running} at {self.now}"

    def check_leaving(self, replica: ReplaceableReplica) -> None:
        key = (replica.name, replica.incarnation)
        known_at = self.known_leaving_at.get(key)
        if replica.is_leaving and known_at is not None:
            # A router on the other side of a partition cannot know before it heals.
            since = max(known_at, self.healed_at)
            assert self.now <= since + LEAVING_LIMIT_SECONDS, f"{key} is leaving"

    def _charge(self, job: Job, units: int) -> None:
        request = job.request
        job.router.board.ledger.charge(SERVICE, request.organisation, units)
        request.charged += units

    def end(self, job: Job, name: str, number: int) -> None:
        call_id = job.request.call_id
        running = self.replicas[name].running
        if running.get(call_id) is job and self.attempts[call_id] == number:
            del running[call_id]
            job.router.run_or_defer(partial(self._finish, job, name))

    def _finish(self, job: Job, name: str) -> None:
        del self.jobs[job.request.call_id]
        self._charge(job, job.cost)
        job.router.board.upstreams.record_success(name, self.now)
        job.router.finish(job, name)
        job.router.dispatch()

    def _fail(self, job: Job, name: str) -> None:
        job.router.run_or_defer(partial(self._retry, job, name))

    def _retry(self, job: Job, name: str) -> None:
        router = job.router
        router.board.upstreams.record_failure(name, self.now)
        router.finish(job, name)
        router.board.queues.put_back(job.request)
        router.dispatch()

    def read_load(self, replica: ReplaceableReplica) -> LoadRow:
        running = len(replica.running)
        rate = running * UNITS_PER_SECOND
        return LoadRow(
            replica.name, replica.incarnation, SLOTS, running, 0, rate,
            replica.is_leaving,
        )  # fmt: skip

    # Faults.

    def partition(self) -> None:
        self.cut = ZONES[1]
        for replica in self.replicas.values():
            for call_id, job in list(replica.running.items()):
                if self.is_cut(job.router.board.identity.zone, replica.zone):
                    del replica.running[call_id]
                    self._fail(job, replica.name)

    def heal(self) -> None:
        if self.cut is not None:
            self.cut = None
            self.healed_at = self.now
            self.allow_excess(SETTLING_SECONDS)

    def kill(self, name: str) -> None:
        """Kills a router; upstreams cancel its requests when their connections end."""
        router = self.routers[name]
        if not router.is_alive:
            return
        router.is_alive = router.is_paused = False
        self.allow_excess(TAKE_OVER_SECONDS)
        for call_id in [key for key, job in self.jobs.items() if job.router is router]:
            del self.jobs[call_id]
            for replica in self.replicas.values():
                replica.running.pop(call_id, None)

    def restart(self, name: str) -> None:
        before = self.routers[name].board.identity
        if self.routers[name].is_alive:
            return
        identity = RouterIdentity(name, before.incarnation + 1, before.zone)
        router = self.routers[name] = FaultyRouter(self, identity)
        self.open_connections(name)
        self.allow_excess(TAKE_OVER_SECONDS)
        self.at(self.now, router.tick)

    def pause(self, name: str, seconds: float, *, is_tick_first: bool) -> None:
        router = self.routers[name]
        if router.is_alive and not router.is_paused:
            router.is_paused = True
            self.at(self.now + seconds, self.resume, router, is_tick_first)

    def resume(self, router: FaultyRouter, is_tick_first: bool) -> None:
        if router.is_paused:
            router.resume(is_tick_first=is_tick_first)
            self.allow_excess(SETTLING_SECONDS)

    def leave(self, name: str) -> None:
        self.replicas[name].is_leaving = True

    def replace(self, name: str) -> None:
        """Restarts a leaving replica as a new incarnation once it runs no request."""
        replica = self.replicas[name]
        if replica.is_leaving and not replica.running:
            replica.incarnation += 1
            replica.is_leaving = False

    def configure(self, router: FaultyRouter, versions_behind: int) -> None:
        """Changes the configuration and lets one router read the table.

        Args:
            router: Router that reads the table.
            versions_behind: Number of versions by which the table that it reads is
                behind.
        """
        self.version += 1
        version = max(self.version - versions_behind, 1)
        value = build_configuration(version)
        router.run_or_defer(lambda: router.versions.offer(version, value) and None)
