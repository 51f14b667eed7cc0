"""Tests of fault injection."""

from __future__ import annotations

import curio
import pytest

from sequoiamoor.daemon.debug import DebugPages
from sequoiamoor.net import http_client
from sequoiamoor.net.reachability import Reachability
from sequoiamoor.types import Address


def test_blocked_prefix_ends_connections_until_it_heals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an injected partition that leaves some connections open."""
    reachability = Reachability()
    reachability.enable()
    monkeypatch.setattr(http_client, "REACHABILITY", reachability)

    async def hold(sock: curio.io.Socket, peer: object) -> None:
        await sock.recv(1)

    async def main() -> None:
        socks = [
            curio.network.tcp_server_socket(f"127.0.{third_octet}.1", 0)
            for third_octet in (2, 3)
        ]
        addresses = [Address(*sock.getsockname()) for sock in socks]
        for sock in socks:
            await curio.spawn(curio.network.run_server, sock, hold, daemon=True)
        connections = [
            await http_client.ClientConnection.connect(address, timeout=10.0)
            for address in addresses
        ]
        reachability.block(["127.0.2."])
        async with curio.timeout_after(10.0):
            with pytest.raises(ConnectionError):
                await connections[0].receive_response()
        with pytest.raises(ConnectionRefusedError, match=r"/debug/partition"):
            await http_client.ClientConnection.connect(addresses[0], timeout=10.0)
        # The other connection is still open: it receives nothing and does not end.
        result = await curio.ignore_after(0.05, connections[1].receive_response)
        assert result is None
        reachability.block([])
        again = await http_client.ClientConnection.connect(addresses[0], timeout=10.0)
        for connection in (*connections, again):
            await connection.close()

    curio.run(main)


# Guards against a fault injection that fails and leaves connections open, since an
# error that a link keeps refers to the frames of its connection.
def test_closed_connection_that_is_still_referenced_is_passed_over() -> None:
    reachability = Reachability()
    reachability.enable()

    async def main() -> None:
        (closed, peer), (ours, theirs) = (curio.socket.socketpair() for _ in range(2))
        async with peer, ours, theirs, curio.timeout_after(10.0):
            for sock in (closed, ours):
                reachability.track(sock, "127.0.2.1")
            await closed.close()
            reachability.block(["127.0.2."])
            assert await theirs.recv(1) == b""

    curio.run(main)


def test_page_exists_only_with_the_setting() -> None:
    """Guards against fault injection that is reachable in production."""
    assert "/debug/partition" not in DebugPages(is_enabled=False)
    assert "/debug/partitions" not in DebugPages(is_enabled=True)
    assert "/debug/partition" in DebugPages(is_enabled=True)
