"""Connections between routers.

A router sends on the connections that it opened and reads from those that it
accepted. Sending never waits: what a peer does not take is kept in a bounded form,
in which a later state replaces an earlier one.
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
    Configuration,
    ConfigurationRequest,
    GrantRow,
    Grants,
    Hello,
    LoadRow,
    Loads,
    Message,
    Report,
    Snapshot,
    Sum,
    UpstreamList,
    UpstreamState,
)
from ..core.reports import ReportFilter, SumFilter
from ..errors import ProtocolError
from ..metrics import Metrics
from ..options import Options
from ..types import Address, ReplicaId, RouterIdentity, ZoneName
from .decoder import Decoder
from .encoder import Encoder
from .reachability import REACHABILITY
from .wire import RECEIVE_BYTES

_LOG = logging.getLogger(__name__)

HELLO_TIMEOUT_SECONDS = 5.0
# The first report on a connection carries all counters of the target size.
FIRST_REPORT_ROWS = 1_000
# Reports that wait in a socket buffer cannot be replaced by newer ones, so a slow
# peer would get old reports for longer with a larger buffer.
SEND_BUFFER_BYTES = 65_536
_NETWORK_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


def judge_failure(err: Exception | None) -> LinkState | None:
    """Returns what the error of a connection tells of the router at its other end.

    None means that it tells nothing: the router or this one may have closed the
    connection, or this one may lack sockets.
    """
    if isinstance(err, curio.TaskTimeout):
        return LinkState.UNREACHABLE
    if isinstance(err, ConnectionRefusedError):
        # Fault injection gives no error number and stands for a cut network.
        is_answer = err.errno == errno.ECONNREFUSED
        return LinkState.REFUSED if is_answer else LinkState.UNREACHABLE
    if isinstance(err, OSError) and err.errno in _NETWORK_ERRORS:
        return LinkState.UNREACHABLE
    return None


class Outbox:
    """Messages that wait to be sent to one peer.

    It is bounded by the number of replicas: grants, loads and upstream states are
    kept per replica, of the other kinds only the latest message.
    """

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._first: list[Message] = []
        self._states: dict[ReplicaId, UpstreamState] = {}
        self._grants: dict[ReplicaId, GrantRow] = {}
        self._acknowledged = 0
        self._incarnation = 0
        self._loads: dict[ReplicaId, LoadRow] = {}
        self._request: ConfigurationRequest | None = None
        self._configuration: Configuration | None = None
        self._upstreams: UpstreamList | None = None
        self._report: Report | None = None
        self._sums: dict[tuple[ZoneName, int], Sum] = {}
        self.is_report_early = True
        self.is_empty = True

    def put(self, message: Message, *, is_early: bool = False) -> None:
        """Adds a message; it may replace an earlier one.

        Args:
            message: The message.
            is_early: Whether it is a report before the interval ends.
        """
        self.is_empty = False
        match message:
            case Report():
                self._report = message
                self.is_report_early = self.is_report_early and is_early
            case Grants(rows, acknowledged, incarnation):
                if incarnation != self._incarnation:
                    # Those of the incarnation that the receiver replaced.
                    self._grants.clear()
                self._grants.update((row.replica_id, row) for row in rows)
                self._acknowledged = acknowledged
                self._incarnation = incarnation
            case Loads(rows):
                self._loads.update((row.replica_id, row) for row in rows)
            case Sum():
                self._sums[message.scope, message.part] = message
            case UpstreamState():
                self._states[message.replica_id] = message
            case ConfigurationRequest():
                self._request = message
            case Configuration():
                if (
                    self._configuration is None
                    or message.version > self._configuration.version
                ):
                    self._configuration = message
            case UpstreamList():
                self._upstreams = message
            case Hello() | Snapshot():
                self._first.append(message)

    def take(self) -> list[Message]:
        """Removes and returns all messages in the order to send them."""
        messages: list[Message] = [m for m in self._first if isinstance(m, Hello)]
        # The sum of a zone comes before the counters of single origins that it holds.
        messages.extend(self._sums.values())
        messages.extend(m for m in self._first if not isinstance(m, Hello))
        if self._upstreams is not None:
            messages.append(self._upstreams)
        messages.extend(self._states.values())
        if self._grants:
            rows = tuple(self._grants.values())
            messages.append(Grants(rows, self._acknowledged, self._incarnation))
        if self._request is not None:
            messages.append(self._request)
        if self._configuration is not None:
            messages.append(self._configuration)
        if self._report is not None:
            messages.append(self._report)
        if self._loads:
            messages.append(Loads(tuple(self._loads.values())))
        self._clear()
        return messages


class Handler(Protocol):
    """Takes what happens on the connections."""

    def greet(self, address: Address) -> Iterable[Message]:
        """Returns the first messages of a new outgoing connection to the address."""

    async def receive(self, identity: RouterIdentity, message: Message) -> None:
        """Takes a message of a peer."""

    async def note_closed(self, identity: RouterIdentity) -> None:
        """Takes note that a peer closed its connection."""

    def note_link(self, address: Address, state: LinkState) -> None:
        """Takes note of what became of the connection to an address."""


class Link:
    """The outgoing connection to one address."""

    def __init__(
        self, address: Address, *, source: str, options: Options, metrics: Metrics
    ) -> None:
        self.address = address
        self._source = source
        self._options = options
        self._bytes = metrics.control_bytes.labels("out")
        self._messages = metrics.control_messages.labels("out")
        self._outbox = Outbox()
        self._sock: Any = None
        self._encoder = Encoder()
        self._filter = ReportFilter()
        self._sum_filter = SumFilter()
        self.takes_counters = True
        self._unsent = b""
        self._stalled_at: float | None = None
        self._is_stopped = False
        self._error: Exception | None = None

    @property
    def unsent_bytes(self) -> int:
        """Encoded bytes that the socket has not taken yet."""
        return len(self._unsent)

    def put(self, message: Message, *, is_early: bool = False) -> None:
        """Keeps a message for the next flush; without a connection it is dropped."""
        if self._sock is not None:
            self._outbox.put(message, is_early=is_early)

    def flush(self, now: float, *, row_limit: int) -> int:
        """Writes what the socket takes now, without waiting.

        Args:
            now: Monotonic time in seconds.
            row_limit: Most counters that a report may carry.

        Returns:
            The number of bytes written.

        Raises:
            OSError: If the connection is broken or takes nothing for ``dead_after``.
            ProtocolError: If the connection must be opened again.
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
            # The task that waits for the socket does not get the error again.
            self._error = err
            raise
        if sent == len(self._unsent):
            self._unsent = b""
            self._stalled_at = None
        else:
            self._unsent = self._unsent[sent:]
            if sent or self._stalled_at is None:
                self._stalled_at = now
            if now - self._stalled_at > self._options.dead_after:
                raise TimeoutError(f"{self.address} takes no data")
        self._bytes.inc(sent)
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
                    self._filter.select(
                        message.counters,
                        now,
                        limit=row_limit,
                        is_early=is_early,
                        is_served_left_out=not self.takes_counters,
                    ),
                    message.slots,
                )
            elif isinstance(message, Sum):
                changed = self._sum_filter.select(message, limit=row_limit)
                if changed is None:
                    continue
                message = changed
            parts.extend(self._encoder.encode(message))
        self._messages.inc(len(parts))
        return parts

    def shut(self) -> None:
        """Ends the connection; the task that runs the link then closes it."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock._socket.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Ends the connection and opens no further one."""
        self._is_stopped = True
        self.shut()

    async def run(self, handler: Handler, rng: Random) -> None:
        """Keeps the connection open until it is stopped."""
        delay = self._options.reconnect_base_delay
        while not self._is_stopped:
            opened_at = time.monotonic()
            self._error = None
            try:
                await self._run_connection(handler)
            except (OSError, ProtocolError, curio.TaskTimeout) as err:
                _LOG.debug("connection to %s failed: %s", self.address, err)
                self._error = err
            state = judge_failure(self._error)
            if state is not None:
                handler.note_link(self.address, state)
            if time.monotonic() - opened_at > self._options.dead_after:
                delay = self._options.reconnect_base_delay
            await curio.sleep(delay * rng.uniform(0.5, 1.0))
            delay = min(2 * delay, self._options.reconnect_max_delay)

    async def _run_connection(self, handler: Handler) -> None:
        REACHABILITY.check(self.address.host)
        sock = await curio.timeout_after(self._options.connect_timeout, self._connect)
        try:
            REACHABILITY.check(self.address.host)
            if self._is_stopped:
                return
            REACHABILITY.track(sock, self.address.host)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            # Without a limit the retransmissions of a connection that lost contact
            # back off to minutes, and it stays silent for as long after a partition.
            # The peer's kernel acknowledges data also while its process is paused, so
            # this error tells a cut network from a slow router.
            limit_ms = int(self._options.suspect_after * 1000)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
            self._sock = sock
            handler.note_link(self.address, LinkState.CONNECTED)
            for message in handler.greet(self.address):
                self._outbox.put(message)
            self.flush(time.monotonic(), row_limit=FIRST_REPORT_ROWS)
            # A peer sends nothing here, so whatever can be read ends the connection.
            await sock.recv(1)
        finally:
            self._sock = None
            self._outbox = Outbox()
            self._encoder = Encoder()
            self._filter = ReportFilter()
            self._sum_filter = SumFilter()
            self._unsent = b""
            self._stalled_at = None
            await sock.close()

    async def _connect(self) -> Any:
        # The source address tells the peer, and its fault injection, which router
        # this is when several share one VM in tests.
        sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        try:
            sock.bind((self._source, 0))
            await sock.connect((self.address.host, self.address.port))
        except BaseException:
            await sock.close()
            raise
        return sock


class Peers:
    """All connections between this router and others."""

    def __init__(
        self,
        listen: Address,
        *,
        handler: Handler,
        options: Options,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._listen = listen
        self._handler = handler
        self._options = options
        self._metrics = metrics
        self._rng = rng
        self._sock: Any = None
        self._links: dict[Address, Link] = {}
        self._accepted: dict[Any, float] = {}

    def bind(self) -> Address:
        """Listens and returns the address with its real port.

        Raises:
            OSError: If the address cannot be used.
        """
        self._sock = curio.network.tcp_server_socket(
            self._listen.host, self._listen.port, backlog=1024
        )
        host, port = self._sock.getsockname()[:2]
        return Address(host, port)

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        try:
            await curio.network.run_server(self._sock, self._accept)
        finally:
            for link in self._links.values():
                link.stop()
            self._links.clear()

    async def connect(self, addresses: set[Address]) -> None:
        """Opens links to new addresses and closes those to all others."""
        for address in addresses:
            if address not in self._links:
                link = Link(
                    address,
                    source=self._listen.host,
                    options=self._options,
                    metrics=self._metrics,
                )
                # Known before the task starts, since two tasks call this method.
                self._links[address] = link
                await curio.spawn(link.run, self._handler, self._rng, daemon=True)
        for address in self._links.keys() - addresses:
            found = self._links.pop(address, None)
            if found is not None:
                found.stop()

    def limit_counters(self, addresses: set[Address] | None) -> None:
        """Lets only these peers have the counters of reports; None lets all."""
        for address, link in self._links.items():
            link.takes_counters = addresses is None or address in addresses

    def send(
        self,
        message: Message,
        address: Address | None = None,
        *,
        is_early: bool = False,
    ) -> None:
        """Keeps a message for one peer, or for all, until the next flush."""
        if address is not None:
            found = self._links.get(address)
            if found is not None:
                found.put(message, is_early=is_early)
            return
        for link in self._links.values():
            link.put(message, is_early=is_early)

    def flush(self, now: float, *, row_limit: int, counter_limit: int) -> int:
        """Writes what the sockets take now, without waiting.

        Args:
            now: Monotonic time in seconds.
            row_limit: Most rows that a report without served work may carry.
            counter_limit: Most counters that a report or a sum may carry.

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
                link.shut()
        return sent

    def close_silent(self, now: float) -> None:
        """Ends accepted connections on which nothing came for a long time."""
        for sock, heard_at in list(self._accepted.items()):
            if now - heard_at > 2 * self._options.dead_after:
                with contextlib.suppress(OSError):
                    sock._socket.shutdown(socket.SHUT_RDWR)

    @property
    def unsent_bytes(self) -> int:
        """Encoded bytes that the sockets have not taken yet."""
        return sum(link.unsent_bytes for link in self._links.values())

    async def _accept(self, sock: Any, peer: Any) -> None:
        host = peer[0]
        if REACHABILITY.is_blocked(host):
            return
        REACHABILITY.track(sock, host)
        self._accepted[sock] = time.monotonic()
        try:
            await self._read(sock)
        except ProtocolError as err:
            self._metrics.control_protocol_errors.inc()
            _LOG.warning(
                "bad message of a router", extra={"peer": host, "reason": str(err)}
            )
        except (OSError, curio.TaskTimeout) as err:
            _LOG.debug("connection from %s ended: %s", host, err)
        finally:
            del self._accepted[sock]

    async def _read(self, sock: Any) -> None:
        received_bytes = self._metrics.control_bytes.labels("in")
        received_messages = self._metrics.control_messages.labels("in")
        decoder = Decoder()
        identity: RouterIdentity | None = None
        try:
            while data := await self._receive(sock, is_first=identity is None):
                received_bytes.inc(len(data))
                self._accepted[sock] = time.monotonic()
                messages = decoder.feed(data)
                received_messages.inc(decoder.messages)
                decoder.messages = 0
                for message in messages:
                    if identity is None:
                        if not isinstance(message, Hello):
                            raise ProtocolError("the first message is not Hello")
                        identity = message.identity
                    elif isinstance(message, Hello):
                        raise ProtocolError("Hello came a second time")
                    await self._handler.receive(identity, message)
        finally:
            if identity is not None:
                await self._handler.note_closed(identity)

    async def _receive(self, sock: Any, *, is_first: bool) -> bytes:
        if is_first:
            data: bytes = await curio.timeout_after(
                HELLO_TIMEOUT_SECONDS, sock.recv, RECEIVE_BYTES
            )
        else:
            data = await sock.recv(RECEIVE_BYTES)
        return data
