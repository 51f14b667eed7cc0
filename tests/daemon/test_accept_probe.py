"""Tests of the check that the listener of callers accepts connections."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from sequoiamoor.daemon import accept_probe
from sequoiamoor.daemon.accept_probe import AcceptProbe, probe
from sequoiamoor.net.acceptor import Acceptor

TIMEOUT_SECONDS = 10.0


async def serve(sock: Any, peer: Any) -> None:
    await sock.recv(1)


def build_acceptor(host: str = "127.0.0.1", limit: int | None = None) -> Acceptor:
    family = curio.socket.AF_INET6 if ":" in host else curio.socket.AF_INET
    sock = curio.network.tcp_server_socket(host, 0, family=family)
    return Acceptor(sock, serve, name="callers", limit=limit)


@pytest.mark.parametrize("host", ["127.0.0.1", "0.0.0.0", "::1", "::"])
def test_probe_is_accepted_at_any_address(host: str) -> None:
    """Guards against a router that is never ready because of its address."""

    async def main() -> None:
        acceptor = build_acceptor(host)
        task = await curio.spawn(acceptor.run, daemon=True)
        assert await probe(acceptor) is None
        assert not len(acceptor)
        await task.cancel()

    curio.run(main)


def test_router_is_not_ready_while_nothing_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a router that says ready and takes no new connection."""
    monkeypatch.setattr(accept_probe, "TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(accept_probe, "INTERVAL_SECONDS", 0.01)

    async def main() -> None:
        acceptor = build_acceptor(limit=1)
        check = AcceptProbe()
        assert not check.is_accepting
        probe_task = await curio.spawn(check.run, acceptor, daemon=True)

        async def wait_until(is_accepting: bool) -> None:
            while check.is_accepting != is_accepting:
                await curio.sleep(0.001)

        async with curio.timeout_after(TIMEOUT_SECONDS):
            accept_task = await curio.spawn(acceptor.run, daemon=True)
            await wait_until(True)
            caller = await curio.open_connection(*acceptor.address)
            await wait_until(False)
            await caller.close()
            await wait_until(True)
            await accept_task.cancel()
            await wait_until(False)
        await probe_task.cancel()

    curio.run(main)


def test_old_probe_shows_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against readiness by a probe from before a long pause."""

    async def main() -> None:
        acceptor = build_acceptor()
        check = AcceptProbe()
        accept_task = await curio.spawn(acceptor.run, daemon=True)
        task = await curio.spawn(check.run, acceptor, daemon=True)
        while not check.is_accepting:
            await curio.sleep(0.001)
        await task.cancel()
        await accept_task.cancel()
        monkeypatch.setattr(accept_probe, "MAX_AGE_SECONDS", 0.0)
        assert not check.is_accepting

    curio.run(main)
