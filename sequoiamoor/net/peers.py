"""Connections between routers.

A router sends on the connections that it opened and receives on those that it
accepted. Sending never waits: messages that a peer does not read yet are kept in a
bounded queue, in which a newer state replaces an older one.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import time
from collections.abc import Iterable
from random import Random
from typing import Any, Protocol

import curio

from ..core.membership import LinkState
from ..core.messages import (
    Hello,
    Message,
    Report,
    Sum,
)
from ..core.reports import ReportFilter, SumFilter
from ..errors import ForeignRouterError, ProtocolError
from ..metrics import Metrics
from ..options import Options
from ..timeouts import STRAY_TIMEOUTS, ignore_after, timeout_after
from ..types import Address, RouterIdentity
from .acceptor import Acceptor
from .decoder import Decoder
from .encoder import Encoder
from .http import peek
from .outbox import Outbox
from .reachability import REACHABILITY
from .wire import RECEIVE_BYTES

_LOG = logging.getLogger(__name__)

HELLO_TIMEOUT_SECONDS = 5.0
# The first report on a connection carries all counters of a fleet of the target size.
FIRST_REPORT_ROWS_LIMIT = 1_000
# Reports in a socket buffer cannot be replaced by newer ones, so with a larger buffer
# a slow peer would receive outdated reports for longer.
SEND_BUFFER_BYTES = 65_536
FOREIGN_LOG_INTERVAL_SECONDS = 10.0
_UNREACHABLE_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


def classify_failure(err: Exception | None) -> LinkState | None:
    """Returns the state of the peer that the error of a connection implies.

    None means that the error implies nothing about the peer: either router may have
    closed the connection, or this one may have run out of sockets.
    """
    if isinstance(err, curio.TaskTimeout):
        return LinkState.UNREACHABLE
    if isinstance(err, ConnectionRefusedError):
        # The error that fault injection raises has no error number. It simulates a
        # network partition.
        is_refused_by_host = err.errno == errno.ECONNREFUSED
        return LinkState.REFUSED if is_refused_by_host else LinkState.UNREACHABLE
    if isinstance(err, OSError) and err.errno in _UNREACHABLE_ERRNOS:
        return LinkState.UNREACHABLE
    return None


class Handler(Protocol):
    """Receives the messages of peers and the changes of their connections."""

    def build_first_messages(self, address: Address) -> Iterable[Message]:
        """Returns the messages to send first on a new connection to the address."""

    async def receive(self, identity: RouterIdentity, message: Message) -> None:
        """Handles a message of a peer."""

    async def record_closed(self, identity: RouterIdentity) -> None:
        """Handles the end of a connection that a peer opened."""

    def record_link_state(self, address: Address, state: LinkState) -> None:
        """Handles a change of the state of the connection to an address."""


class Link:
    """The outgoing connection to one address, which is reopened when it fails.

    Attributes:
        address: Address of the peer.
        takes_counters: Whether reports to the peer carry counters of served work.
    """

    def __init__(
        self, address: Address, *, source: str, options: Options, metrics: Metrics
    ) -> None:
        self.address = address
        self._source_host = source
        self._options = options
        self._metrics = metrics
        self._sent_bytes_metric = metrics.control_bytes.labels("out")
        self._sent_messages_metric = metrics.control_messages.labels("out")
        self._outbox = Outbox()
        self._sock: Any = None
        self._encoder = Encoder()
        self._report_filter = ReportFilter()
        self._sum_filter = SumFilter()
        self.takes_counters = True
        self._unsent = b""
        self._stalled_since: float | None = None
        self._is_stopped = False
        self._delay = options.reconnect_base_delay
        self._retry = curio.Event()
        self._connection_error: Exception | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._sock is not None

    @property
    def unsent_bytes(self) -> int:
        """Number of encoded bytes that were not yet handed to the kernel."""
        return len(self._unsent)

    def put(self, message: Message, *, is_early: bool = False) -> None:
        """Queues a message for the next flush; drops it if there is no connection."""
        if self._sock is not None:
            self._outbox.put(message, is_early=is_early)

    def flush(self, now: float, *, row_limit: int) -> int:
        """Writes as much as the socket accepts without waiting.

        Args:
            now: Monotonic time in seconds.
            row_limit: Maximum number of counters in a report, and of changed rows in
                a sum.

        Returns:
            The number of bytes written.

        Raises:
            OSError: If the connection fails, or accepts no data for ``dead_after``
                seconds.
            ProtocolError: If the connection must be closed and opened again.
        """
        if self._sock is None or (self._outbox.is_empty and not self._unsent):
            return 0
        if not self._unsent:
            self._unsent = b"".join(self._encode(now, row_limit))
        try:
            sent: int = self._sock._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as err:
            # The kernel reports the error only once, so the task that waits for the
            # socket does not see it.
            self._connection_error = err
            raise
        if sent == len(self._unsent):
            self._unsent = b""
            self._stalled_since = None
        else:
            self._unsent = self._unsent[sent:]
            if sent or self._stalled_since is None:
                self._stalled_since = now
            if now - self._stalled_since > self._options.dead_after:
                raise TimeoutError(
                    f"{self.address} has accepted no data for longer than dead_after"
                )
        self._sent_bytes_metric.inc(sent)
        return sent

    def _encode(self, now: float, row_limit: int) -> list[bytes]:
        parts = []
        is_early = self._outbox.is_report_early
        for message in self._outbox.take():
            if isinstance(message, Report):
                message = Report(
                    message.sequence,
                    message.configuration_version,
                    message.is_leaving,
                    self._report_filter.select(
                        message.counters,
                        now,
                        limit=row_limit,
                        is_early=is_early,
                        is_served_frozen=not self.takes_counters,
                    ),
                    message.slots,
                )
            elif isinstance(message, Sum):
                changed = self._sum_filter.select(message, limit=row_limit)
                if changed is None:
                    continue
                message = changed
            parts.extend(self._encoder.encode(message))
        self._sent_messages_metric.inc(len(parts))
        return parts

    def shut_down(self) -> None:
        """Shuts the connection down; the task that runs the link then closes it."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Shuts the connection down and opens no further one."""
        self._is_stopped = True
        self.shut_down()

    async def retry_soon(self) -> None:
        """Ends a pause between two connections, and lets the next ones be short."""
        self._delay = self._options.reconnect_base_delay
        await self._retry.set()

    async def run(self, handler: Handler, rng: Random) -> None:
        """Keeps a connection open until the link is stopped.

        Args:
            handler: Receives the changes of the connection's state.
            rng: Generator for the jitter of the delays between connections.
        """
        while not self._is_stopped:
            started_at = time.monotonic()
            self._connection_error = None
            try:
                await self._run_connection(handler)
            except (OSError, ProtocolError, curio.TaskTimeout) as err:
                _LOG.debug("connection to router at %s failed: %s", self.address, err)
                self._connection_error = err
            except (Exception, *STRAY_TIMEOUTS):
                self._note_fault()
            try:
                state = classify_failure(self._connection_error)
                if state is not None:
                    handler.record_link_state(self.address, state)
            except Exception:
                self._note_fault()
            if time.monotonic() - started_at > self._options.dead_after:
                self._delay = self._options.reconnect_base_delay
            seconds = self._delay * rng.uniform(0.5, 1.0)
            self._delay = min(2 * self._delay, self._options.reconnect_max_delay)
            async with ignore_after(seconds):
                await self._retry.wait()
            self._retry.clear()

    def _note_fault(self) -> None:
        _LOG.exception(
            "connection to router ended by an unexpected exception",
            extra={"peer": str(self.address)},
        )
        self._metrics.task_failures.labels("link").inc()

    async def _run_connection(self, handler: Handler) -> None:
        REACHABILITY.check(self.address.host)
        async with timeout_after(self._options.connect_timeout):
            sock = await self._connect()
        try:
            REACHABILITY.check(self.address.host)
            if self._is_stopped:
                return
            REACHABILITY.track(sock, self.address.host)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            # Without a limit the kernel's retransmission delay grows to minutes during
            # a partition, and the connection stays silent for as long after the
            # partition has ended. The peer's kernel acknowledges data even while its
            # process is paused, so this timeout distinguishes a partition from a slow
            # router.
            user_timeout_ms = int(self._options.suspect_after * 1000)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
            )
            self._sock = sock
            handler.record_link_state(self.address, LinkState.CONNECTED)
            for message in handler.build_first_messages(self.address):
                self._outbox.put(message)
            self.flush(time.monotonic(), row_limit=FIRST_REPORT_ROWS_LIMIT)
            # A peer sends nothing on this connection, so anything received ends it.
            await sock.recv(1)
        finally:
            self._sock = None
            self._outbox = Outbox()
            self._encoder = Encoder()
            self._report_filter = ReportFilter()
            self._sum_filter = SumFilter()
            self._unsent = b""
            self._stalled_since = None
            await sock.close()

    async def _connect(self) -> Any:
        # In tests several routers share one VM; the peer and its fault injection
        # identify this router by its source address.
        sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        try:
            sock.bind((self._source_host, 0))
            await sock.connect((self.address.host, self.address.port))
        except BaseException:
            await sock.close()
            raise
        return sock


class Peers:
    """All connections between this router and its peers."""

    def __init__(
        self,
        listen: Address,
        *,
        handler: Handler,
        options: Options,
        metrics: Metrics,
        rng: Random,
        fleet: str = "",
        connection_limit: int | None = None,
    ) -> None:
        self._fleet = fleet
        self._foreign_logged_at = float("-inf")
        self._connection_limit = connection_limit
        self._listen = listen
        self._handler = handler
        self._options = options
        self._metrics = metrics
        self._rng = rng
        self._acceptor: Acceptor | None = None
        self._links: dict[Address, Link] = {}
        self._last_received_at: dict[Any, float] = {}

    def bind(self) -> Address:
        """Starts to listen and returns the address with the bound port.

        Raises:
            OSError: If the address cannot be used.
        """
        sock = curio.network.tcp_server_socket(
            self._listen.host, self._listen.port, backlog=1024
        )
        self._acceptor = Acceptor(
            sock,
            self._accept,
            name="control",
            limit=self._connection_limit,
            observer=self._metrics,
        )
        return Address(*self._acceptor.address)

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        assert self._acceptor is not None, "bind was not called"
        try:
            await self._acceptor.run()
        finally:
            for link in self._links.values():
                link.stop()
            self._links.clear()

    async def connect(self, addresses: set[Address]) -> None:
        """Opens links to new addresses and stops those to addresses not listed."""
        for address in addresses:
            if address not in self._links:
                link = Link(
                    address,
                    source=self._listen.host,
                    options=self._options,
                    metrics=self._metrics,
                )
                # Stored before the task starts, since two tasks call this method.
                self._links[address] = link
                await curio.spawn(link.run, self._handler, self._rng, daemon=True)
        for address in self._links.keys() - addresses:
            removed_link = self._links.pop(address, None)
            if removed_link is not None:
                removed_link.stop()

    def limit_counters(self, addresses: set[Address] | None) -> None:
        """Includes served work only in reports to these peers; None means all peers."""
        for address, link in self._links.items():
            link.takes_counters = addresses is None or address in addresses

    async def retry_soon(self, address: Address) -> None:
        """Opens the link to an address again without the rest of its delay."""
        link = self._links.get(address)
        if link is not None:
            await link.retry_soon()

    def send(
        self,
        message: Message,
        address: Address | None = None,
        *,
        is_early: bool = False,
    ) -> None:
        """Queues a message for one peer, or for all, until the next flush."""
        if address is not None:
            peer_link = self._links.get(address)
            if peer_link is not None:
                peer_link.put(message, is_early=is_early)
            return
        for link in self._links.values():
            link.put(message, is_early=is_early)

    def flush(self, now: float, *, row_limit: int, counter_limit: int) -> int:
        """Writes as much as the sockets accept without waiting.

        Args:
            now: Monotonic time in seconds.
            row_limit: Maximum number of counters in a report to a peer to which served
                work is not sent.
            counter_limit: Maximum number of counters in a report to any other peer,
                and of changed rows in a sum to it.

        Returns:
            The number of bytes written.
        """
        sent = 0
        for link in self._links.values():
            try:
                limit = counter_limit if link.takes_counters else row_limit
                sent += link.flush(now, row_limit=limit)
            except (OSError, ProtocolError) as err:
                _LOG.info(
                    "connection to router ended",
                    extra={"peer": str(link.address), "reason": str(err)},
                )
                link.shut_down()
        return sent

    def close_silent(self, now: float) -> None:
        """Shuts down accepted connections that have been silent for too long.

        Args:
            now: Monotonic time in seconds.
        """
        for sock, last_received_at in list(self._last_received_at.items()):
            is_silent = now - last_received_at > 2 * self._options.dead_after
            # A late event loop may not have read what has arrived.
            if is_silent and peek(sock._socket) is None:
                with contextlib.suppress(OSError):
                    sock._socket.shutdown(socket.SHUT_RDWR)

    @property
    def open_count(self) -> int:
        """Number of connections from and to other routers."""
        opened = sum(link.is_connected for link in self._links.values())
        return opened + (0 if self._acceptor is None else len(self._acceptor))

    @property
    def unsent_bytes(self) -> int:
        """Number of encoded bytes that were not yet handed to the kernel."""
        return sum(link.unsent_bytes for link in self._links.values())

    async def _accept(self, sock: Any, peer: Any) -> None:
        host = peer[0]
        if REACHABILITY.is_blocked(host):
            return
        REACHABILITY.track(sock, host)
        self._last_received_at[sock] = time.monotonic()
        try:
            await self._read(sock)
        except ForeignRouterError as err:
            self._report_foreign(host, err)
        except ProtocolError as err:
            self._metrics.control_protocol_errors.inc()
            _LOG.warning(
                "invalid message from a router",
                extra={"peer": host, "reason": str(err)},
            )
        except (OSError, curio.TaskTimeout) as err:
            _LOG.debug("connection from router at %s ended: %s", host, err)
        finally:
            del self._last_received_at[sock]

    def _report_foreign(self, host: str, error: ForeignRouterError) -> None:
        self._metrics.control_foreign_routers.inc()
        now = time.monotonic()
        if now - self._foreign_logged_at >= FOREIGN_LOG_INTERVAL_SECONDS:
            self._foreign_logged_at = now
            _LOG.warning(
                "router of another fleet refused",
                extra={"peer": host, "detail": str(error)},
            )

    def _check_fleet(self, hello: Hello) -> None:
        """Checks that a router is of this fleet, or names none.

        Raises:
            ForeignRouterError: If it names another fleet.
        """
        if self._fleet and hello.fleet and hello.fleet != self._fleet:
            raise ForeignRouterError(
                f"router {hello.identity.router_id!r} is of the fleet {hello.fleet!r}, "
                f"not {self._fleet!r}; if both are one fleet, write the same `fleet` "
                "in their settings"
            )

    async def _read(self, sock: Any) -> None:
        received_bytes = self._metrics.control_bytes.labels("in")
        received_messages = self._metrics.control_messages.labels("in")
        decoder = Decoder()
        identity: RouterIdentity | None = None
        try:
            while data := await self._receive(sock, is_first=identity is None):
                received_bytes.inc(len(data))
                self._last_received_at[sock] = time.monotonic()
                messages = decoder.feed(data)
                received_messages.inc(decoder.message_count)
                decoder.message_count = 0
                for message in messages:
                    if identity is None:
                        if not isinstance(message, Hello):
                            raise ProtocolError(
                                "the first message on the connection is not Hello"
                            )
                        self._check_fleet(message)
                        identity = message.identity
                    elif isinstance(message, Hello):
                        raise ProtocolError("Hello was received a second time")
                    await self._handler.receive(identity, message)
        finally:
            if identity is not None:
                await self._handler.record_closed(identity)

    async def _receive(self, sock: Any, *, is_first: bool) -> bytes:
        if is_first:
            async with timeout_after(HELLO_TIMEOUT_SECONDS):
                data: bytes = await sock.recv(RECEIVE_BYTES)
        else:
            data = await sock.recv(RECEIVE_BYTES)
        return data
