"""Simulated routers whose decisions at fixed times become lines of text."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from sequoiamoor.core.actions import Action, Refuse, Send, SendReport, Start
from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.configuration_versions import ConfigurationVersions, apply_targets
from sequoiamoor.core.drain import Drain
from sequoiamoor.core.messages import Grants, Message, Report, Snapshot
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.options import Options
from sequoiamoor.policies import Policy, create_policy
from sequoiamoor.types import Address, CallRequest, RouterIdentity

INTERVAL_MS = 200
SERVICE = "talk"
ZONES = ("zone-a", "zone-b")
SLOTS = 2


def build_document(**targets: int) -> dict[str, Any]:
    return {
        "organisations": {name: {} for name in ("a", "b", "c")},
        "classes": {
            name: {"first_token_ms": target} for name, target in targets.items()
        },
        "services": {SERVICE: {"kind": "engine"}},
    }


@dataclass
class SimulatedRouter:
    """One simulated router of a session.

    Attributes:
        running: Call and replica identifier by call identifier.
        sequence: Number of its last report.
    """

    board: Blackboard
    policy: Policy
    versions: ConfigurationVersions
    drain: Drain
    running: dict[str, tuple[CallRequest, str]] = field(default_factory=dict)
    sequence: int = 0


class Session:
    """Routers and shared replicas in simulated time; every decision becomes a line.

    Attributes:
        lines: Decisions so far, each with its time in seconds.
        now_ms: Simulated time in milliseconds.
        partitioned: Names of routers that exchange no messages with each other.
    """

    def __init__(self, routers: int) -> None:
        self.lines: list[str] = []
        self.now_ms = 10_000
        self.routers: dict[str, SimulatedRouter] = {}
        self.partitioned: set[str] = set()
        for number in range(routers):
            self._add_router(number)
        self.update_members()

    @property
    def now(self) -> float:
        return self.now_ms / 1000

    def write(self, text: str) -> None:
        self.lines.append(f"{(self.now_ms - 10_000) / 1000:6.3f} {text}")

    def _add_router(self, number: int) -> None:
        name = f"router-{number}"
        options = Options.model_validate({})
        identity = RouterIdentity(name, 1, ZONES[number % len(ZONES)])
        board = create_blackboard(identity, options)
        versions = ConfigurationVersions(board.configuration)
        versions.offer(1, {"document": build_document(chat=800, summary=9_000)})
        drain = Drain(limit=60.0, min_drain_seconds=0.4, max_record_wait_seconds=3.0)
        policy = create_policy("arbitrated", rng=Random(number))
        self.routers[name] = SimulatedRouter(board, policy, versions, drain)
        for other in range(len(ZONES)):
            replica = Replica(
                f"talk-{other}", SERVICE, ZONES[other], Address("10.0.0.1", 1 + other)
            )
            replica.load = LoadReport(1, SLOTS, 0, 0, 100.0, False)
            board.upstreams.replicas[replica.replica_id] = replica

    def update_members(self) -> None:
        for name, router in self.routers.items():
            router.board.members.clear()
            for other, peer in self.routers.items():
                if other != name:
                    router.board.members[other] = peer.board.identity

    def kill(self, name: str) -> None:
        """Removes a router; its peers learn of it when their members are updated."""
        self.write(f"{name} is killed")
        del self.routers[name]

    def arrive(
        self, name: str, call_id: str, organisation: str, class_name: str = "chat"
    ) -> None:
        router = self.routers[name]
        declaration = router.board.configuration.declaration
        assert declaration is not None
        target = declaration.classes[class_name].target_seconds
        call = CallRequest(
            call_id=call_id,
            request_id=call_id,
            organisation=organisation,
            class_name=class_name,
            service=SERVICE,
            arrival=self.now,
            deadline=self.now + target,
            wait_limit_at=self.now + 30,
            body=b"",
        )
        if router.drain.is_leaving:
            self.write(f"{name} refuses {call_id}: leaving")
            return
        router.board.queues.add(call)
        self.write(f"{name} queues {call_id} of {organisation}/{class_name}")
        self._start(name)

    def finish(self, call_id: str, units: int) -> None:
        for name, router in list(self.routers.items()):
            if call_id not in router.running:
                continue
            call, replica_id = router.running.pop(call_id)
            router.board.ledger.charge(SERVICE, call.organisation, units)
            call.charged = units
            self.write(f"{name} finishes {call_id} after {units} units")
            actions = router.policy.finish(router.board, call, replica_id, self.now)
            self._perform(name, actions)
            self._start(name)

    def configure(self, name: str, version: int, document: dict[str, Any]) -> None:
        router = self.routers[name]
        outcome = router.versions.offer(version, {"document": document})
        if outcome == "adopted":
            apply_targets(router.board)
        self.write(
            f"{name} is offered version {version}: {outcome}, "
            f"in force {router.board.configuration.version}"
        )

    def stop(self, name: str) -> None:
        router = self.routers[name]
        router.drain.take_signal(self.now)
        router.board.is_leaving = router.drain.is_leaving
        self.write(f"{name} is told to stop")

    def run(self, milliseconds: int) -> None:
        """Advances the time; every router sends a report at each interval."""
        end = self.now_ms + milliseconds
        while self.now_ms < end:
            self.now_ms += INTERVAL_MS
            for name in list(self.routers):
                self._step(name)

    def _step(self, name: str) -> None:
        router = self.routers[name]
        actions = router.policy.step(router.board, self.now)
        self._perform(name, actions)
        self._report(name)
        self._start(name)
        in_service = len(router.running) + len(router.board.queues)
        end = router.drain.find_end_reason(self.now, in_service=in_service)
        if end is not None:
            self.write(f"{name} ends: {end}")
            del self.routers[name]
            self.update_members()

    def _report(self, name: str) -> None:
        router = self.routers[name]
        router.sequence += 1
        router.board.report_sequence = router.sequence
        report = Report(
            router.sequence,
            router.board.configuration.version,
            router.board.is_leaving,
            router.policy.build_counters(router.board, self.now),
            router.policy.build_slots(router.board, self.now),
        )
        self._broadcast(name, report)

    def _broadcast(self, name: str, message: Message) -> None:
        for other in list(self.routers):
            if other != name:
                self._deliver(name, other, message)

    def _deliver(self, name: str, other: str, message: Message) -> None:
        if {name, other} <= self.partitioned or other not in self.routers:
            return
        router = self.routers[other]
        sender = self.routers[name].board.identity
        actions: list[Action] = []
        if isinstance(message, Report):
            actions = router.policy.apply_report(
                router.board, sender, message, self.now
            )
        elif isinstance(message, Grants):
            for row in message.rows:
                self.write(
                    f"{name} grants {other} {row.replica_id}: {row.granted} granted, "
                    f"{row.recalled} recalled"
                )
            actions = router.policy.apply_grants(
                router.board, sender, message, self.now
            )
        elif isinstance(message, Snapshot):
            router.policy.merge_snapshot(router.board, message)
        self._perform(other, actions)
        self._start(other)

    def _perform(self, name: str, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(None, message):
                    self._broadcast(name, message)
                case Send(router_id, message):
                    assert router_id is not None
                    self._deliver(name, router_id, message)
                case SendReport():
                    self._report(name)
                case Start() | Refuse():
                    self.write(f"{name} returned {action}")

    def _start(self, name: str) -> None:
        router = self.routers[name]
        while True:
            start = router.policy.choose_start(router.board, SERVICE, self.now)
            if start is None:
                break
            call = router.board.queues.remove(start.call_id)
            assert call is not None
            router.running[call.call_id] = (call, start.replica_id)
            self.write(f"{name} starts {start.call_id} at {start.replica_id}")
        if router.board.is_report_due:
            self._report(name)
