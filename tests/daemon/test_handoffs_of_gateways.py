"""Tests of what a router process hands to others of its zone and takes over."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import curio
import curio.io
import pytest

from sequoiamoor.daemon.gateway import SETTLE_SECONDS, Gateway
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.net.tunnel import build_greeting
from sequoiamoor.settings import read_settings
from sequoiamoor.types import Address

from ..route_listener_harness import DECLARATION

SETTINGS: dict[str, Any] = {
    "router_id": "router-0",
    "zone": "zone-a",
    "policy": "shared-load",
    "http": "127.0.0.1:0",
    "control": "127.0.0.1:0",
    "platform": "127.0.0.1:1",
    "gateway": {
        "ready": "127.0.0.1:0",
        "metrics": "127.0.0.1:0",
        "handoff": "127.0.0.1:0",
        "repeats": {"ratio": 0.2, "window": 10, "extra": 56},
        "revocation_limit": 5.0,
        "grace": 8,
    },
}


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[Gateway]:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS), encoding="utf-8")
    settings = read_settings(path)
    assert settings.gateway is not None
    gateway = Gateway(settings, settings.gateway)
    gateway.board.configuration.declaration = parse_declaration(DECLARATION)
    gateway.board.configuration.version = 1
    gateway._directory.is_known = gateway._part_store.is_known = True
    gateway._freshness.confirm(gateway._freshness.read_time())
    yield gateway


def ask_to_take_over(gateway: Gateway) -> bytes:
    """Returns what a router that takes a connection over, or not, sends."""

    async def main() -> bytes:
        own_sock, other_sock = socket.socketpair()
        with other_sock:
            async with curio.io.Socket(own_sock) as sock:
                task = await curio.spawn(gateway._accept_handoff, sock, None)
                await curio.sleep(0)
                await task.cancel()
            other_sock.settimeout(1.0)
            return other_sock.recv(100)

    answer: bytes = curio.run(main)
    return answer


def forget_directory(gateway: Gateway) -> None:
    gateway._directory.is_known = False


def forget_parts(gateway: Gateway) -> None:
    gateway._part_store.is_known = False


def lose_store(gateway: Gateway) -> None:
    gateway._freshness._confirmed_at -= 10.0


def leave(gateway: Gateway) -> None:
    gateway.board.is_leaving = True


def start_just_now(gateway: Gateway) -> None:
    gateway._settled_at = time.monotonic() + SETTLE_SECONDS


@pytest.mark.parametrize(
    ("change", "takes_over"),
    [
        (lambda gateway: None, True),
        (forget_directory, False),
        (forget_parts, False),
        (lose_store, False),
        (leave, False),
        (start_just_now, False),
    ],
)
def test_router_takes_over_only_what_it_can_serve(
    gateway: Gateway, change: Callable[[Gateway], None], takes_over: bool
) -> None:
    """Guards against refusals by a router that starts, or is cut off from the store.

    The router that the caller reached would have served the request.
    """
    change(gateway)
    expected = build_greeting(1) if takes_over else b""
    assert ask_to_take_over(gateway) == expected


@pytest.mark.parametrize(
    ("handed_off", "has_room", "is_crowded"),
    [
        (0, True, False),
        (800, True, False),
        (801, True, True),
        (999, True, True),
        (1_000, False, True),
    ],
)
def test_handed_off_connections_take_two_places_of_callers(
    gateway: Gateway, handed_off: int, has_room: bool, is_crowded: bool
) -> None:
    """Guards against more descriptors than there are, or none for own requests.

    Connections to replicas keep their part of the budget whatever is handed off.
    """
    assert gateway.budget.callers == 2_000
    gateway._handoffs._open = handed_off
    assert gateway._handoffs.has_room() == has_room
    assert gateway._listener.is_crowded == is_crowded
    assert gateway._forwarder._pool.open_count == 0


def refuse_all(gateway: Gateway) -> None:
    for router_id in ("router-1", "router-2"):
        gateway._handoffs._targets.record_refused(router_id, time.monotonic())


def stay_alone(gateway: Gateway) -> None:
    gateway._handoffs.list_targets = list


def fill_places(gateway: Gateway) -> None:
    gateway._handoffs._open = gateway.budget.callers // 2


@pytest.mark.parametrize(
    ("change", "ends"),
    [
        (lambda gateway: None, True),
        (refuse_all, False),
        (stay_alone, False),
        (fill_places, False),
        (leave, False),
    ],
)
def test_kept_connection_ends_only_if_the_next_one_can_be_handed_off(
    gateway: Gateway, change: Callable[[Gateway], None], ends: bool
) -> None:
    """Guards against callers who connect anew for each request, to the same router."""
    gateway._handoffs.use.fraction = 1.0
    address = Address("127.0.0.1", 1)
    gateway._handoffs.list_targets = lambda: [
        ("router-1", address),
        ("router-2", address),
    ]
    change(gateway)
    assert gateway._listener.ends_after_response() == ends


def test_routers_of_the_zone_are_not_listed_for_each_request(
    gateway: Gateway,
) -> None:
    """Guards against a busy router that goes through its whole fleet each time."""
    calls: list[None] = []

    def list_targets() -> list[tuple[str, Address]]:
        calls.append(None)
        return [("router-1", Address("127.0.0.1", 1))]

    gateway._handoffs.use.fraction = 1.0
    gateway._handoffs.list_targets = list_targets
    for now in (0.0, 0.05, 0.09, 0.11, 0.15):
        assert gateway._handoffs.find_targets(now)
    assert len(calls) == 2
