"""Tests of orders with a platform and an engine in this process."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio
import pytest

from sequoiamoor.commands.orders import OrderSender
from sequoiamoor.core.leases import LeaseTerms, OrderKind
from sequoiamoor.errors import (
    LeaseHeldError,
    LeaseLostError,
    OrderRefusedError,
    OrderUnknownError,
    ReplicaUnknownError,
)
from sequoiamoor.net.http import Request
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.standin.platform import PlatformFaults, PlatformStandIn, WriteBody
from sequoiamoor.standin.server import listen, send_json, serve_socket
from sequoiamoor.types import Address

TERMS = LeaseTerms(duration_seconds=1.0, max_order_seconds=0.5)


class Engine:
    """An engine stand-in that accepts, refuses or ignores orders.

    Attributes:
        mode: ``"accept"``, ``"refuse"``, or ``"silent"`` to close without an answer.
        orders: Bodies of the received orders.
    """

    def __init__(self, mode: str = "accept") -> None:
        self.mode = mode
        self.orders: list[Any] = []

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        assert request.path == "/v1/orders"
        self.orders.append(json.loads(request.body))
        if self.mode == "silent":
            await connection.close()
            raise ConnectionAbortedError("no answer on purpose")
        is_accepted = self.mode == "accept"
        await send_json(
            connection,
            200 if is_accepted else 409,
            {} if is_accepted else {"code": "stale-fencing-number"},
        )


def run_orders(
    engine: Engine, steps: Callable[[Address], Awaitable[None]], *, lose: float = 0.0
) -> PlatformStandIn:
    platform = PlatformStandIn(Random(7), list_lag=0.0)
    declaration = {
        "organisations": {},
        "classes": {},
        "services": {"talk": {"kind": "engine"}, "desk": {"kind": "plain"}},
    }
    value = {"document": declaration, "change_id": "first"}
    platform._write("configuration", WriteBody(value=value, expected_version=0))
    platform._faults = PlatformFaults(lose_answers=lose)

    async def run() -> None:
        any_port = Address("127.0.0.1", 0)
        platform_sock, address = listen(any_port)
        engine_sock, at = listen(any_port)
        vm = {"role": "upstream", "zone": "z", "state": "live"}
        vm |= {"address": at.host, "port": at.port}
        vms = [
            {**vm, "id": "talk-0", "service": "talk"},
            {**vm, "id": "desk-0", "service": "desk"},
        ]
        platform._vm_lists.append((0.0, vms))
        async with curio.TaskGroup(wait=None) as tasks:
            await tasks.spawn(serve_socket, platform_sock, platform.handle)
            await tasks.spawn(serve_socket, engine_sock, engine.handle)
            await steps(address)

    curio.run(run)
    return platform


async def send(platform: Address, replica: str = "talk-0", wait: float = 0.0) -> Any:
    sender = OrderSender(platform, terms=TERMS)
    return await sender.send(replica, OrderKind.LOAD_MODEL, "chat-7b", wait_limit=wait)


def test_fencing_numbers_increase_with_each_order() -> None:
    """Guards against an engine that cannot tell an old order from a new one."""
    engine = Engine()

    async def steps(platform: Address) -> None:
        for _ in range(3):
            await send(platform)

    run_orders(engine, steps)
    numbers = [order["fencing_number"] for order in engine.orders]
    assert numbers == sorted(set(numbers)) and len(numbers) == 3
    assert engine.orders[0]["order"] == "load-model"
    assert engine.orders[0]["wanted"] == "chat-7b"


@pytest.mark.parametrize(
    ("mode", "replica", "error", "orders"),
    [
        ("refuse", "talk-0", OrderRefusedError, 1),
        ("silent", "talk-0", OrderUnknownError, 1),
        ("accept", "desk-0", ReplicaUnknownError, 0),
        ("accept", "other", ReplicaUnknownError, 0),
    ],
)
def test_failure_raises_the_matching_error(
    mode: str, replica: str, error: type[Exception], orders: int
) -> None:
    """Guards against reporting an order of unknown effect as refused or accepted."""
    engine = Engine(mode)

    async def steps(platform: Address) -> None:
        with pytest.raises(error):
            await send(platform, replica)

    run_orders(engine, steps)
    assert len(engine.orders) == orders


def test_order_after_an_unknown_effect_waits_for_the_lease() -> None:
    """Guards against an order that overtakes one that may still arrive."""
    engine = Engine("silent")

    async def steps(platform: Address) -> None:
        with pytest.raises(OrderUnknownError):
            await send(platform)
        with pytest.raises(LeaseHeldError):
            await send(platform)
        engine.mode = "accept"
        await send(platform, wait=30.0)

    run_orders(engine, steps)
    assert len(engine.orders) == 2


def test_lost_answers_of_the_platform_do_not_lose_the_lease() -> None:
    """Guards against a sender that takes its own lease for that of another holder.

    The platform loses answers, so the sender reads back leases that it wrote itself.
    """
    engine = Engine()

    async def steps(platform: Address) -> None:
        sent = 0
        while sent < 3:
            try:
                await send(platform, wait=30.0)
                sent += 1
            except LeaseLostError:
                continue

    platform = run_orders(engine, steps, lose=0.2)
    assert len(engine.orders) == 3
    assert platform._table["leases/orders-talk-0"].value["held"] is False
