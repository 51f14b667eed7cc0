"""A router of the fleet in memory, and the requests and replicas it deals with."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from sequoiamoor.core.actions import Action, Send, SendReport
from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.messages import Grants, Message, Report, Snapshot
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.policies import create_policy
from sequoiamoor.types import Address, CallRequest, RouterIdentity

if TYPE_CHECKING:
    from .decisions_fleet import Fleet

SERVICE = "lane-talk"


@dataclass(slots=True)
class FakeReplica:
    """Runs all requests at once; beyond its slots each one gets slower."""

    name: str
    zone: str
    running: dict[str, Job] = field(default_factory=dict)
    loads: list[LoadReport] = field(default_factory=list)


@dataclass(slots=True)
class Job:
    """One request and what is left of it."""

    request: CallRequest
    cost: int
    router: FakeRouter
    done: float = 0.0
    first_at: float | None = None


class FakeRouter:
    """A policy with the message handling that the control connections do."""

    def __init__(self, fleet: Fleet, identity: RouterIdentity, policy: str) -> None:
        self.fleet = fleet
        self.board = create_blackboard(identity, fleet.options)
        self.policy = create_policy(policy, rng=Random(fleet.rng.random()))
        self.name = identity.router_id
        self.is_alive = True
        self.heard: dict[str, tuple[RouterIdentity, float]] = {}
        self.sent: dict[str, dict[Any, Any]] = {}
        self.due: set[str] = set()
        self.flushed_at = 0.0
        self.busy = 0.0
        for one in fleet.replicas.values():
            self.board.upstreams.replicas[one.name] = Replica(
                one.name, SERVICE, one.zone, Address("127.0.0.1", 1)
            )

    def timed(self, function: Callable[..., Any], *args: Any) -> Any:
        start = time.perf_counter()
        try:
            return function(*args)
        finally:
            self.busy += time.perf_counter() - start

    def carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                names = [action.router_id] if action.router_id else list(self.heard)
                for name in names:
                    self.fleet.send(self, name, action.message)
            elif isinstance(action, SendReport):
                self.make_due([action.router_id] if action.router_id else self.heard)
        self.check_due()

    def check_due(self) -> None:
        if self.board.is_report_due:
            self.board.is_report_due = False
            self.make_due(self.heard)

    def make_due(self, names: Iterable[str]) -> None:
        if not self.due:
            flush = self.fleet.options.flush_interval
            when = max(self.fleet.now, self.flushed_at + flush)
            self.fleet.at(when, self.flush)
        self.due.update(names)

    def flush(self) -> None:
        if self.due and self.is_alive:
            self.send_report(sorted(self.due))

    def send_report(self, names: Iterable[str]) -> None:
        now = self.fleet.now
        self.due, self.flushed_at = set(), now
        self.board.report_sequence += 1
        counters = self.timed(self.policy.build_counters, self.board, now)
        slots = self.timed(self.policy.build_slots, self.board, now)
        for name in names:
            sent = self.sent.setdefault(name, {})
            rows: list[list[Any]] = [[], []]
            for part, found in enumerate((counters, slots)):
                for row in found:
                    key = (row.organisation,) if part == 0 else row.replica_id
                    if sent.get(key) != row:
                        sent[key] = row
                        rows[part].append(row)
            report = Report(
                self.board.report_sequence, 1, False, tuple(rows[0]), tuple(rows[1])
            )
            self.fleet.send(self, name, report)

    def tick(self) -> None:
        if not self.is_alive:
            return
        now, options = self.fleet.now, self.fleet.options
        self.board.members = {
            name: identity
            for name, (identity, at) in self.heard.items()
            if now - at < options.suspect_after
            and identity not in self.fleet.find_ended()
        }
        self.board.ended = self.fleet.find_ended()
        self.board.unreachable = self.fleet.find_unreachable(self.board.identity)
        self.carry_out(self.timed(self.policy.step, self.board, now))
        self.send_report([one for one in self.fleet.routers if one != self.name])
        self.dispatch()
        self.fleet.at(now + options.report_interval, self.tick)

    def take(self, sender: RouterIdentity, message: Message) -> None:
        if not self.is_alive:
            return
        now, board, policy = self.fleet.now, self.board, self.policy
        is_new = sender.router_id not in board.members
        self.heard[sender.router_id] = (sender, now)
        if is_new:
            board.members[sender.router_id] = sender
            snapshot = policy.build_snapshot(board)
            self.fleet.send(self, sender.router_id, snapshot)
        if isinstance(message, Report):
            self.carry_out(self.timed(policy.apply_report, board, sender, message, now))
        elif isinstance(message, Grants):
            self.carry_out(self.timed(policy.apply_grants, board, sender, message, now))
        elif isinstance(message, Snapshot):
            self.timed(policy.merge_snapshot, board, message)
        self.dispatch()

    def dispatch(self) -> None:
        while True:
            start = self.timed(
                self.policy.choose_start, self.board, SERVICE, self.fleet.now
            )
            if start is None:
                break
            self.board.queues.remove(start.call_id)
            self.board.upstreams.replicas[start.replica_id].in_use += 1
            self.fleet.start(self, start.call_id, start.replica_id)
        self.check_due()

    def finish(self, job: Job, replica: str) -> None:
        self.board.upstreams.replicas[replica].in_use -= 1
        self.carry_out(
            self.timed(
                self.policy.finish, self.board, job.request, replica, self.fleet.now
            )
        )
