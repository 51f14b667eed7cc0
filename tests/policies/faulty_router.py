"""An in-memory router that handles control messages and can be paused."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from benchmarks.decisions_router import FakeRouter
from sequoiamoor.core.configuration_versions import ConfigurationVersions
from sequoiamoor.core.membership import Membership
from sequoiamoor.core.messages import (
    Configuration,
    ConfigurationRequest,
    Grants,
    LoadRow,
    Loads,
    Message,
    Report,
    Snapshot,
    UpstreamState,
)
from sequoiamoor.core.rendezvous import choose_router
from sequoiamoor.core.upstreams import LoadReport
from sequoiamoor.types import RouterIdentity

if TYPE_CHECKING:
    from .faulty_fleet import FaultyFleet


class FaultyRouter(FakeRouter):
    """A router that can be paused, killed, and cut off.

    Messages are passed on undivided: reports carry all rows, as the decoder of a
    connection returns them after it has applied the differences.

    Attributes:
        deferred_work: Work that arrived while the router was paused.
        pending_connections: Peers to which a connection has yet to be opened.
        valid_until: Time in seconds at which the grants of each replica expire, kept
            independently of the policy.
    """

    fleet: FaultyFleet

    def __init__(self, fleet: FaultyFleet, identity: RouterIdentity) -> None:
        super().__init__(fleet, identity, "arbitrated")
        self.membership = Membership(identity, fleet.options)
        self.versions = ConfigurationVersions(self.board.configuration)
        self.is_paused = False
        self.deferred_work: list[Callable[[], None]] = []
        self.is_tick_due = False
        self.stepped_at = float("-inf")
        self.pending_connections: set[str] = set()
        self.valid_until: dict[str, float] = {}
        self.report_built_at: dict[int, float] = {}
        self.load_due: dict[str, float] = {}
        self.last_slot_rows: tuple[object, ...] = ()

    def run_or_defer(self, work: Callable[[], None]) -> None:
        """Runs work now, or at the end of the pause if the router is paused."""
        if self.is_alive:
            if self.is_paused:
                self.deferred_work.append(work)
            else:
                work()

    def resume(self, *, is_tick_first: bool) -> None:
        """Ends a pause; timers and received messages may be handled in either order."""
        self.is_paused = False
        deferred_work, self.deferred_work = self.deferred_work, []
        steps = [self._run_missed_tick, lambda: [work() for work in deferred_work]]
        for step in steps if is_tick_first else reversed(steps):
            step()
        self.flush()

    def _run_missed_tick(self) -> None:
        if self.is_tick_due:
            self.is_tick_due = False
            self.tick()

    def flush(self) -> None:
        if not self.is_paused:
            super().flush()

    def tick(self) -> None:
        if not self.is_alive:
            return
        if self.is_paused:
            self.is_tick_due = True
            return
        now = self.fleet.now
        self.update_members()
        for name in sorted(self.pending_connections):
            self.open_connection(name)
        self.poll_loads()
        actions = self.policy.step(self.board, now)
        self.stepped_at = now
        self.record_own_validity()
        self.request_configuration()
        self.carry_out(actions)
        self.send_report(sorted(self.heard))
        self.dispatch()
        self.fleet.at(now + self.fleet.options.report_interval, self.tick)

    def update_members(self) -> None:
        self.membership.step(self.fleet.now)
        self.board.members = self.membership.live()

    def open_connection(self, name: str) -> None:
        if self.fleet.can_reach(self, name):
            self.pending_connections.discard(name)
            self.fleet.send(self, name, self.policy.build_snapshot(self.board))
            for replica in self.board.upstreams.replicas.values():
                if replica.is_leaving:
                    state = UpstreamState(replica.replica_id, replica.incarnation, True)
                    self.fleet.send(self, name, state)

    def send_report(self, names: Iterable[str]) -> None:
        now, board = self.fleet.now, self.board
        self.due, self.flushed_at = set(), now
        board.report_sequence += 1
        self.report_built_at[board.report_sequence] = now
        counters = self.policy.build_counters(board, now)
        slots = self.policy.build_slots(board, now)
        if slots == self.last_slot_rows:
            # A decoder returns the same tuple as long as no row changes.
            slots = self.last_slot_rows
        self.last_slot_rows = slots
        report = Report(
            board.report_sequence, board.configuration.version, False, counters, slots
        )
        for name in names:
            self.fleet.send(self, name, report)

    def poll_loads(self) -> None:
        """Reads the load of the replicas that this router is responsible for."""
        members = [self.board.identity, *self.board.members.values()]
        for replica in self.fleet.replicas.values():
            now = self.fleet.now
            if (
                now < self.load_due.get(replica.name, 0.0)
                or choose_router(replica.name, replica.zone, members)
                != self.board.identity
                or self.fleet.is_cut(self.board.identity.zone, replica.zone)
            ):
                continue
            self.load_due[replica.name] = now + self.fleet.options.load_poll_interval
            row = self.fleet.read_load(replica)
            self.apply_load(row)
            for name in self.heard:
                self.fleet.send(self, name, Loads((row,)))

    def apply_load(self, row: LoadRow) -> None:
        load = LoadReport(
            row.incarnation,
            row.slots,
            row.running,
            row.queued,
            row.token_rate,
            row.is_leaving,
        )
        upstreams = self.board.upstreams
        if upstreams.record_load(row.replica_id, load, self.fleet.now):
            self.announce_leaving(row.replica_id)

    def announce_leaving(self, replica_id: str) -> None:
        replica = self.board.upstreams.replicas[replica_id]
        key = (replica_id, replica.incarnation)
        self.fleet.known_leaving_at.setdefault(key, self.fleet.now)
        for name in self.heard:
            state = UpstreamState(replica_id, replica.incarnation, True)
            self.fleet.send(self, name, state)

    def request_configuration(self) -> None:
        source = self.versions.choose_source(self.fleet.now)
        if source is not None:
            request = ConfigurationRequest(self.board.configuration.version)
            self.fleet.send(self, source, request)

    def take(self, sender: RouterIdentity, message: Message) -> None:
        self.run_or_defer(partial(self.handle_message, sender, message))

    def handle_message(self, sender: RouterIdentity, message: Message) -> None:
        now, board, policy = self.fleet.now, self.board, self.policy
        if not self.membership.record_message(sender, now):
            return
        match message:
            case Report():
                self.versions.record_peer_version(
                    sender.router_id, message.configuration_version
                )
                if self.versions.is_wanted(message.configuration_version):
                    self.request_configuration()
                if sender.router_id not in board.members:
                    self.update_members()
                self.carry_out(policy.apply_report(board, sender, message, now))
            case Grants():
                self.record_validity(message)
                self.carry_out(policy.apply_grants(board, sender, message, now))
            case Snapshot():
                policy.merge_snapshot(board, message)
            case Loads(rows):
                for row in rows:
                    self.apply_load(row)
            case UpstreamState(replica_id, incarnation, is_leaving):
                if board.upstreams.apply_peer_state(
                    replica_id, incarnation, is_leaving=is_leaving
                ):
                    self.announce_leaving(replica_id)
            case ConfigurationRequest(version):
                state = board.configuration
                if state.version > version:
                    reply = Configuration(state.version, state.document)
                    self.fleet.send(self, sender.router_id, reply)
            case Configuration(version, document):
                self.versions.offer(version, document)
        self.record_own_validity()
        self.dispatch()

    def record_validity(self, grants: Grants) -> None:
        report_built_at = self.report_built_at.get(grants.acknowledged, float("-inf"))
        for row in grants.rows:
            end = report_built_at + self.fleet.options.grant_expiry
            before = self.valid_until.get(row.replica_id, float("-inf"))
            self.valid_until[row.replica_id] = max(before, end)

    def may_start(self, replica_id: str) -> bool:
        """Returns whether the router holds a valid grant, by ``valid_until``."""
        return self.fleet.now < self.valid_until.get(replica_id, float("-inf"))

    def record_own_validity(self) -> None:
        """Records the expiry of the slots that the router grants itself as an arbiter.

        A router that did not run for long enough to be suspected may have been
        replaced as arbiter, and grants nothing before its next step.
        """
        now, options = self.fleet.now, self.fleet.options
        if now - self.stepped_at <= options.suspect_after:
            for replica_id in self.policy._get_arbiter(self.board).replica_ids():
                self.valid_until[replica_id] = now + options.grant_expiry
