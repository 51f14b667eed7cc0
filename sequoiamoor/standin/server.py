"""Shared parts of the stand-ins: HTTP server, validated bodies, lagged reports."""

from __future__ import annotations

import json
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

import curio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import RefusalError
from ..net.acceptor import Acceptor
from ..net.http import Request
from ..net.http_server import ServerConnection
from ..settings import describe_errors
from ..types import Address

_LOG = logging.getLogger(__name__)

HEADER_LIMIT_BYTES = 65_536
BODY_LIMIT_BYTES = 16_777_216
IDLE_TIMEOUT_SECONDS = 120.0
RECEIVE_TIMEOUT_SECONDS = 30.0
LARGEST_DELAY_MS = 600_000.0
BACKLOG_CONNECTIONS = 1_024

Model = TypeVar("Model", bound=BaseModel)
Value = TypeVar("Value")


class BadInputError(Exception):
    """A request is invalid; the client gets the status, the code and the message."""

    def __init__(self, message: str, *, status: int = 400, code: str = "bad-input"):
        super().__init__(message)
        self.status = status
        self.code = code


class Body(BaseModel):
    """Base class of the request bodies that the stand-ins accept."""

    model_config = ConfigDict(extra="forbid", allow_inf_nan=False)


class UpstreamFaults(Body):
    """Fault switches that all upstreams have.

    Attributes:
        delay_ms: Milliseconds before a request is processed.
        remaining: Requests to which the faults still apply; None means all.
    """

    delay_ms: float = Field(0.0, ge=0, le=LARGEST_DELAY_MS)
    remaining: int | None = Field(None, ge=0)


class LeavingOrder(Body):
    """Body of ``POST /admin/leaving``."""

    leaving: bool


class LaggedValue(Generic[Value]):
    """A value whose changes become visible only after a lag in seconds."""

    def __init__(self, value: Value, *, lag: float) -> None:
        self._lag = lag
        self._changes = deque([(float("-inf"), value)])

    def set(self, value: Value, now: float) -> None:
        """Sets the value, which becomes visible after the lag."""
        self._prune(now)
        self._changes.append((now, value))

    def read(self, now: float) -> Value:
        """Returns the value as it was ``lag`` seconds ago."""
        self._prune(now)
        return self._changes[0][1]

    def _prune(self, now: float) -> None:
        while len(self._changes) > 1 and self._changes[1][0] <= now - self._lag:
            self._changes.popleft()


class StandInConnection(ServerConnection):
    """A server connection that can also send without blocking."""

    def send_now(self, data: bytes) -> int:
        """Sends as much as the socket accepts at once; returns the number of bytes.

        Raises:
            OSError: If the connection is broken.
        """
        try:
            count: int = self._sock._socket.send(data)
        except BlockingIOError:
            return 0
        self.bytes_sent += count
        return count


Handler = Callable[[StandInConnection, Request], Awaitable[None]]


def parse_body(model: type[Model], request: Request) -> Model:
    """Validates the JSON body of a request.

    Raises:
        BadInputError: If the body is not valid for the model.
    """
    try:
        return model.model_validate_json(request.body or b"{}")
    except ValidationError as err:
        raise BadInputError(describe_errors(err, "body")) from err


def check_method(request: Request, *methods: str) -> None:
    """Checks the method of a request.

    Raises:
        BadInputError: If the method is none of ``methods``.
    """
    if request.method not in methods:
        raise BadInputError(
            f"method {request.method!r} is not allowed for {request.path}; use "
            f"{' or '.join(methods)}",
            status=405,
            code="wrong-method",
        )


def reject_path(request: Request) -> BadInputError:
    """Returns the error for a path that the stand-in does not serve."""
    return BadInputError(
        f"path {request.path!r} is unknown", status=404, code="not-found"
    )


async def send_json(
    connection: ServerConnection,
    status: int,
    document: Any,
    headers: dict[str, str] | None = None,
) -> None:
    """Sends a complete JSON response."""
    fields = {"content-type": "application/json", **(headers or {})}
    await connection.send_response(status, fields, json.dumps(document).encode())


async def _send_error(
    connection: ServerConnection, status: int, code: str, message: str
) -> None:
    if connection.can_refuse:
        await send_json(connection, status, {"code": code, "message": message})


async def _serve_connection(connection: StandInConnection, handler: Handler) -> None:
    while True:
        try:
            request = await connection.receive_request(
                idle_timeout=IDLE_TIMEOUT_SECONDS,
                receive_timeout=RECEIVE_TIMEOUT_SECONDS,
            )
        except RefusalError as err:
            await _send_error(connection, err.status, err.code, str(err))
            return
        if request is None:
            return
        try:
            await handler(connection, request)
        except BadInputError as err:
            await _send_error(connection, err.status, err.code, str(err))
        if not connection.start_next_cycle():
            return


async def serve_socket(sock: Any, handler: Handler) -> None:
    """Serves HTTP on a listening socket until cancelled."""

    async def accept(client: Any, peer: Any) -> None:
        connection = StandInConnection(
            client, header_limit=HEADER_LIMIT_BYTES, body_limit=BODY_LIMIT_BYTES
        )
        try:
            await _serve_connection(connection, handler)
        except OSError as err:
            _LOG.debug("connection ended: %s", err)
        finally:
            await connection.close()

    await Acceptor(sock, accept, name="stand-in").run()


def listen(address: Address) -> tuple[Any, Address]:
    """Returns a listening socket and its address; port 0 selects a free port."""
    sock = curio.network.tcp_server_socket(
        address.host, address.port, backlog=BACKLOG_CONNECTIONS
    )
    host, port = sock.getsockname()[:2]
    return sock, Address(host, port)


async def serve_http(address: Address, handler: Handler) -> None:
    """Serves HTTP until cancelled; prints the bound address as one JSON line."""
    sock, bound = listen(address)
    print(json.dumps({"listening": [bound.host, bound.port]}), flush=True)
    await serve_socket(sock, handler)
