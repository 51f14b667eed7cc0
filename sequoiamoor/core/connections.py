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
        self._in_service: Counter[str | None] = Counter()
        self._serving: set[ConnectionT] = set()
        self._idle: dict[str | None, dict[ConnectionT, float]] = {}

    def __len__(self) -> int:
        """Returns the number of connections."""
        return len(self._organisations)

    def __iter__(self) -> Iterator[ConnectionT]:
        """Yields the connections."""
        return iter(self._organisations)

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
        """Records the organisation of a connection whose request is not served yet."""
        self._uncount(self._organisations[connection])
        self._organisations[connection] = organisation
        self._counts[organisation] += 1

    def start_request(self, connection: ConnectionT) -> None:
        """Records that a request of the connection was received."""
        self._take_from_idle(connection)

    def start_service(self, connection: ConnectionT) -> None:
        """Records that the request is served and not refused."""
        self._serving.add(connection)
        self._in_service[self._organisations[connection]] += 1

    def end_request(self, connection: ConnectionT, now: float) -> None:
        """Records that the connection has no request in service any more.

        Args:
            connection: The connection.
            now: Monotonic time in seconds.
        """
        if connection in self._organisations:
            self._end_service(connection)
            organisation = self._organisations[connection]
            idle = self._idle.setdefault(organisation, {})
            # Moved to the end if it was there, so that the order is that of the times.
            idle.pop(connection, None)
            idle[connection] = now

    def remove(self, connection: ConnectionT) -> None:
        """Removes a connection, if it is there."""
        if connection in self._organisations:
            self._end_service(connection)
            self._take_from_idle(connection)
            self._uncount(self._organisations.pop(connection))

    def _end_service(self, connection: ConnectionT) -> None:
        if connection in self._serving:
            self._serving.discard(connection)
            self._in_service[self._organisations[connection]] -= 1

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

    def has_spare_share(self, connection: ConnectionT, limit: int) -> bool:
        """Returns whether the connection's organisation has an even share or less.

        The share is that of the organisations that have connections now. An unknown
        organisation has no share to exceed.

        Args:
            connection: The connection.
            limit: Number of connections to share.
        """
        organisation = self._organisations.get(connection)
        return (
            organisation is None
            or self._counts[organisation] * self._known_count <= limit
        )

    def may_serve(self, connection: ConnectionT, limit: int) -> bool:
        """Returns whether less than that share of requests is in service.

        Connections whose requests are refused do not count, so that an organisation
        that connects often gets its share served.

        Args:
            connection: The connection, whose request is not in service yet.
            limit: Number of connections to share.
        """
        organisation = self._organisations.get(connection)
        return (
            organisation is None
            or self._in_service[organisation] * self._known_count < limit
        )

    @property
    def _known_count(self) -> int:
        return len(self._counts) - (None in self._counts)
