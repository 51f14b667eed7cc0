"""Runs a stand-in inside the test process on a free port."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from sequoiamoor.net.http_client import ClientConnection, exchange
from sequoiamoor.standin.engine import EngineStandIn
from sequoiamoor.standin.server import listen, serve_socket
from sequoiamoor.types import Address

TIMEOUT_SECONDS = 20.0


def run_with(stand_in: Any, client: Callable[[Address], Awaitable[Any]]) -> Any:
    """Serves a stand-in while ``client`` runs and returns the client's result."""

    async def run() -> Any:
        sock, address = listen(Address("127.0.0.1", 0))
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(serve_socket, sock, stand_in.handle)
            if isinstance(stand_in, EngineStandIn):
                await tasks.spawn(stand_in.run_steps)
            try:
                return await curio.timeout_after(TIMEOUT_SECONDS, client, address)
            finally:
                await tasks.cancel_remaining()

    return curio.run(run)


async def send(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Sends one request and returns the status and the decoded body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    response, answer = await exchange(
        address,
        method,
        path,
        body=b"" if body is None else data,
        headers=headers,
        timeout=TIMEOUT_SECONDS,
    )
    if response.headers.get("content-type") != "application/json":
        return response.status, answer
    return response.status, json.loads(answer)


async def generate(
    address: Address, call_id: str, body: bytes, headers: dict[str, str] | None = None
) -> list[bytes]:
    """Returns the events of a generated answer that was sent to its end."""
    fields = {"x-call-id": call_id, "x-organisation": "a", **(headers or {})}
    response, answer = await exchange(
        address, "POST", "/v1/generate", body=body, headers=fields, timeout=20.0
    )
    assert response.status == 200, answer
    head_id = response.headers["x-call-id"]
    assert head_id == call_id, f"the head names {head_id!r}"
    return answer.split(b"\n\n")[:-1]


async def open_stream(address: Address, call_id: str, body: bytes) -> ClientConnection:
    """Returns a connection on which the response head has arrived."""
    connection = await ClientConnection.connect(address, timeout=TIMEOUT_SECONDS)
    fields = {"x-call-id": call_id, "x-organisation": "a"}
    await connection.send_request("POST", "/v1/generate", fields, body)
    await connection.receive_response()
    return connection
