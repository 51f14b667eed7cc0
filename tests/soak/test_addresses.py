"""Tests of what keeps other programs of the machine away from the soak's ports."""

from __future__ import annotations

import socket
from pathlib import Path

from sequoiamoor.types import Address

from .addresses import find_own_host
from .routers import Router


def test_reserved_ports_stay_free_though_others_listen_on_their_numbers(
    tmp_path: Path,
) -> None:
    """Guards against a router that cannot start: another program bound its port."""
    router = Router("router-0", tmp_path, Address("127.0.0.1", 9))
    for address in (router.http, router.ready, router.control, router.metrics):
        with (
            socket.create_server(("127.0.0.1", address.port)),
            socket.create_server((address.host, address.port)),
        ):
            pass


def test_running_processes_have_different_loopback_addresses() -> None:
    """Guards against two soaks that share an address, from the first to the last id."""
    hosts = [find_own_host(process_id) for process_id in (1, 256, (1 << 22) - 1)]
    assert hosts == ["127.128.0.1", "127.128.1.0", "127.191.255.255"]
    assert find_own_host() == find_own_host()
