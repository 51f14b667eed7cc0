"""A small HTTP server that the stand-ins share."""

from __future__ import annotations

import json
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from ..errors import RefusalError
from ..net.http import Request, ServerConnection
from ..types import Address

_LOG = logging.getLogger(__name__)

Handler = Callable[[ServerConnection, Request], Awaitable[None]]

HEADER_LIMIT_BYTES = 65_536
BODY_LIMIT_BYTES = 16_777_216
IDLE_TIMEOUT_SECONDS = 120.0
RECEIVE_TIMEOUT_SECONDS = 30.0


async def send_json(
    connection: ServerConnection,
    status: int,
    document: Any,
    headers: dict[str, str] | None = None,
) -> None:
    """Sends a whole JSON response."""
    fields = {"content-type": "application/json", **(headers or {})}
    await connection.send_response(status, fields, json.dumps(document).encode())


async def serve_http(address: Address, handler: Handler) -> None:
    """Serves HTTP until cancelled; prints the bound address as one JSON line."""

    async def accept(sock: Any, peer: Any) -> None:
        connection = ServerConnection(
            sock, header_limit=HEADER_LIMIT_BYTES, body_limit=BODY_LIMIT_BYTES
        )
        try:
            while True:
                request = await connection.receive_request(
                    idle_timeout=IDLE_TIMEOUT_SECONDS,
                    receive_timeout=RECEIVE_TIMEOUT_SECONDS,
                )
                if request is None:
                    return
                await handler(connection, request)
                if not connection.start_next_cycle():
                    return
        except (OSError, RefusalError) as err:
            _LOG.debug("connection ended: %s", err)
        finally:
            await connection.close()

    sock = curio.network.tcp_server_socket(address.host, address.port, backlog=1024)
    print(json.dumps({"listening": list(sock.getsockname()[:2])}), flush=True)
    await curio.network.run_server(sock, accept)
