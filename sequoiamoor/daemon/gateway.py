"""The router process that serves routes on the operators' platform."""

from __future__ import annotations

import logging
import math
import signal
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import curio

from ..core.descriptors import PAGES_PER_PORT
from ..core.directory import UpstreamDirectory
from ..core.drain import DrainEndReason
from ..core.freshness import KeyFreshness
from ..core.handoffs import HandoffLimit
from ..core.loop_lag import LoopLag
from ..core.poll_intervals import PollIntervals
from ..core.repeats import RepeatBudget, RepeatLimits
from ..net.acceptor import Acceptor, ConnectionRoom, Serve
from ..net.http_server import ServerConnection
from ..net.receiving import limit_receive_buffer
from ..net.signals import SignalWatch
from ..net.timed_selector import TimedSelector
from ..platform import callers, names, replicas
from ..settings import (
    AddressSettings,
    GatewaySettings,
    LimitSettings,
    RouterSettings,
)
from ..timeouts import STRAY_TIMEOUTS
from ..types import Address, RouterId
from .accept_probe import AcceptProbe
from .dispatcher import Dispatcher
from .forwarder import Forwarder
from .handoffs import Handoffs
from .pages import Pages
from .part_exchange import PartExchange
from .part_store import PartStore
from .process import READ_BEFORE_EXIT_SECONDS, RouterProcess, TaskFunction
from .reloading import SettingsFile
from .route_listener import RouteListener
from .slow_readers import SlowReaders
from .sources import LOST_ANSWER_RETRY_SECONDS, Sources

_LOG = logging.getLogger(__name__)

KEY_AGE_LIMIT_FRACTION = 0.8
"""Fraction of the key revocation limit for which the configuration may go unconfirmed;
the rest covers the delay of the answer that confirms it."""

STEP_INTERVAL_SECONDS = 0.1
"""Time between measurements of the loop lag, and between steps of the directory."""

SETTINGS_CHECK_INTERVAL_SECONDS = 1.0
"""Time between checks of the settings file, which may change without a signal."""

BACKLOG_CONNECTIONS = 1_024
PAGE_LISTENERS = frozenset({"readiness", "metrics"})
PAGE_TIMEOUT_SECONDS = 5.0
"""Timeout of an idle connection and of a request, on the ports for operators."""
PAGE_HEADER_LIMIT_BYTES = 4_096

ACCEPT_AFTER_SIGTERM_SECONDS = 2.6
"""Time after SIGTERM in which new requests are still accepted: the load balancer can
take two seconds to stop sending new connections."""

REFUSE_BEFORE_EXIT_SECONDS = 0.3
"""Time before the process ends in which requests that still arrive are refused."""

DRAIN_LIMIT_FRACTION = 0.92
"""Fraction of the grace period after which requests in service are aborted."""

SEND_LIMIT_FRACTION = 0.5
"""Fraction of that time after which nothing is sent to replicas any more. A request
that waits until then is refused as not run; sent later, it could be cut as it runs."""

SETTLE_SECONDS = 4.0
"""Time after its start in which a router takes no connection over. It may not know yet
what the other routers know, for example which upstreams are leaving."""

HANDOFF_DESCRIPTORS = 2
"""Descriptors of a handed-off connection: that of the caller and that of the router.
Both are of the part of callers, so that connections to replicas keep theirs."""

UNLIMITED_SLOT_CAP_FACTOR = 1_000.0
"""Disables the cap on slots. Shares on the platform are measured in tokens; a floor or
a cap in slots would favour an organisation with many short requests over one with few
long ones."""

ALWAYS_QUEUED_REQUESTS = 8
"""Requests of an organisation that are queued regardless of their expected wait, so
that the other routers see its demand. They are refused after their wait limit, which is
a fraction of their target."""

EARLY_MESSAGES_PER_SECOND = 70.0
"""Rate of reports that are sent to a single peer before the report interval ends. A
slot that is left to another router stays idle until that router hears of it."""

LONGEST_REPORT_INTERVAL_SECONDS = 4.0
"""Bound of the interval between reports to all routers in a large fleet. No slots are
granted on this platform, so none expire between two reports."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for connecting to a replica, shorter than the kernel's delay before it
retransmits a lost SYN packet."""


class Gateway(RouterProcess):
    """A router that serves the routes of the configuration."""

    def __init__(
        self,
        settings: RouterSettings,
        gateway: GatewaySettings,
        *,
        settings_file: SettingsFile | None = None,
    ) -> None:
        super().__init__(_adapt_options(settings, gateway))
        self._gateway = gateway
        self._acceptors: list[Acceptor] = []
        self._probe = AcceptProbe()
        self._settings_file = settings_file
        self._freshness = KeyFreshness(_find_key_age_limit(gateway))
        self._repeat_budget = RepeatBudget(_build_repeat_limits(gateway))
        self._directory = UpstreamDirectory(self.board.upstreams)
        self._lag = LoopLag()
        self._sources = Sources(
            self.board,
            self._control,
            self._directory,
            self._freshness,
            self.metrics,
            address=settings.platform.to_address(),
            poll_intervals=_build_poll_intervals(gateway),
            rng=self._rng,
        )
        self._forwarder = Forwarder(
            self.board,
            Dispatcher(
                self.board,
                self._policy,
                perform=self._control.perform,
                min_queued_requests=ALWAYS_QUEUED_REQUESTS,
                refuses_unserved=True,
            ),
            self.metrics,
            caller_format=callers,
            upstream_format=replicas,
            budget=self._repeat_budget,
            freshness=self._freshness,
            directory=self._directory,
            apply_received=self._sources.apply_received,
            announce_leaving=partial(self._control.announce_leaving, source="answer"),
            rng=self._rng,
        )
        self._part_store = PartStore(
            self._forwarder.guard,
            create_client=self._sources.create_client,
            rng=self._rng,
        )
        self._control.handle_loads = self._forwarder.load_reports.receive
        self._forwarder.load_reports.least_figures = gateway.load_figures
        self._forwarder.load_reports.share = self._control.share_reported_loads
        self._sources.handle_parts = self._part_store.receive
        self._sources.evacuations.bound = gateway.evacuation_bound
        self._sources.cold.configure(gateway.cold)
        self._forwarder.handle_head = self._sources.cold.read_head
        self._part_exchange = PartExchange(
            self.board,
            self._forwarder.guard,
            self._control,
            self._part_store,
            rng=self._rng,
        )
        self._listener = RouteListener(
            self.board,
            self._forwarder,
            self.metrics,
            limits=self._build_caller_limits(settings),
        )
        self._listener.refusal_connections = self.budget.refusals
        if gateway.reads_ahead:
            self._listener.slow_readers = SlowReaders(
                self.board.held_bytes, self.metrics
            )
        self._settled_at = float("-inf")
        self._handoffs = self._build_handoffs()
        self._pages = Pages(
            self.board,
            self.metrics,
            policy=self._policy,
            count_descriptors=self._count_descriptors,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this router."""
        return (
            not self.board.is_leaving
            and self.board.configuration.declaration is not None
            and self._directory.is_known
            and self._part_store.is_known
            and self._sources.evacuations.is_known
            and not self._lag.is_overloaded
            and not self._listener.is_crowded
            and self._probe.is_accepting
        )

    async def serve(self) -> DrainEndReason:
        """Serves until a signal stops the router and its requests are drained."""
        signals = SignalWatch(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self._settled_at = time.monotonic() + SETTLE_SECONDS
        # Callers of other routers take the places of callers.
        room = ConnectionRoom(self._listener.connection_limit)
        # Listening first lets callers queue in the kernel until the tasks run.
        self._acceptors = [
            self._listen(
                "callers",
                self._settings.http,
                self._accept_caller,
                room=room,
                end_at_once=self._listener.refuse_at_once,
            ),
            self._listen(
                "readiness",
                self._gateway.ready,
                self._answer_readiness,
                room=ConnectionRoom(PAGES_PER_PORT),
            ),
            self._listen(
                "metrics",
                self._gateway.metrics,
                self._serve_pages,
                room=ConnectionRoom(PAGES_PER_PORT),
            ),
        ]
        if self._gateway.handoff is not None:
            self._acceptors.append(
                self._listen(
                    "handoffs",
                    self._gateway.handoff,
                    self._accept_handoff,
                    room=room,
                )
            )
        self._control.bind()
        _LOG.info("router started", extra={"router_id": self.board.identity.router_id})
        with signals:
            end = await self._serve_until_drained(signals)
        await self._forwarder.close()
        _LOG.info("router stopped", extra={"router_id": self.board.identity.router_id})
        return end

    async def _serve_until_drained(self, signals: SignalWatch) -> DrainEndReason:
        async with curio.TaskGroup() as tasks:
            listeners = {acceptor.name: acceptor.run for acceptor in self._acceptors}
            await self._spawn_all(tasks, listeners | self._list_tasks())
            while await signals.wait() == signal.SIGHUP:
                self._reload_settings("SIGHUP")
            await tasks.spawn(self._refuse_unsent)
            end = await self._drain(signals)
            await self._sources.remove_own_address()
            if end is DrainEndReason.IDLE:
                # A second signal may come before new requests are refused.
                self._forwarder.refuse_new()
                self._handoffs.refuse_new()
                await self._listener.wait_until_read(READ_BEFORE_EXIT_SECONDS)
            await tasks.cancel_remaining()
        return end

    def _listen(
        self,
        name: str,
        address: AddressSettings,
        serve: Serve,
        *,
        room: ConnectionRoom,
        end_at_once: Callable[[Any], bool] = lambda sock: False,
    ) -> Acceptor:
        sock = curio.network.tcp_server_socket(
            address.host, address.port, backlog=BACKLOG_CONNECTIONS
        )
        limit_receive_buffer(sock._socket)
        return Acceptor(
            sock,
            serve,
            name=name,
            room=room,
            observer=self.metrics,
            end_at_once=end_at_once,
        )

    def _build_handoffs(self) -> Handoffs:
        handoffs = Handoffs(self.metrics, rng=self._rng)
        handoffs.limit = HandoffLimit(self._gateway.busy_fraction)
        handoffs.list_targets = self._list_handoff_targets
        handoffs.has_room = lambda: not self._listener.is_full
        handoffs.memory = self.board.connection_memory
        handoffs.find_version = lambda: self.board.configuration.version
        handoffs.is_serving = lambda: (
            not self.board.is_leaving
            and self.board.configuration.declaration is not None
        )
        handoffs.knows_all = lambda: (
            self._directory.is_known
            and self._part_store.is_known
            and self._sources.evacuations.is_known
            and self._freshness.is_fresh()
            and time.monotonic() >= self._settled_at
        )
        self._listener.count_handed_off = lambda: HANDOFF_DESCRIPTORS * len(handoffs)
        self._listener.ends_after_response = handoffs.ends_kept_connection
        return handoffs

    def measure_loop(self, selector: TimedSelector) -> None:
        """Decides on handoffs by the use of the loop that has this selector."""
        self._handoffs.use = selector.use

    def _list_handoff_targets(self) -> Iterator[tuple[RouterId, Address]]:
        handoff = self._gateway.handoff
        if handoff is None:
            return
        membership = self._control.membership
        for router_id in membership.list_serving(self.board.identity.zone):
            control = membership.find_address(router_id)
            if control is not None:
                yield router_id, Address(control.host, handoff.port)

    async def _accept_caller(self, sock: Any, peer: Any) -> None:
        if not await self._handoffs.hand_off(sock):
            await self._listener.accept(sock, peer)

    async def _accept_handoff(self, sock: Any, peer: Any) -> None:
        if not self._listener.is_crowded and self._handoffs.take_over(sock):
            await self._listener.accept(sock, peer, is_handed_off=True)

    def _list_tasks(self) -> dict[str, TaskFunction]:
        return {
            "turns": self._listener.turns.run,
            "pool": self._forwarder.watch,
            "feeds": self._sources.follow,
            "routers": self._sources.follow_routers,
            "readers": self._sources.watch_readers,
            "directory": self._step_directory,
            "parts": self._part_exchange.run,
            "part rows": self._part_store.run,
            "control": partial(self._control.run, self._forwarder.dispatch),
            "settings": self._watch_settings,
            "lag": self._watch_lag,
            "probe": self._probe_listener,
        }

    async def _watch_lag(self) -> None:
        """Measures the lag of the event loop; an overloaded router is not ready."""
        while True:
            due_at = time.monotonic() + STEP_INTERVAL_SECONDS
            await curio.sleep(STEP_INTERVAL_SECONDS)
            now = time.monotonic()
            lag = max(now - due_at, self._listener.turns.find_wait(now))
            is_changed = self._lag.note(lag, now)
            self.metrics.loop_lag.set(self._lag.seconds)
            self.metrics.loop_use.set(self._handoffs.use.fraction)
            self._forwarder.log_asked_work(now, lag=lag)
            self._handoffs.end_overdue(now, self._find_longest_timeout())
            if is_changed and self._lag.is_overloaded:
                lag_ms = round(self._lag.seconds * 1000)
                _LOG.warning(
                    "event loop overloaded; router not ready",
                    extra={"elapsed_ms": lag_ms},
                )
            elif is_changed:
                _LOG.info("event loop recovered from overload")

    def _find_longest_timeout(self) -> float:
        """Returns the longest timeout of a route in seconds."""
        declaration = self.board.configuration.declaration
        routes = () if declaration is None else declaration.routes.values()
        longest = max((route.timeout_ms for route in routes), default=math.inf)
        return longest / 1000

    async def _probe_listener(self) -> None:
        await self._probe.run(self._acceptors[0])

    async def _watch_settings(self) -> None:
        """Reloads the settings file when it changes without a signal."""
        while True:
            await curio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
            if self._settings_file is not None and self._settings_file.is_changed():
                self._reload_settings("the file changed")

    def _reload_settings(self, reason: str) -> None:
        settings = (
            None if self._settings_file is None else self._settings_file.reload(reason)
        )
        if settings is None or settings.gateway is None:
            return
        adapted = _adapt_options(settings, settings.gateway)
        self._settings, self._options = adapted, adapted.options
        self._gateway = settings.gateway
        self._freshness.limit = _find_key_age_limit(settings.gateway)
        self._sources.poll_intervals = _build_poll_intervals(settings.gateway)
        self._sources.set_evacuation_bound(settings.gateway.evacuation_bound)
        self._sources.cold.configure(settings.gateway.cold)
        self._repeat_budget.limits = _build_repeat_limits(settings.gateway)
        self._handoffs.limit = HandoffLimit(settings.gateway.busy_fraction)
        self._listener.base_limits = self._build_caller_limits(settings)
        logging.getLogger().setLevel(settings.log_level.upper())

    async def _refuse_unsent(self) -> None:
        """Refuses requests that still wait when it is too late to send them."""
        now = time.monotonic()
        drain = self._forwarder.drain
        drain.refuse_from = now + ACCEPT_AFTER_SIGTERM_SECONDS
        drain.send_until = now + max(
            self._options.drain_limit * SEND_LIMIT_FRACTION,
            ACCEPT_AFTER_SIGTERM_SECONDS,
        )
        await curio.sleep(drain.send_until - now)
        while True:
            try:
                await self._forwarder.refuse_unsent()
                return
            except (Exception, *STRAY_TIMEOUTS):
                # Nobody would see it: the task group of a drain raises no exception.
                _LOG.exception(
                    "background task failed; restarting it",
                    extra={"reason": "refusals"},
                )
                self.metrics.task_failures.labels("refusals").inc()
            await curio.sleep(STEP_INTERVAL_SECONDS)

    async def _step_directory(self) -> None:
        while True:
            for replica_id in self._directory.step(time.monotonic()):
                _LOG.info("upstream removed", extra={"upstream": replica_id})
            self._sources.evacuations.step(time.monotonic())
            self._sources.cold.step()
            await curio.sleep(STEP_INTERVAL_SECONDS)

    def _build_caller_limits(self, settings: RouterSettings) -> LimitSettings:
        return settings.limits.model_copy(update={"connections": self.budget.callers})

    def _count_descriptors(self) -> dict[str, int]:
        return super()._count_descriptors() | {
            "callers": self._listener.served_connections,
            "refusals": self._listener.excess_connections,
            "upstreams": self._forwarder.upstream_connections,
            "store": self._sources.open_count,
            "pages": sum(
                len(acceptor)
                for acceptor in self._acceptors
                if acceptor.name in PAGE_LISTENERS
            ),
        }

    async def _cut(self, reason: str) -> None:
        self._handoffs.refuse_new()
        await self._forwarder.cut(reason)

    def _count_in_service(self) -> int:
        return (
            self._forwarder.in_service
            + len(self._listener.turns)
            + self._handoffs.in_service
        )

    async def _answer_readiness(self, sock: Any, peer: Any) -> None:
        await self._serve_page_connection(sock, is_readiness=True)

    async def _serve_pages(self, sock: Any, peer: Any) -> None:
        await self._serve_page_connection(sock, is_readiness=False)

    async def _serve_page_connection(self, sock: Any, *, is_readiness: bool) -> None:
        connection = ServerConnection(
            sock,
            header_limit=PAGE_HEADER_LIMIT_BYTES,
            body_limit=0,
        )
        try:
            while True:
                request = await connection.receive_request(
                    idle_timeout=PAGE_TIMEOUT_SECONDS,
                    receive_timeout=PAGE_TIMEOUT_SECONDS,
                )
                if request is None:
                    return
                if is_readiness and request.path == names.READINESS_PATH:
                    status = 200 if self.is_ready else 503
                    await connection.send_response(status, {}, b"")
                elif not is_readiness and request.path in self._pages:
                    await self._pages.send(connection, request.path, request.query)
                else:
                    await connection.send_response(404, {}, b"")
                if not connection.start_next_cycle():
                    return
        except Exception as err:
            _LOG.debug("operator page request failed: %r", err)
        finally:
            await connection.close()


def _find_key_age_limit(gateway: GatewaySettings) -> float | None:
    """Returns how many seconds the configuration may go unconfirmed; None: no limit."""
    limit = gateway.revocation_limit
    return None if limit is None else limit * KEY_AGE_LIMIT_FRACTION


def _build_repeat_limits(gateway: GatewaySettings) -> RepeatLimits:
    repeats = gateway.repeats
    return RepeatLimits(ratio=repeats.ratio, window=repeats.window, extra=repeats.extra)


def _build_poll_intervals(gateway: GatewaySettings) -> PollIntervals:
    return PollIntervals(
        LOST_ANSWER_RETRY_SECONDS,
        leaving_bound=gateway.leaving_bound,
        configuration_bound=gateway.configuration_bound,
    )


def _adapt_options(
    settings: RouterSettings, gateway: GatewaySettings
) -> RouterSettings:
    """Returns the settings with the options that the platform requires."""
    options = settings.options.model_copy(
        update={
            "drain_limit": gateway.grace * DRAIN_LIMIT_FRACTION,
            "drain_announce_time": ACCEPT_AFTER_SIGTERM_SECONDS
            + REFUSE_BEFORE_EXIT_SECONDS,
            "drain_cut_time": REFUSE_BEFORE_EXIT_SECONDS,
            "connect_timeout": CONNECT_TIMEOUT_SECONDS,
            "slot_cap_factor": UNLIMITED_SLOT_CAP_FACTOR,
            "slot_floor_factor": 0.0,
            "early_message_rate": EARLY_MESSAGES_PER_SECOND,
            "longest_report_interval": LONGEST_REPORT_INTERVAL_SECONDS,
        }
    )
    return settings.model_copy(update={"options": options, "gateway": gateway})
