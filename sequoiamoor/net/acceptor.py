"""Acceptance of connections on a listening socket, whatever a single accept returns."""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio

from ..timeouts import STRAY_TIMEOUTS

_LOG = logging.getLogger(__name__)

EXHAUSTION_PAUSE_SECONDS = 0.02
"""Pause after an accept for which descriptors or memory were lacking. The queue of the
kernel holds the connections meanwhile."""

REPEATED_ERROR_PAUSE_SECONDS = 0.001
"""Pause after any other error, so that one that returns does not occupy the loop."""

MAX_ACCEPTS_PER_TURN = 32
"""Connections that are accepted, if passes are short, before the other tasks run again.
Each of them brings a request to the next pass of the event loop."""

MAX_TURN_SECONDS = 0.005
"""Time after which the other tasks run again, since a connection that is refused at
once takes much longer than one that is only accepted."""

ACCEPTS_PER_SECOND = 1_000.0
"""Connections that are accepted in any case, however long the passes of the loop are.
Others would wait in the kernel, unread, until their callers leave."""

MAX_TURN_FRACTION = 0.2
"""Part of the time of a pass that the next turn may take."""

LOG_INTERVAL_SECONDS = 5.0
"""Shortest time between two lines about errors of one acceptor."""

EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors after which the next accept fails as well until something is freed."""

BROKEN_SOCKET_ERRNOS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
"""Errors that say that the socket does not listen: no further accept can succeed."""

Serve = Callable[[Any, Any], Awaitable[None]]


class AcceptObserver(Protocol):
    """Counts what happens at the listening sockets."""

    def count_accept_error(self, listener: str, error: str) -> None:
        """Counts a failed accept by its error name."""

    def count_connection_failure(self, listener: str) -> None:
        """Counts a connection whose task ended with an unexpected exception."""

    def count_accept_pause(self, listener: str) -> None:
        """Counts a time for which a listener accepted nothing because it was full."""


class _NoObserver:
    def count_accept_error(self, listener: str, error: str) -> None:
        """Does nothing."""

    def count_connection_failure(self, listener: str) -> None:
        """Does nothing."""

    def count_accept_pause(self, listener: str) -> None:
        """Does nothing."""


class Probe:
    """A connection of this process to its own listener, which is not to be served.

    Its source address is known only once it is connected: some systems choose it then.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self._address: Any = None
        self._is_known = curio.Event()

    async def set_address(self, address: Any) -> None:
        """Sets the source address, or None if the connection failed."""
        self._address = address
        await self._is_known.set()

    async def matches(self, peer: Any) -> bool:
        """Returns whether an accepted connection is the probe's."""
        if peer[0] != self.host:
            return False
        await self._is_known.wait()
        return bool(peer == self._address)


class ConnectionRoom:
    """Connections that one acceptor, or several together, may have open.

    Args:
        limit: Connections that may be open at the same time; None for any number.
    """

    def __init__(self, limit: int | None) -> None:
        self._limit = limit
        self._taken = 0
        self._has_ended = curio.Event()

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be accepted."""
        return self._limit is not None and self._taken >= self._limit

    def take(self) -> None:
        """Takes the place of an accepted connection."""
        self._taken += 1

    async def give_back(self) -> None:
        """Gives back the place of a connection that has ended."""
        was_full = self.is_full
        self._taken -= 1
        if was_full:
            await self._has_ended.set()

    async def wait(self) -> None:
        """Waits until a further connection may be accepted."""
        while self.is_full:
            self._has_ended.clear()
            await self._has_ended.wait()


class Acceptor:
    """Accepts connections on one socket and runs a task for each.

    Connections that were accepted go on when accepting fails; they end when ``run`` is
    cancelled.

    Attributes:
        name: Name of the listener in the log and the metrics.
        room: Connections that may be open at the same time. At the limit nothing is
            accepted until one ends, and the kernel's queue holds the others.
    """

    def __init__(
        self,
        sock: Any,
        serve: Serve,
        *,
        name: str,
        limit: int | None = None,
        room: ConnectionRoom | None = None,
        observer: AcceptObserver | None = None,
        end_at_once: Callable[[Any], bool] = lambda sock: False,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialises the acceptor.

        Args:
            sock: Listening curio socket.
            serve: Serves one connection until it ends; the socket is closed after it.
            name: Name of the listener in the log and the metrics.
            limit: Connections that may be open at the same time; None for any number.
            room: Places of the connections, if other acceptors share them. The limit
                does not count then.
            observer: Counts errors and pauses.
            end_at_once: Called with each accepted socket; returns whether the
                connection is dealt with, so that it needs no task.
            read_time: Monotonic time in seconds.
        """
        self._read_time = read_time
        self._sock = sock
        self._serve = serve
        self.name = name
        self._observer = observer or _NoObserver()
        self._end_at_once = end_at_once
        self._tasks: set[Any] = set()
        self._probe: Probe | None = None
        self._logged_at = float("-inf")
        self._unlogged_errors = 0
        self.room = room or ConnectionRoom(limit)

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._tasks)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port on which the socket listens."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    def expect_probe(self, host: str) -> Probe:
        """Makes the connection of a probe from this host end once it is accepted."""
        self._probe = Probe(host)
        return self._probe

    def forget_probe(self) -> None:
        """Serves all connections again."""
        self._probe = None

    async def run(self) -> None:
        """Accepts connections until cancelled.

        Raises:
            OSError: If the socket does not listen.
        """
        try:
            pass_seconds = 0.0
            while True:
                await self._wait_for_room()
                await self._take_turn(pass_seconds)
                turn_ended_at = self._read_time()
                await curio.sleep(0)
                pass_seconds = self._read_time() - turn_ended_at
        except curio.CancelledError:
            await self._end_all()
            raise

    async def _take_turn(self, pass_seconds: float) -> None:
        """Accepts connections before the other tasks run again.

        Args:
            pass_seconds: Time that these took since the last turn.
        """
        most = max(MAX_ACCEPTS_PER_TURN, int(ACCEPTS_PER_SECOND * pass_seconds))
        seconds = max(MAX_TURN_SECONDS, MAX_TURN_FRACTION * pass_seconds)
        ends_at = self._read_time() + seconds
        for _ in range(most):
            await self._accept_next()
            if self.room.is_full or self._read_time() >= ends_at:
                break

    async def _wait_for_room(self) -> None:
        if self.room.is_full:
            self._observer.count_accept_pause(self.name)
            await self.room.wait()

    async def _accept_next(self) -> None:
        try:
            sock, peer = await self._sock.accept()
        except OSError as err:
            if err.errno in BROKEN_SOCKET_ERRNOS:
                raise
            await self._pause_after(err)
            return
        if self._end_at_once(sock._socket):
            await sock.close()
            return
        self.room.take()
        # The new task runs only after this one waits.
        self._tasks.add(
            await curio.spawn(self._serve_connection, sock, peer, daemon=True)
        )

    async def _pause_after(self, err: OSError) -> None:
        error = errno.errorcode.get(err.errno or 0, "unknown")
        self._observer.count_accept_error(self.name, error)
        self._unlogged_errors += 1
        now = time.monotonic()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            _LOG.warning(
                "connection not accepted; accepting goes on",
                extra={
                    "reason": error,
                    "detail": f"{self.name}: {self._unlogged_errors} errors since "
                    f"the last such line, {len(self._tasks)} connections are open",
                },
            )
            self._logged_at, self._unlogged_errors = now, 0
        if err.errno in EXHAUSTION_ERRNOS:
            await curio.sleep(EXHAUSTION_PAUSE_SECONDS)
        else:
            await curio.sleep(REPEATED_ERROR_PAUSE_SECONDS)

    async def _serve_connection(self, sock: Any, peer: Any) -> None:
        # Asked last, the task would refer to itself by the result.
        task = await curio.current_task()
        try:
            try:
                if self._probe is None or not await self._probe.matches(peer):
                    await self._serve(sock, peer)
            finally:
                await sock.close()
        except OSError as err:
            _LOG.debug("connection of %s lost: %s", self.name, err)
        except (Exception, *STRAY_TIMEOUTS):
            self._observer.count_connection_failure(self.name)
            _LOG.exception(
                "connection ended by an unexpected exception",
                extra={"reason": self.name},
            )
        finally:
            self._tasks.discard(task)
            del task
            await self.room.give_back()

    async def _end_all(self) -> None:
        """Closes the socket, cancels the open connections and waits for their end."""
        await self._sock.close()
        tasks = list(self._tasks)
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()
