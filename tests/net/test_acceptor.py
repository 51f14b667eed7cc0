"""Tests of the acceptance of connections: errors of accept, limits, failing tasks."""

from __future__ import annotations

import errno
import gc
import os
import resource
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import curio.io
import pytest

from sequoiamoor.net.acceptor import (
    BROKEN_SOCKET_ERRNOS,
    MAX_ACCEPTS_PER_TURN,
    MAX_TURN_SECONDS,
    Acceptor,
)

TIMEOUT_SECONDS = 10.0
FREE_DESCRIPTORS = 16


class FaultySocket:
    """A listening socket whose next accepts fail with the given errors."""

    def __init__(self, errors: list[int]) -> None:
        self._sock = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=1_000)
        self.errors = errors

    def getsockname(self) -> Any:
        return self._sock.getsockname()

    async def accept(self) -> Any:
        if self.errors:
            number = self.errors.pop(0)
            raise OSError(number, os.strerror(number))
        return await self._sock.accept()

    async def close(self) -> None:
        await self._sock.close()


class Observer:
    """Records what an acceptor counts."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.failures = self.pauses = 0

    def count_accept_error(self, listener: str, error: str) -> None:
        self.errors.append(error)

    def count_connection_failure(self, listener: str) -> None:
        self.failures += 1

    def count_accept_pause(self, listener: str) -> None:
        self.pauses += 1


async def echo(sock: Any, peer: Any) -> None:
    while data := await sock.recv(100):
        if data == b"fail":
            raise RuntimeError("a fault of the task")
        await sock.sendall(data)


def run(
    session: Callable[[Acceptor, Observer, FaultySocket], Awaitable[None]],
    errors: list[int] | None = None,
    **options: Any,
) -> None:
    """Runs a session beside an acceptor that echoes."""

    async def main() -> None:
        sock, observer = FaultySocket(errors or []), Observer()
        acceptor = Acceptor(sock, echo, name="test", observer=observer, **options)
        task = await curio.spawn(acceptor.run, daemon=True)
        async with curio.timeout_after(TIMEOUT_SECONDS):
            await session(acceptor, observer, sock)
        await task.cancel()
        assert not len(acceptor)

    curio.run(main)


async def ask(acceptor: Acceptor, data: bytes = b"x") -> bytes:
    """Sends data on a new connection and returns what comes back."""
    sock = await curio.open_connection(*acceptor.address)
    async with sock:
        await sock.sendall(data)
        answer: bytes = await sock.recv(100)
    return answer


NAMES = [
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "ECONNABORTED",
    "EPERM",
    "EINTR",
    "ECONNRESET",
    "EPROTO",
    "ETIMEDOUT",
    "ENETDOWN",
    "EHOSTUNREACH",
    "EIO",
]


@pytest.mark.parametrize("name", NAMES)
def test_error_of_accept_does_not_end_the_acceptor(name: str) -> None:
    """Guards against a listener that accepts nothing more after one failed accept."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        first = await curio.open_connection(*acceptor.address)
        async with first:
            await first.sendall(b"a")
            assert await first.recv(1) == b"a"
            sock.errors += [getattr(errno, name)] * 3
            # The accept that waits since before the errors takes one connection.
            for _ in range(4):
                assert await ask(acceptor) == b"x"
            await first.sendall(b"b")
            assert await first.recv(1) == b"b"
        assert set(observer.errors) == {name}

    run(session, [getattr(errno, name)] * 5)


@pytest.mark.parametrize("number", sorted(BROKEN_SOCKET_ERRNOS))
def test_socket_that_does_not_listen_ends_the_acceptor(number: int) -> None:
    """Guards against a loop of errors that no one is told of."""

    async def main() -> None:
        sock = FaultySocket([number])
        with pytest.raises(OSError, match=os.strerror(number)):
            await Acceptor(sock, echo, name="test").run()
        await sock.close()

    curio.run(main)


def test_accepting_goes_on_when_descriptors_are_free_again() -> None:
    """Guards against a listener that ends when the process has no descriptor left."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        caller = curio.socket.socket()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Tests before this one may have left descriptors open.
        highest = max(int(name) for name in os.listdir("/dev/fd"))
        limit = highest + FREE_DESCRIPTORS
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        fillers = []
        try:
            while True:
                fillers.append(os.dup(0))
        except OSError as err:
            assert err.errno == errno.EMFILE
        try:
            await caller.connect(acceptor.address)
            await caller.sendall(b"x")
            while len(observer.errors) < 3:
                await curio.sleep(0.001)
            os.close(fillers.pop())
            assert await caller.recv(1) == b"x"
        finally:
            for filler in fillers:
                os.close(filler)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            await caller.close()
        assert set(observer.errors) == {"EMFILE"}

    run(session)


def test_failing_connection_does_not_end_the_acceptor() -> None:
    """Guards against one connection's exception that ends a listener unseen."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        assert await ask(acceptor, b"fail") == b""
        assert await ask(acceptor) == b"x"
        assert observer.failures == 1

    run(session)


def test_connections_over_the_limit_wait_until_one_ends() -> None:
    """Guards against connections that are closed only because there are many."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        held = [await curio.open_connection(*acceptor.address) for _ in range(2)]
        waiting = await curio.spawn(ask, acceptor)
        while not observer.pauses:
            await curio.sleep(0.001)
        assert len(acceptor) == 2
        await held.pop().close()
        assert await waiting.join() == b"x"
        await held.pop().close()

    run(session, limit=2)


def test_probe_is_accepted_and_not_served() -> None:
    """Guards against a check of readiness that counts as a caller."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        probe = acceptor.expect_probe("127.0.0.1")
        async with curio.io.Socket(socket.socket()) as connection:
            await connection.connect(acceptor.address)
            # Accepted before its address is known, as on systems that choose the
            # source port late.
            while not len(acceptor):
                await curio.sleep(0)
            await probe.set_address(connection.getsockname())
            assert await connection.recv(1) == b""
        while len(acceptor):
            await curio.sleep(0)

    run(session)


def count_accepts(*, pass_seconds: float, accept_seconds: float) -> int:
    """Returns the most connections of a flood that one pass of the loop accepts."""
    accepted_by_pass = [0]

    def refuse(sock: Any) -> bool:
        accepted_by_pass[-1] += 1
        return True

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        flood = 10 * MAX_ACCEPTS_PER_TURN
        callers = [socket.create_connection(acceptor.address) for _ in range(flood)]
        while sum(accepted_by_pass) < flood:
            accepted_by_pass.append(0)
            await curio.sleep(0)
        for caller in callers:
            caller.close()

    def read_time() -> float:
        passes = len(accepted_by_pass) - 1
        return passes * pass_seconds + sum(accepted_by_pass) * accept_seconds

    run(session, end_at_once=refuse, read_time=read_time)
    return max(accepted_by_pass)


@pytest.mark.parametrize(
    ("accept_seconds", "most"),
    [(0.0, MAX_ACCEPTS_PER_TURN), (MAX_TURN_SECONDS / 3.5, 4), (1.0, 1)],
)
def test_flood_of_connections_lets_other_tasks_run(
    accept_seconds: float, most: int
) -> None:
    """Guards against timers and control that wait until a flood is accepted."""
    assert count_accepts(pass_seconds=0.0, accept_seconds=accept_seconds) == most


@pytest.mark.parametrize(
    ("pass_seconds", "accept_seconds", "most"),
    [(0.01, 0.0, 32), (0.1, 0.0, 100), (0.1, 0.0015, 14)],
)
def test_late_loop_accepts_as_many_connections_in_a_second(
    pass_seconds: float, accept_seconds: float, most: int
) -> None:
    """Guards against callers who wait in the kernel, unread, until they leave."""
    accepts = count_accepts(pass_seconds=pass_seconds, accept_seconds=accept_seconds)
    assert accepts == most


def test_ended_connection_is_freed_without_a_garbage_collection() -> None:
    """Guards against collections that a router does for each connection that ended."""

    async def session(acceptor: Acceptor, observer: Observer, sock: Any) -> None:
        assert await ask(acceptor) == b"x"
        while len(acceptor):
            await curio.sleep(0)
        gc.collect()
        gc.disable()
        try:
            connection = await curio.open_connection(*acceptor.address)
            async with connection:
                while not len(acceptor):
                    await curio.sleep(0)
                (task,) = [weakref.ref(task) for task in acceptor._tasks]
            while len(acceptor):
                await curio.sleep(0)
            await curio.sleep(0)
            assert task() is None
        finally:
            gc.enable()

    run(session)
