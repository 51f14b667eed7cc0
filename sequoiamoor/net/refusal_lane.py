"""Refusals of connections over the limit, with few descriptors and little work each."""

from __future__ import annotations

import contextlib
import re
import socket
from typing import Any

from ..errors import RefusalError
from ..timeouts import wait_for
from .caller import to_refusal_body
from .http import HEAD_END_PATTERN, RECEIVE_BYTES
from .receiving import discard, receive, receive_arrived

FIRST_BYTES_TIMEOUT_SECONDS = 0.2
"""Wait for the request before the refusal is sent. Some clients take a response that
precedes their request for a fault of the connection."""

LINGER_SECONDS = 1.0
"""Time for the caller to read the refusal and close. The kernel resets a connection
that is closed with unread data, and a reset discards what was not read yet."""

_LENGTH = re.compile(rb"(?im)^content-length:[ \t]*(\d{1,9})[ \t]*\r$")
_HAS_CHUNKS = re.compile(rb"(?im)^transfer-encoding:")


def build_response(error: RefusalError) -> bytes:
    """Returns the bytes of a refusal that closes its connection."""
    body = to_refusal_body(error, None)
    retry_after = b""
    if error.retry_after is not None:
        retry_after = b"Retry-After: %.2g\r\n" % error.retry_after
    return (
        b"HTTP/1.1 %d Refused\r\nContent-Type: application/json\r\n%b"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n%b"
        % (error.status, retry_after, len(body), body)
    )


def is_whole_request(data: bytes) -> bool:
    """Returns whether the data is one whole request, so that no more will come."""
    match = HEAD_END_PATTERN.search(data)
    if match is None or _HAS_CHUNKS.search(data, 0, match.end()):
        return False
    length = _LENGTH.search(data, 0, match.end())
    return len(data) - match.end() == (int(length[1]) if length else 0)


def refuse_at_once(sock: Any, response: bytes) -> bool:
    """Refuses a connection if its whole request has arrived; it can be closed then.

    Args:
        sock: Socket of the connection, non-blocking.
        response: Bytes of the refusal.

    Returns:
        Whether it was refused. If not, nothing was read.
    """
    try:
        data = sock.recv(RECEIVE_BYTES, socket.MSG_PEEK)
        if not is_whole_request(data):
            return False
        # Closing with unread data would reset the connection and discard the refusal.
        receive_arrived(sock, len(data))
        sock.send(response)
    except OSError:
        return False
    return True


async def refuse(sock: Any, response: bytes) -> None:
    """Refuses what comes on a connection and returns when it can be closed.

    This takes at most ``FIRST_BYTES_TIMEOUT_SECONDS`` and ``LINGER_SECONDS`` together.

    Raises:
        OSError: If the connection fails.
    """
    data = await wait_for(FIRST_BYTES_TIMEOUT_SECONDS, receive, sock)
    if data is None:
        data = receive_arrived(sock._socket)
    if data == b"":
        return
    # A few hundred bytes always fit into the send buffer of a new connection.
    sock._socket.send(response)
    if is_whole_request(data or b""):
        return
    del data
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_WR)
    await wait_for(LINGER_SECONDS, _discard_received, sock)


async def _discard_received(sock: Any) -> None:
    while await discard(sock):
        pass
