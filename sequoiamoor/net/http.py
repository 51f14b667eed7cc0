"""HTTP/1.1 code shared by client and server: messages, header fields, head checks."""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass, field
from typing import Any

from ..errors import MalformedRequestError

RECEIVE_BYTES = 65_536
HEAD_END_PATTERN = re.compile(rb"\n\r?\n")

_BODY_FRAMING_FIELDS = (b"content-length", b"transfer-encoding")

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """How long the kernel bears a peer that acknowledges neither data nor probes.

    Attributes:
        unacknowledged_ms: Milliseconds for which sent data or probes may stay
            unacknowledged.
        idle_seconds: Seconds without data from the peer before the first probe.
        interval_seconds: Seconds between two probes.
        probes: Unanswered probes after which the connection ends, if the system does
            not go by ``unacknowledged_ms``.
    """

    unacknowledged_ms: int
    idle_seconds: int
    interval_seconds: int
    probes: int


UPSTREAM_SILENCE = SilenceLimit(
    unacknowledged_ms=1_900, idle_seconds=1, interval_seconds=1, probes=2
)
"""Ends a connection to a partitioned upstream that has taken all that was sent.

The probes begin once it has. Before, the router resets the connection itself
(``UNACKNOWLEDGED_LIMIT_SECONDS``)."""

CALLER_SILENCE = SilenceLimit(
    unacknowledged_ms=10_000, idle_seconds=4, interval_seconds=3, probes=2
)
"""A caller whose link is silent for a few seconds still waits for its answer, and has
nobody else to get it from. Its deadline bounds the request, and the send timeout bounds
a caller that does not read. So this only frees what vanished callers still hold."""


@dataclass(slots=True)
class Request:
    """A request whose head and body were received completely.

    Attributes:
        headers: Field values by lower-case name; repeated fields are joined.
        target: Request target as received, with its query.
        fields: All fields as received, in their order.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    http_version: str = "1.1"
    target: bytes = b""
    fields: Headers = field(default_factory=list)


@dataclass(slots=True)
class Response:
    """A response whose head was received; the body is read separately.

    Attributes:
        headers: Field values by lower-case name; repeated fields are joined.
        fields: All fields as received, in their order.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    fields: Headers = field(default_factory=list)

    @property
    def is_framed(self) -> bool:
        """Whether a truncated body can be distinguished from a complete one."""
        return (
            self.status in (204, 304)
            or "content-length" in self.headers
            or "transfer-encoding" in self.headers
        )


def to_h11_headers(values: dict[str, str] | Headers) -> Headers:
    """Returns header fields in the form that h11 takes."""
    if isinstance(values, list):
        return list(values)
    return [(name.encode(), value.encode()) for name, value in values.items()]


def to_header_dict(headers: Any) -> dict[str, str]:
    """Returns header fields with lower-case names as text.

    The values of repeated fields are joined with commas. So a repeated field that
    allows only one value is later rejected as invalid, instead of its last value being
    used.
    """
    values: dict[str, str] = {}
    for raw_name, raw_value in list(headers):
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        values[name] = f"{values[name]}, {value}" if name in values else value
    return values


def check_request_head(head: bytes) -> None:
    """Rejects request heads that h11 accepts but other parsers read differently.

    Args:
        head: Raw bytes up to the empty line.

    Raises:
        MalformedRequestError: If a line does not end with CR LF or is folded, or if
            the head has both Content-Length and Transfer-Encoding.
    """
    names = set()
    # A bare line feed ends a line for some parsers and not for others.
    if head.count(b"\n") != head.count(b"\r\n") or not head.endswith(b"\r"):
        raise MalformedRequestError(
            "a line of the request head ends without a carriage return; end each line "
            "with CR LF"
        )
    for line in head.split(b"\n")[1:]:
        if line[:1] in (b" ", b"\t"):
            raise MalformedRequestError(
                "a header line is folded; send each header field on one line"
            )
        names.add(line.partition(b":")[0].strip().lower())
    if names.issuperset(_BODY_FRAMING_FIELDS):
        raise MalformedRequestError(
            "the request has both Content-Length and Transfer-Encoding; send one"
        )


def limit_silence(sock: Any, limit: SilenceLimit, *, is_probed: bool = True) -> None:
    """Lets the kernel end a TCP connection whose peer disappeared without a reset.

    Args:
        sock: Socket of the connection.
        limit: When it ends.
        is_probed: Whether the kernel probes it from the start while nothing is sent.
    """
    if sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    limit_unacknowledged_time(sock, limit.unacknowledged_ms)
    for option, value in (
        (socket.TCP_KEEPIDLE, limit.idle_seconds),
        (socket.TCP_KEEPINTVL, limit.interval_seconds),
        (socket.TCP_KEEPCNT, limit.probes),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    set_keepalive(sock, is_probed)


def limit_unacknowledged_time(sock: Any, milliseconds: int) -> None:
    """Lets the kernel end a TCP connection whose peer takes nothing for a time.

    The kernel counts the time for which the peer has no room as well, though the peer
    acknowledges its probes.

    Args:
        sock: Socket of the connection.
        milliseconds: The time; 0 for no limit.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def set_keepalive(sock: Any, is_on: bool) -> None:
    """Lets the kernel probe a connection on which nothing is sent, or not."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(is_on))


def peek(sock: Any) -> bytes | None:
    """Returns the next byte on a non-blocking socket without consuming it.

    Returns:
        None if no data was received, or ``b""`` if the connection is closed or broken.
    """
    try:
        return peek_or_raise(sock)
    except OSError:
        return b""


def peek_or_raise(sock: Any) -> bytes | None:
    """Returns the next byte on a non-blocking socket without consuming it.

    Returns:
        None if no data was received, or ``b""`` if the peer closed the connection.

    Raises:
        OSError: If the connection is broken. The kernel reports that once; later calls
            return ``b""``.
    """
    try:
        data: bytes = sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    return data


def peek_unread(sock: Any) -> int:
    """Returns how many bytes were received on a non-blocking socket and not read.

    Counts at most ``RECEIVE_BYTES``; 0 if the connection is closed or broken.
    """
    try:
        return len(sock.recv(RECEIVE_BYTES, socket.MSG_PEEK))
    except OSError:
        return 0


def disable_send_delay(sock: Any) -> None:
    """Disables Nagle's algorithm on a TCP socket."""
    # With the algorithm the kernel may delay a small chunk until the previous one is
    # acknowledged.
    if sock.family in (socket.AF_INET, socket.AF_INET6):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
