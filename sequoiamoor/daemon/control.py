"""Exchange of state between routers, and its effect on the blackboard."""

from __future__ import annotations

import ipaddress
import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from random import Random

import curio

from ..core.actions import Action, Send, SendReport
from ..core.blackboard import Blackboard
from ..core.configuration_versions import (
    ConfigurationVersions,
    OfferResult,
    apply_targets,
)
from ..core.membership import LinkState, Membership, MemberState
from ..core.messages import (
    ColdReplicas,
    ColdRow,
    Configuration,
    ConfigurationRequest,
    Confirmation,
    EvacuationRow,
    Evacuations,
    FeedStatus,
    Grants,
    Hello,
    LoadRow,
    Loads,
    Message,
    PartCaseRow,
    PartCases,
    Report,
    Snapshot,
    Sum,
    UpstreamList,
    UpstreamRow,
    UpstreamState,
)
from ..core.part_cases import PartCase
from ..core.placement import find_tree_position
from ..core.reports import ByteBudget, find_report_interval
from ..core.statements import ReplicaProcess
from ..core.sums import ReportSums
from ..core.upstreams import ListedUpstream, LoadReport, Replica
from ..metrics import Metrics
from ..net.peers import Peers
from ..net.wakeup import Wakeup
from ..policies import Policy
from ..settings import RouterSettings
from ..types import (
    Address,
    ReplicaId,
    RouterId,
    RouterIdentity,
    ServiceName,
)
from .usage import ControlUsage

_LOG = logging.getLogger(__name__)

MEMBER_UPDATES_PER_REPORT = 5
"""Scans of all members within one report interval. In a large fleet, which reports less
often, a scan in every step would take more time than the reports."""

Dispatch = Callable[[ServiceName], Awaitable[None]]
HandleCases = Callable[[list[PartCase], RouterId], Awaitable[None]]


async def _ignore_cases(cases: list[PartCase], source: RouterId) -> None:
    """Ignores cases of prompt parts."""


class Control:
    """Exchanges state with the other routers and keeps the blackboard up to date.

    Attributes:
        membership: Other routers and how they are reached.
        versions: Configuration versions of this router and its peers.
        handle_confirmation: Called with the confirmations of readers of the store.
        handle_loads: Called with load reports that peers read from answers; None if
            replicas are polled for them.
        handle_feed_status: Called with the status of a peer's feeds of the store and
            its sender.
        handle_cases: Called with cases of prompt parts and the router that sent them.
        list_cases: Returns the cases that a router that has connected needs.
        handle_evacuations: Called with evacuations and the router that sent them.
        list_evacuations: Returns the rows that a router that has connected needs.
        handle_cold: Called with cold replicas and the router that sent them.
        list_cold: Returns the rows that a router that has connected needs.
    """

    def __init__(
        self,
        board: Blackboard,
        policy: Policy,
        metrics: Metrics,
        *,
        settings: RouterSettings,
        rng: Random,
        usage: ControlUsage | None = None,
        connection_limit: int | None = None,
    ) -> None:
        self._usage = usage or ControlUsage(metrics.control_cpu.inc)
        self._board = board
        self._policy = policy
        self._metrics = metrics
        self._options = board.options
        self.membership = Membership(
            board.identity,
            board.options,
            fixed=tuple(peer.to_address() for peer in settings.peers),
        )
        self.versions = ConfigurationVersions(board.configuration)
        self._peers = Peers(
            settings.control.to_address(),
            handler=self,
            options=board.options,
            metrics=metrics,
            rng=rng,
            fleet=settings.fleet_name,
            connection_limit=connection_limit,
        )
        self._fleet = settings.fleet_name
        self._sums = ReportSums(board.identity, board.ledger)
        self._counter_message_count = 0
        self._sequence = 0
        self._byte_budget = ByteBudget(board.options)
        self._early_report_peers: set[RouterId] = set()
        self._is_report_to_all_due = False
        self._is_flush_due = False
        self._flushed_at = self._reported_at = float("-inf")
        self._members_updated_at = float("-inf")
        self._wakeup = Wakeup()
        self._services_to_dispatch: set[ServiceName] = set()
        self._dispatch_due = curio.Event()
        self.handle_confirmation: Callable[[Confirmation], None] = lambda _: None
        self.handle_feed_status: Callable[[FeedStatus, RouterId], None] = lambda *_: (
            None
        )
        self._feed_status_readers: dict[RouterId, RouterIdentity] = {}
        self.handle_cases: HandleCases = _ignore_cases
        self.handle_loads: Callable[[Iterable[LoadRow]], None] | None = None
        self.list_cases: Callable[[], Iterable[PartCase]] = tuple
        self.handle_evacuations: Callable[[Evacuations, RouterId], None] = (
            lambda message, source: None
        )
        self.list_evacuations: Callable[[], Iterable[EvacuationRow]] = tuple
        self.handle_cold: Callable[[ColdReplicas, RouterId], None] = (
            lambda message, source: None
        )
        self.list_cold: Callable[[], Iterable[ColdRow]] = tuple

    def bind(self) -> Address:
        """Listens for other routers and returns the address.

        Raises:
            OSError: If the control address of the settings cannot be used.
        """
        address = self._peers.bind()
        if not ipaddress.ip_address(address.host).is_unspecified:
            # Peers cannot connect to the wildcard address; they read the address of
            # this router from the VM list.
            self.membership.own_address = address
        return address

    async def run(self, dispatch: Dispatch) -> None:
        """Exchanges messages until cancelled, or until one of its tasks ends.

        Args:
            dispatch: Starts the waiting calls of a service.

        Raises:
            Exception: The exception of the task that failed.
        """
        async with curio.TaskGroup(wait=any) as tasks:
            self._dispatch = dispatch
            await tasks.spawn(self._peers.run)
            await tasks.spawn(self._run_steps)
            await tasks.spawn(self._flush_on_demand)
            await tasks.spawn(self._dispatch_on_reports)
        if tasks.completed is not None and tasks.completed.exception is not None:
            raise tasks.completed.exception

    # Called by the rest of the router.

    @property
    def open_count(self) -> int:
        """Number of connections from and to other routers."""
        return self._peers.open_count

    @property
    def unsent_bytes(self) -> int:
        """Encoded bytes that are not yet written to the sockets of the peers."""
        return self._peers.unsent_bytes

    def perform(self, actions: Iterable[Action]) -> None:
        """Carries out actions of the policy without waiting for the next interval.

        Messages are sent at once, or ``flush_interval`` seconds after the last flush.
        A report that the policy marked as due on the blackboard is sent too, even if
        there is no action.
        """
        for action in actions:
            match action:
                case SendReport(None):
                    self._is_report_to_all_due = True
                case SendReport(str(router_id)):
                    self._early_report_peers.add(router_id)
                case Send(router_id, message):
                    self._send(message, router_id)
                case _:
                    _LOG.error(
                        "unknown policy action ignored", extra={"reason": repr(action)}
                    )
        self._flush_if_due()

    def report_leaving(self) -> None:
        """Tells all peers at once that this router is leaving."""
        now = time.monotonic()
        self._report_to_all(now)
        self._flush(now)

    def offer_configuration(self, version: int, value: object, source: str) -> None:
        """Applies a configuration received from the platform or a peer, if newer."""
        result = self.versions.offer(version, value)
        extra: dict[str, object] = {"version": version, "peer": source}
        reason = self.versions.refused_reason
        if result is OfferResult.REFUSED:
            self._metrics.configurations_refused.inc()
            _LOG.error(
                "invalid configuration rejected", extra={**extra, "reason": reason}
            )
        elif result is OfferResult.ADOPTED_IN_PART:
            self._metrics.configurations_refused.inc()
            _LOG.error(
                "invalid entries of the configuration not used",
                extra={**extra, "reason": reason},
            )
        if result in (OfferResult.ADOPTED, OfferResult.ADOPTED_IN_PART):
            apply_targets(self._board)
            _LOG.info("configuration applied", extra=extra)

    def confirm_to_zone(self, confirmation: Confirmation) -> None:
        """Sends what this router knows of the store to the live peers of its zone."""
        for peer in self._board.members.values():
            if peer.zone == self._board.identity.zone:
                self._send(confirmation, peer.router_id)
        self._flush_if_due()

    def send_feed_status(self, status: FeedStatus) -> None:
        """Sends the status of the feeds to the peers of the zone that can read it."""
        for router_id, peer in self._board.members.items():
            is_reading = self._feed_status_readers.get(router_id) == peer
            if is_reading and peer.zone == self._board.identity.zone:
                self._send(status, router_id)
        self._flush_if_due()

    def announce_leaving(
        self,
        replicas: Iterable[Replica | ReplicaProcess],
        *,
        source: str = "store",
        view_age_ms: int | None = None,
    ) -> None:
        """Logs that these replicas are leaving and tells all peers without delay.

        Args:
            replicas: Replicas that were not known to be leaving, or processes that are
                not listed.
            source: Where this was learned, for the log.
            view_age_ms: For how many milliseconds this router may not have known it.
        """
        for replica in replicas:
            extra = {
                "upstream": replica.replica_id,
                "peer": source,
                "view_age_ms": view_age_ms,
            }
            _LOG.info("upstream is leaving", extra=extra)
            self._send(UpstreamState(replica.replica_id, replica.incarnation, True))
        self._flush_if_due()

    def send_cases(
        self, cases: Iterable[PartCase], router_id: RouterId | None = None
    ) -> None:
        """Sends cases of prompt parts to one router, or to all."""
        self._send(_build_cases(cases), router_id)
        self._flush_if_due()

    def send(self, message: Message, router_id: RouterId | None = None) -> None:
        """Sends a message to one router, or to all, without delay."""
        self._send(message, router_id)
        self._flush_if_due()

    def apply_vm_list(
        self, upstreams: list[ListedUpstream], *, made_at_ms: int, source: str
    ) -> None:
        """Applies a VM list received from the platform or a peer.

        In a fleet of up to ``flat_limit`` routers, a changed list is sent to all peers,
        since a zone can lose its connection to the platform and most routers read the
        list only every ``platform_poll_interval_others`` (20 s by default).

        Args:
            upstreams: Upstreams in the list.
            made_at_ms: Time at which the platform made the list, in milliseconds.
            source: Name of the sender, for the log.
        """
        state = self._board.upstreams
        entries_before = state.entries()
        leaving = state.apply_vm_list(
            upstreams, made_at_ms=made_at_ms, now=time.monotonic()
        )
        self.announce_leaving(leaving, source=source)
        if state.entries() == entries_before:
            return
        _LOG.info("VM list changed", extra={"peer": source})
        if len(self._board.members) < self._options.flat_limit:
            self._send(self._build_list())
            self._flush_if_due()

    def _build_list(self) -> UpstreamList:
        state = self._board.upstreams
        rows = tuple(
            UpstreamRow(
                entry.replica_id,
                entry.service,
                entry.zone,
                entry.address,
                entry.is_leaving,
            )
            for entry in state.entries()
        )
        return UpstreamList(state.list_made_at_ms, rows)

    def share_load(self, replica_id: ReplicaId, load: LoadReport) -> None:
        """Sends a load report to all peers, at the latest with the next report."""
        row = LoadRow(
            replica_id,
            load.incarnation,
            load.slots,
            load.running,
            load.queued,
            round(load.token_rate),
            load.is_leaving,
        )
        self._peers.send(Loads((row,)))

    def share_reported_loads(self, rows: Iterable[LoadRow]) -> None:
        """Sends load reports from answers of replicas to all peers without delay."""
        self._send(Loads(tuple(rows)))
        self._flush_if_due()

    # Periodic work.

    async def _run_steps(self) -> None:
        next_at = time.monotonic()
        while True:
            now = time.monotonic()
            try:
                await self._step(now)
            except Exception:
                # Reports serve as heartbeats: if they stopped, the peers would declare
                # this router dead while it still accepts calls.
                _LOG.exception("periodic exchange with other routers failed")
            next_at = max(next_at + self._options.report_interval, now)
            await curio.sleep(max(0.0, next_at - time.monotonic()))

    async def _flush_on_demand(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                # Actions within one flush interval share a flush.
                next_flush_at = self._flushed_at + self._options.flush_interval
                await curio.sleep(max(0.0, next_flush_at - time.monotonic()))
                self._flush_if_due()
        finally:
            await self._wakeup.close()

    async def _dispatch_on_reports(self) -> None:
        """Starts waiting calls once for all reports that arrived meanwhile.

        The reports that are ready in one pass of the event loop come first, so a busy
        router makes fewer decisions and not later ones.
        """
        while True:
            await self._dispatch_due.wait()
            self._dispatch_due.clear()
            services, self._services_to_dispatch = self._services_to_dispatch, set()
            try:
                for service in services & self._board.queues.services():
                    await self._dispatch(service)
            except Exception:
                # The next step starts these calls; the exchange must go on.
                _LOG.exception("waiting calls were not started after a report")

    async def _step(self, now: float) -> None:
        interval = find_report_interval(self._options, len(self._board.members))
        if now - self._members_updated_at >= interval / MEMBER_UPDATES_PER_REPORT:
            self._members_updated_at = now
            self._update_members(now)
            await self._peers.connect(self.membership.candidates())
            self._peers.close_silent(now)
        actions = self._policy.step(self._board, now)
        self._request_configuration(now)
        self.perform(actions)
        # Half a step of tolerance, since steps run slightly early or late.
        if now - self._reported_at >= interval - self._options.report_interval / 2:
            self._report_to_all(now)
        self._send_sums()
        self._flush(now)
        for service in self._board.queues.services():
            await self._dispatch(service)

    def _update_members(self, now: float) -> None:
        known_count = len(self.membership.members)
        changes = self.membership.step(now)
        if len(self.membership.members) < known_count:
            self._policy.forget_except(self._board, self.membership.members.keys())
            self._sums.forget_except(self.membership.members.keys())
        for change in changes:
            router_id = change.identity.router_id
            if change.state is not MemberState.ALIVE:
                _LOG.info(
                    "router changed state",
                    extra={"peer": router_id, "reason": change.state.value},
                )
            if change.state is MemberState.DEAD:
                self.versions.forget_peer(router_id)
                self._feed_status_readers.pop(router_id, None)
        live = self.membership.live()
        if live != self._board.members:
            for router_id, identity in live.items():
                if self._board.members.get(router_id) != identity:
                    _LOG.info(
                        "router changed state",
                        extra={"peer": router_id, "reason": MemberState.ALIVE.value},
                    )
            self._board.members.clear()
            self._board.members.update(live)
            self._update_place()
        self._board.unreachable = self.membership.unreachable()
        self._board.ended = self.membership.ended()
        self._metrics.members.set(len(live) + 1)

    def _update_place(self) -> None:
        """Finds the place of this router in the report tree after a change of members.

        Up to ``flat_limit`` routers, there is no tree and counters go to every router.
        The limit needs no hysteresis: totals are valid in both modes, so a switch costs
        only sending the rows that earlier reports left out.
        """
        board = self._board
        live = board.members.values()
        if len(live) < self._options.flat_limit:
            if board.place is not None:
                _LOG.info("counters now sent to every router")
            board.place = None
            return
        place = find_tree_position(board.identity, live, fan_out=self._options.fan_out)
        if board.place is None:
            _LOG.info("counters now sent along the report tree")
        board.place = place

    def _find_counter_addresses(self) -> set[Address] | None:
        place = self._board.place
        if place is None:
            return None
        addresses = (
            self.membership.find_address(router.router_id)
            for router in place.counter_targets()
        )
        return {address for address in addresses if address is not None}

    def _send_sums(self) -> None:
        """Rebuilds the sums and queues them for the neighbours in the report tree."""
        board = self._board
        self._peers.limit_counters(self._find_counter_addresses())
        self._sums.update(board.place, {board.identity, *board.members.values()})
        if board.place is None:
            return
        self._counter_message_count = len(board.place.counter_targets())
        for neighbour in board.place.neighbours():
            address = self.membership.find_address(neighbour.router_id)
            if address is not None:
                for message in self._sums.build(board.place, neighbour, self._sequence):
                    self._peers.send(message, address)
                    self._counter_message_count += 1

    def _request_configuration(self, now: float) -> None:
        source = self.versions.choose_source(now)
        if source is not None:
            self._send(ConfigurationRequest(self._board.configuration.version), source)

    # Sending.

    def _send(self, message: Message, router_id: RouterId | None = None) -> None:
        if router_id is None:
            self._peers.send(message)
        else:
            address = self.membership.find_address(router_id)
            if address is None:
                return
            self._peers.send(message, address)
        self._is_flush_due = True

    def _flush_if_due(self) -> None:
        self._is_report_to_all_due |= self._board.is_report_due
        if not (
            self._is_report_to_all_due or self._early_report_peers or self._is_flush_due
        ):
            return
        now = time.monotonic()
        if now - self._flushed_at >= self._options.flush_interval:
            # This may run in the task of a call that ended; its CPU time still counts
            # as control.
            with self._usage.count():
                self._flush(now)
        else:
            self._wakeup.set()

    def _flush(self, now: float) -> None:
        if self._is_report_to_all_due:
            self._report_to_all(now)
        elif self._early_report_peers:
            self._report_early(now)
        self._is_flush_due = False
        self._flushed_at = now
        self._byte_budget.fill(now)
        limit = self._byte_budget.find_row_limit(len(self._board.members))
        counter_limit = limit
        if self._board.place is not None:
            counter_limit = self._byte_budget.find_tree_row_limit(
                self._counter_message_count
            )
        sent = self._peers.flush(now, row_limit=limit, counter_limit=counter_limit)
        self._byte_budget.spend(sent)
        if self._peers.unsent_bytes:
            self._is_flush_due = True
            self._wakeup.set()

    def _report_to_all(self, now: float) -> None:
        self._reported_at = now
        self._peers.send(self._build_report(now))
        self._is_report_to_all_due = False
        self._early_report_peers.clear()

    def _report_early(self, now: float) -> None:
        report = self._build_report(now)
        for router_id in self._early_report_peers & self._board.members.keys():
            address = self.membership.find_address(router_id)
            if address is not None:
                self._peers.send(report, address, is_early=True)
        self._early_report_peers.clear()

    def _build_report(self, now: float) -> Report:
        self._sequence += 1
        self._board.report_sequence = self._sequence
        return Report(
            self._sequence,
            self._board.configuration.version,
            self._board.is_leaving,
            self._policy.build_counters(self._board, now),
            self._policy.build_slots(self._board, now),
        )

    def build_first_messages(self, address: Address) -> Iterable[Message]:
        """Returns the first messages on a new outgoing connection to the address."""
        board = self._board
        counter_addresses = self._find_counter_addresses()
        yield Hello(
            board.identity,
            board.configuration.version,
            self.membership.own_address,
            self._fleet,
            reads_feed_status=True,
        )
        if evacuation_rows := tuple(self.list_evacuations()):
            yield Evacuations(evacuation_rows)
        if cold_rows := tuple(self.list_cold()):
            yield ColdReplicas(cold_rows)
        if counter_addresses is None or address in counter_addresses:
            yield from self._sums.build_zones(self._sequence)
            yield self._policy.build_snapshot(board)
        if board.upstreams.listed:
            yield self._build_list()
        for replica in board.upstreams.replicas.values():
            if replica.is_leaving:
                yield UpstreamState(replica.replica_id, replica.incarnation, True)
        if cases := list(self.list_cases()):
            yield _build_cases(cases)
        yield self._build_report(time.monotonic())

    # Receiving.

    async def receive(self, identity: RouterIdentity, message: Message) -> None:
        """Handles a message received from a peer."""
        now = time.monotonic()
        address = message.control if isinstance(message, Hello) else None
        if not self.membership.record_message(identity, now, address=address):
            return
        match message:
            case Report():
                await self._apply_report(identity, message, now)
            case Grants():
                actions = self._policy.apply_grants(self._board, identity, message, now)
                self.perform(actions)
                await self._dispatch_replicas(row.replica_id for row in message.rows)
            case Loads(rows) if self.handle_loads is not None:
                self.handle_loads(rows)
            case Loads(rows):
                for row in rows:
                    self._apply_load(row, now, source=identity.router_id)
            case UpstreamState(replica_id, incarnation, is_leaving):
                upstreams = self._board.upstreams
                if upstreams.apply_peer_state(
                    replica_id, incarnation, is_leaving=is_leaving
                ):
                    self.announce_leaving(
                        [upstreams.replicas[replica_id]], source=identity.router_id
                    )
            case UpstreamList(made_at_ms, upstream_rows):
                listed_upstreams = [
                    ListedUpstream(
                        row.replica_id,
                        row.service,
                        row.zone,
                        row.address,
                        row.is_leaving,
                    )
                    for row in upstream_rows
                ]
                self.apply_vm_list(
                    listed_upstreams,
                    made_at_ms=made_at_ms,
                    source=identity.router_id,
                )
            case Confirmation():
                if identity.zone == self._board.identity.zone:
                    self.handle_confirmation(message)
            case FeedStatus():
                if identity.zone == self._board.identity.zone:
                    self.handle_feed_status(message, identity.router_id)
            case PartCases(case_rows):
                cases = [
                    replace(row.case, probe_at=now + row.probe_in_ms / 1000)
                    for row in case_rows
                ]
                await self.handle_cases(cases, identity.router_id)
            case Evacuations():
                self.handle_evacuations(message, identity.router_id)
            case ColdReplicas():
                self.handle_cold(message, identity.router_id)
            case Sum():
                self._sums.take(identity, message)
            case Snapshot():
                self._policy.merge_snapshot(self._board, message)
            case Hello():
                self._update_members(now)
                if message.reads_feed_status:
                    self._feed_status_readers[identity.router_id] = identity
                await self._peers.connect(self.membership.candidates())
                self._record_version(identity, message.configuration_version, now)
            case ConfigurationRequest(version):
                state = self._board.configuration
                if state.version > version:
                    self._send(
                        Configuration(state.version, state.document),
                        identity.router_id,
                    )
                    self._flush_if_due()
            case Configuration(version, document):
                self.offer_configuration(version, document, identity.router_id)

    async def _apply_report(
        self, identity: RouterIdentity, report: Report, now: float
    ) -> None:
        self.membership.record_leaving(identity, is_leaving=report.is_leaving)
        self._record_version(identity, report.configuration_version, now)
        if identity.router_id not in self._board.members:
            self._update_members(now)
        self.perform(self._policy.apply_report(self._board, identity, report, now))
        if not report.counters and not report.slots:
            return
        waiting = self._board.queues.services()
        if not waiting:
            return
        services = {row.service for row in report.counters}
        services |= self._find_services(row.replica_id for row in report.slots)
        if services & waiting:
            self._services_to_dispatch |= services & waiting
            await self._dispatch_due.set()

    def _record_version(
        self, identity: RouterIdentity, version: int, now: float
    ) -> None:
        self.versions.record_peer_version(identity.router_id, version)
        if self.versions.is_wanted(version):
            self._request_configuration(now)
            self._flush_if_due()

    def _apply_load(self, row: LoadRow, now: float, *, source: str) -> None:
        load = LoadReport(
            row.incarnation,
            row.slots,
            row.running,
            row.queued,
            float(row.token_rate),
            row.is_leaving,
        )
        upstreams = self._board.upstreams
        if upstreams.record_load(row.replica_id, load, now):
            self.announce_leaving([upstreams.replicas[row.replica_id]], source=source)

    async def _dispatch_replicas(self, replica_ids: Iterable[ReplicaId]) -> None:
        services = self._find_services(replica_ids)
        for service in services & self._board.queues.services():
            await self._dispatch(service)

    def _find_services(self, replica_ids: Iterable[ReplicaId]) -> set[ServiceName]:
        replicas = self._board.upstreams.replicas
        return {
            replicas[replica_id].service
            for replica_id in replica_ids
            if replica_id in replicas
        }

    async def record_closed(self, identity: RouterIdentity) -> None:
        """Records that a peer closed its connection, and finds out whether it ended."""
        self.membership.record_closed(identity)
        address = self.membership.find_address(identity.router_id)
        if address is not None:
            await self._peers.retry_soon(address)

    def record_link_state(self, address: Address, state: LinkState) -> None:
        """Records the state of the outgoing connection to an address."""
        self.membership.record_link_state(address, state)


def _build_cases(cases: Iterable[PartCase]) -> PartCases:
    now = time.monotonic()
    return PartCases(
        tuple(
            PartCaseRow(
                replace(case, probe_at=0.0), round((case.probe_at - now) * 1000)
            )
            for case in cases
        )
    )
