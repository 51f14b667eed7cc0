"""CPU time of the decisions of fully connected routers in one process.

Reports pass through the filter, the byte budget and the codec of the control
connections; only the sockets are left out.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import TypeVar

from sequoiamoor.core.actions import Action, Send, SendReport
from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.messages import Grants, Message, Report, Snapshot
from sequoiamoor.core.reports import ByteBudget, ReportFilter
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.net.decoder import Decoder
from sequoiamoor.net.encoder import Encoder
from sequoiamoor.options import Options
from sequoiamoor.policies import create_policy
from sequoiamoor.types import Address, CallRequest, RouterIdentity

SERVICE = "model-0"
SLOTS_PER_REPLICA = 16
ZONES = 3
REPORT_INTERVAL_SECONDS = 0.2
REQUEST_SECONDS = 2.0
TOKENS_PER_SECOND = 40.0

_Result = TypeVar("_Result")


class MeshRouter:
    """A router's blackboard and policy.

    Attributes:
        board: State that the policy reads and changes.
        policy: The policy under measurement.
        running: Running requests, oldest first: the time in seconds at which each
            ends, the request, and the replica.
        budget: Byte budget of the router's messages.
        filters: Filter of the reports to each peer, by router identifier.
        cpu_seconds: CPU time of the work passed to ``measure``.
    """

    def __init__(self, number: int) -> None:
        identity = RouterIdentity(f"router-{number:03}", 1, f"zone-{number % ZONES}")
        options = Options.model_validate({"queue_limit_per_organisation": 1_000_000})
        self.board: Blackboard = create_blackboard(identity, options)
        self.policy = create_policy("arbitrated", rng=Random(number))
        self.running: deque[tuple[float, CallRequest, str]] = deque()
        self.budget = ByteBudget(options)
        self.filters: dict[str, ReportFilter] = {}
        self.cpu_seconds = 0.0

    def measure(self, work: Callable[[], _Result]) -> _Result:
        """Runs work and adds its CPU time to ``cpu_seconds``."""
        began = time.process_time()
        result = work()
        self.cpu_seconds += time.process_time() - began
        return result


class Mesh:
    """A fully connected fleet in which every organisation always has waiting requests.

    Attributes:
        now: Simulated time in seconds.
        bytes_sent: Size of all messages.
        messages_sent: Number of all messages.
        routers: The routers.
    """

    def __init__(self, routers: int, replicas: int, organisations: int) -> None:
        self.now = 100.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self._organisations = [f"organisation-{n:03}" for n in range(organisations)]
        self._call_numbers = iter(range(1, 10**9))
        self.routers = [MeshRouter(number) for number in range(routers)]
        self._by_id = {
            member.board.identity.router_id: member for member in self.routers
        }
        self._codecs = {
            (sender, receiver): (Encoder(), Decoder())
            for sender in self._by_id
            for receiver in self._by_id
            if sender != receiver
        }
        for router in self.routers:
            self._connect(router, replicas)
        self._sequence = 0

    def _connect(self, router: MeshRouter, replicas: int) -> None:
        for peer in self.routers:
            if peer is not router:
                identity = peer.board.identity
                router.board.members[identity.router_id] = identity
        for number in range(replicas):
            replica = Replica(
                f"replica-{number:04}",
                SERVICE,
                f"zone-{number % ZONES}",
                Address("10.1.0.1", number + 1),
            )
            rate = SLOTS_PER_REPLICA * TOKENS_PER_SECOND
            replica.load = LoadReport(
                1, SLOTS_PER_REPLICA, SLOTS_PER_REPLICA, 0, rate, False
            )
            router.board.upstreams.replicas[replica.replica_id] = replica

    def run_interval(self) -> None:
        """Advances all routers by one report interval."""
        for router in self.routers:
            self._refill(router)
            self._finish(router)
            actions = router.measure(
                lambda one=router: one.policy.step(one.board, self.now)
            )
            self._perform(router, actions)
            self._start(router)
            self._report(router)
            self.now += REPORT_INTERVAL_SECONDS / len(self.routers)

    def _refill(self, router: MeshRouter) -> None:
        for name in self._organisations:
            while router.board.queues.count(SERVICE, name) < 2:
                number = next(self._call_numbers)
                call = CallRequest(
                    call_id=f"c{number}",
                    request_id=f"c{number}",
                    organisation=name,
                    class_name="chat",
                    service=SERVICE,
                    arrival=self.now,
                    deadline=self.now + 1,
                    wait_limit_at=self.now + 1_000,
                    body=b"",
                )
                router.board.queues.add(call)

    def _finish(self, router: MeshRouter) -> None:
        while router.running and router.running[0][0] <= self.now:
            _, call, replica_id = router.running.popleft()
            units = REQUEST_SECONDS * TOKENS_PER_SECOND
            router.board.ledger.charge(SERVICE, call.organisation, units)
            call.charged = units
            actions = router.measure(
                lambda one=router, c=call, r=replica_id: one.policy.finish(
                    one.board, c, r, self.now
                )
            )
            self._perform(router, actions)
            self._start(router)

    def _start(self, router: MeshRouter) -> None:
        board = router.board
        while True:
            start = router.measure(
                lambda: router.policy.choose_start(board, SERVICE, self.now)
            )
            if start is None:
                break
            call = board.queues.remove(start.call_id)
            assert call is not None
            ends_at = self.now + REQUEST_SECONDS
            router.running.append((ends_at, call, start.replica_id))
        if board.is_report_due:
            self._report(router)

    def _report(self, router: MeshRouter, only: str | None = None) -> None:
        self._sequence += 1
        board = router.board
        board.report_sequence = self._sequence
        report = router.measure(
            lambda: Report(
                self._sequence,
                1,
                False,
                router.policy.build_counters(board, self.now),
                router.policy.build_slots(board, self.now),
            )
        )
        for peer in self.routers:
            router_id = peer.board.identity.router_id
            if peer is not router and only in (None, router_id):
                part = router.measure(
                    lambda to=router_id: self._filter(router, to, report, only)
                )
                self._deliver(router, peer, part)

    def _filter(
        self, router: MeshRouter, to: str, report: Report, only: str | None
    ) -> Report:
        router.budget.fill(self.now)
        limit = router.budget.find_row_limit(len(self.routers) - 1)
        counters = router.filters.setdefault(to, ReportFilter()).select(
            report.counters, self.now, limit=limit, is_early=only is not None
        )
        return replace(report, counters=counters)

    def _perform(self, router: MeshRouter, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendReport):
                self._report(router, action.router_id)
            elif isinstance(action, Send):
                for peer in self.routers:
                    identity = peer.board.identity
                    if peer is not router and (
                        action.router_id in (None, identity.router_id)
                    ):
                        self._deliver(router, peer, action.message)

    def _deliver(self, sender: MeshRouter, peer: MeshRouter, message: Message) -> None:
        connection = (sender.board.identity.router_id, peer.board.identity.router_id)
        encoder, decoder = self._codecs[connection]
        parts = sender.measure(lambda: encoder.encode(message))
        self.messages_sent += 1
        for part in parts:
            self.bytes_sent += len(part)
            sender.budget.spend(len(part))
            for received in peer.measure(lambda data=part: decoder.feed(data)):
                self._handle_message(peer, sender.board.identity, received)

    def _handle_message(
        self, router: MeshRouter, sender: RouterIdentity, message: Message
    ) -> None:
        board, policy, now = router.board, router.policy, self.now
        actions: list[Action] = []
        if isinstance(message, Report):
            actions = router.measure(
                lambda: policy.take_report(board, sender, message, now)
            )
        elif isinstance(message, Grants):
            actions = router.measure(
                lambda: policy.take_grants(board, sender, message, now)
            )
        elif isinstance(message, Snapshot):
            router.measure(lambda: policy.take_snapshot(board, message))
        self._perform(router, actions)
        self._start(router)


def measure_mesh(
    routers: int, replicas: int, organisations: int, *, seconds: float = 4.0
) -> dict[str, float]:
    """Returns the mean figures of one router per second of simulated time.

    Args:
        routers: Number of routers.
        replicas: Number of replicas.
        organisations: Number of organisations.
        seconds: Measured simulated time, after a warm-up.
    """
    mesh = Mesh(routers, replicas, organisations)
    warm_up = round(3.0 / REPORT_INTERVAL_SECONDS)
    for _ in range(warm_up):
        mesh.run_interval()
    for router in mesh.routers:
        router.cpu_seconds = 0.0
    mesh.bytes_sent = mesh.messages_sent = 0
    for _ in range(round(seconds / REPORT_INTERVAL_SECONDS)):
        mesh.run_interval()
    cpu = sum(router.cpu_seconds for router in mesh.routers)
    running = sum(len(router.running) for router in mesh.routers)
    return {
        "cpu_percent": 100 * cpu / routers / seconds,
        # Each byte that one router sends is received by another.
        "bytes_per_second": 2 * mesh.bytes_sent / routers / seconds,
        "messages_per_second": 2 * mesh.messages_sent / routers / seconds,
        "used_slots": running / (replicas * SLOTS_PER_REPLICA),
    }
