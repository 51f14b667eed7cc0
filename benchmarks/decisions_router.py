"""An in-memory router, and the requests and replicas that it handles."""

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
    """A replica that runs all requests at once.

    With more requests than slots, all of them get slower.

    Attributes:
        name: Identifier of the replica.
        zone: Its availability zone.
        running: Requests under way, by call identifier.
        loads: Load reports of the replica.
    """

    name: str
    zone: str
    running: dict[str, Job] = field(default_factory=dict)
    loads: list[LoadReport] = field(default_factory=list)


@dataclass(slots=True)
class Job:
    """A request and its progress.

    Attributes:
        request: The request.
        cost: Tokens that the request needs.
        router: Router at which the request arrived.
        generated_tokens: Tokens generated so far.
        first_token_at: Time in seconds of the first token, or None.
    """

    request: CallRequest
    cost: int
    router: FakeRouter
    generated_tokens: float = 0.0
    first_token_at: float | None = None


class FakeRouter:
    """A policy, with the message handling that control connections do for it.

    Attributes:
        fleet: The fleet, which carries messages and runs requests.
        board: State that the policy reads and changes.
        policy: The dispatch policy.
        name: Router identifier.
        is_alive: Whether the router has not been killed.
        heard: Identity of each peer and the time in seconds of its last message, by
            router identifier.
        sent_rows: Rows last sent to each peer, by router identifier and row key. A
            report carries only the rows that differ from them.
        due: Peers to which the next report goes before the next tick.
        flushed_at: Time in seconds of the last report.
        policy_seconds: Wall-clock seconds spent in the policy.
    """

    def __init__(self, fleet: Fleet, identity: RouterIdentity, policy: str) -> None:
        self.fleet = fleet
        self.board = create_blackboard(identity, fleet.options)
        self.policy = create_policy(policy, rng=Random(fleet.rng.random()))
        self.name = identity.router_id
        self.is_alive = True
        self.heard: dict[str, tuple[RouterIdentity, float]] = {}
        self.sent_rows: dict[str, dict[Any, Any]] = {}
        self.due: set[str] = set()
        self.flushed_at = 0.0
        self.policy_seconds = 0.0
        for replica in fleet.replicas.values():
            self.board.upstreams.replicas[replica.name] = Replica(
                replica.name, SERVICE, replica.zone, Address("127.0.0.1", 1)
            )

    def call_timed(self, function: Callable[..., Any], *args: Any) -> Any:
        """Calls a function and adds the elapsed time to ``policy_seconds``."""
        start = time.perf_counter()
        try:
            return function(*args)
        finally:
            self.policy_seconds += time.perf_counter() - start

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Sends the messages, and schedules the reports, that a policy asked for."""
        for action in actions:
            if isinstance(action, Send):
                router_ids = (
                    [action.router_id] if action.router_id else list(self.heard)
                )
                for router_id in router_ids:
                    self.fleet.send(self, router_id, action.message)
            elif isinstance(action, SendReport):
                self.schedule_report(
                    [action.router_id] if action.router_id else self.heard
                )
        self.schedule_requested_report()

    def schedule_requested_report(self) -> None:
        if self.board.is_report_due:
            self.board.is_report_due = False
            self.schedule_report(self.heard)

    def schedule_report(self, router_ids: Iterable[str]) -> None:
        """Schedules a report to some peers, at most one per flush interval."""
        if not self.due:
            flush_interval = self.fleet.options.flush_interval
            when = max(self.fleet.now, self.flushed_at + flush_interval)
            self.fleet.at(when, self.flush)
        self.due.update(router_ids)

    def flush(self) -> None:
        if self.due and self.is_alive:
            self.send_report(sorted(self.due))

    def send_report(self, names: Iterable[str]) -> None:
        """Sends each peer the rows that have changed since the last report to it."""
        now = self.fleet.now
        self.due, self.flushed_at = set(), now
        self.board.report_sequence += 1
        counters = self.call_timed(self.policy.build_counters, self.board, now)
        slots = self.call_timed(self.policy.build_slots, self.board, now)
        for name in names:
            last_rows = self.sent_rows.setdefault(name, {})
            rows: list[list[Any]] = [[], []]
            for table, current_rows in enumerate((counters, slots)):
                for row in current_rows:
                    key = (row.organisation,) if table == 0 else row.replica_id
                    if last_rows.get(key) != row:
                        last_rows[key] = row
                        rows[table].append(row)
            report = Report(
                self.board.report_sequence, 1, False, tuple(rows[0]), tuple(rows[1])
            )
            self.fleet.send(self, name, report)

    def tick(self) -> None:
        """Updates the membership, runs the policy's periodic step and reports."""
        if not self.is_alive:
            return
        now, options = self.fleet.now, self.fleet.options
        self.board.members = {
            name: identity
            for name, (identity, heard_at) in self.heard.items()
            if now - heard_at < options.suspect_after
            and identity not in self.fleet.find_ended()
        }
        self.board.ended = self.fleet.find_ended()
        self.board.unreachable = self.fleet.find_unreachable(self.board.identity)
        self.carry_out(self.call_timed(self.policy.step, self.board, now))
        self.send_report([peer for peer in self.fleet.routers if peer != self.name])
        self.dispatch()
        self.fleet.at(now + options.report_interval, self.tick)

    def take(self, sender: RouterIdentity, message: Message) -> None:
        """Handles a message; a new peer is sent a snapshot first."""
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
            self.carry_out(
                self.call_timed(policy.take_report, board, sender, message, now)
            )
        elif isinstance(message, Grants):
            self.carry_out(
                self.call_timed(policy.take_grants, board, sender, message, now)
            )
        elif isinstance(message, Snapshot):
            self.call_timed(policy.take_snapshot, board, message)
        self.dispatch()

    def dispatch(self) -> None:
        """Starts waiting requests for as long as the policy allows."""
        while True:
            start = self.call_timed(
                self.policy.choose_start, self.board, SERVICE, self.fleet.now
            )
            if start is None:
                break
            self.board.queues.remove(start.call_id)
            self.board.upstreams.replicas[start.replica_id].in_use += 1
            self.fleet.start(self, start.call_id, start.replica_id)
        self.schedule_requested_report()

    def finish(self, job: Job, replica: str) -> None:
        """Frees the slot of a request that ended and informs the policy."""
        self.board.upstreams.replicas[replica].in_use -= 1
        self.carry_out(
            self.call_timed(
                self.policy.finish, self.board, job.request, replica, self.fleet.now
            )
        )
