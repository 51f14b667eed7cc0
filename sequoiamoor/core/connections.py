"""Callers' connections by organisation, and which idle one makes room for a new one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class CallerConnections(Generic[ConnectionT]):
    """Connections that are served, with the organisation of their first request.

    The organisation is None until the first request has told it, and if that request
    named none. A connection is idle from the end of a request until the next one; one
    that has not had a request yet is not idle.
    """

    def __init__(self) -> None:
        self._organisations: dict[ConnectionT, str | None] = {}
        self._counts: Counter[str | None] = Counter()
        self._idle: dict[str | None, dict[ConnectionT, float]] = {}

    def __len__(self) -> int:
        """Returns the number of connections."""
        return len(self._organisations)

    def __contains__(self, connection: object) -> bool:
        return connection in self._organisations

    def add(self, connection: ConnectionT) -> None:
        """Adds a connection that was just accepted."""
        self._organisations[connection] = None
        self._counts[None] += 1

    def find_organisation(self, connection: ConnectionT) -> str | None:
        """Returns the organisation of a connection, as far as it is known."""
        return self._organisations.get(connection)

    def set_organisation(self, connection: ConnectionT, organisation: str) -> None:
        """Records the organisation of a connection that has a request in service."""
        self._uncount(self._organisations[connection])
        self._organisations[connection] = organisation
        self._counts[organisation] += 1

    def start_request(self, connection: ConnectionT) -> None:
        """Records that a request of the connection was received."""
        self._take_from_idle(connection)

    def end_request(self, connection: ConnectionT, now: float) -> None:
        """Records that the connection has no request in service any more.

        Args:
            connection: The connection.
            now: Monotonic time in seconds.
        """
        if connection in self._organisations:
            organisation = self._organisations[connection]
            idle = self._idle.setdefault(organisation, {})
            # Moved to the end if it was there, so that the order is that of the times.
            idle.pop(connection, None)
            idle[connection] = now

    def remove(self, connection: ConnectionT) -> None:
        """Removes a connection, if it is there."""
        if connection in self._organisations:
            self._take_from_idle(connection)
            self._uncount(self._organisations.pop(connection))

    def _take_from_idle(self, connection: ConnectionT) -> None:
        organisation = self._organisations.get(connection)
        idle = self._idle.get(organisation)
        if idle is not None:
            idle.pop(connection, None)
            if not idle:
                del self._idle[organisation]

    def _uncount(self, organisation: str | None) -> None:
        self._counts[organisation] -= 1
        if not self._counts[organisation]:
            del self._counts[organisation]

    def list_idle(self, idle_before: float) -> Iterator[ConnectionT]:
        """Yields the idle connections in the order in which they make room.

        Those of the organisation with the most connections come first, and of one
        organisation the one that has been idle for the longest time.

        Args:
            idle_before: Monotonic time in seconds from which on a connection that has
                become idle does not make room.
        """
        by_count = sorted(
            self._idle, key=lambda organisation: -self._counts[organisation]
        )
        for organisation in by_count:
            for connection, idle_since in self._idle[organisation].items():
                if idle_since >= idle_before:
                    break
                yield connection

    def is_over_share(self, connection: ConnectionT, limit: int) -> bool:
        """Returns whether the connection's organisation holds more than an even share.

        The share is that of the organisations that have connections now. An unknown
        organisation has no share to exceed.

        Args:
            connection: The connection.
            limit: Number of connections to share.
        """
        organisation = self._organisations.get(connection)
        if organisation is None:
            return False
        known_count = len(self._counts) - (None in self._counts)
        return self._counts[organisation] * known_count > limit
