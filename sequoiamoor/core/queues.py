"""Waiting requests of one router, by service and organisation."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..errors import QueueFullError
from ..types import CallRequest, OrganisationName, ServiceName

QueueKey = tuple[ServiceName, OrganisationName]


@dataclass(order=True, slots=True)
class _Entry:
    deadline: float
    order: int
    request: CallRequest = field(compare=False)
    is_removed: bool = field(default=False, compare=False)


class RequestQueues:
    """Bounded queues, each ordered by deadline.

    Within an organisation the earliest deadline goes first, whatever the class.
    """

    def __init__(self, *, limit_per_organisation: int) -> None:
        self._limit = limit_per_organisation
        self._heaps: dict[QueueKey, list[_Entry]] = {}
        self._entries: dict[str, _Entry] = {}
        self._counts: dict[QueueKey, int] = {}
        self._next_order = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, call_id: object) -> bool:
        return call_id in self._entries

    def add(self, request: CallRequest) -> None:
        """Adds a request.

        Raises:
            QueueFullError: If the organisation's queue for the service is full.
        """
        key = (request.service, request.organisation)
        if self._counts.get(key, 0) >= self._limit:
            raise QueueFullError(
                f"organisation {request.organisation!r} already has {self._limit} "
                f"requests waiting for {request.service!r} here; send fewer at once "
                "or try again later",
                retry_after=1.0,
            )
        self._push(key, request)

    def add_again(self, request: CallRequest) -> None:
        """Puts a request back that was already accepted; no limit applies."""
        self._push((request.service, request.organisation), request)

    def _push(self, key: QueueKey, request: CallRequest) -> None:
        entry = _Entry(request.deadline, self._next_order, request)
        self._next_order += 1
        heapq.heappush(self._heaps.setdefault(key, []), entry)
        self._entries[request.call_id] = entry
        self._counts[key] = self._counts.get(key, 0) + 1

    def remove(self, call_id: str) -> CallRequest | None:
        """Removes a request and returns it, or None if it does not wait."""
        entry = self._entries.pop(call_id, None)
        if entry is None:
            return None
        entry.is_removed = True
        request = entry.request
        key = (request.service, request.organisation)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
            del self._heaps[key]
        return request

    def peek(
        self, service: ServiceName, organisation: OrganisationName
    ) -> CallRequest | None:
        """Returns the organisation's request with the earliest deadline."""
        heap = self._heaps.get((service, organisation))
        while heap:
            if not heap[0].is_removed:
                return heap[0].request
            heapq.heappop(heap)
        return None

    def list_first(
        self, service: ServiceName, organisation: OrganisationName, count: int
    ) -> list[CallRequest]:
        """Returns the organisation's first requests by deadline, at most ``count``."""
        heap = self._heaps.get((service, organisation), [])
        waiting = (entry for entry in heap if not entry.is_removed)
        return [entry.request for entry in heapq.nsmallest(count, waiting)]

    def count(self, service: ServiceName, organisation: OrganisationName) -> int:
        """Returns how many requests of the organisation wait for the service."""
        return self._counts.get((service, organisation), 0)

    def organisations(self, service: ServiceName) -> list[OrganisationName]:
        """Returns the organisations with requests waiting for the service."""
        return [name for (queued, name) in self._counts if queued == service]

    def update_deadlines(self, find_target: Callable[[CallRequest], float]) -> None:
        """Applies changed class targets to the requests that wait.

        Args:
            find_target: Returns the target of a request in seconds after arrival.
        """
        for entry in self._entries.values():
            request = entry.request
            request.deadline = request.arrival + find_target(request)
            entry.deadline = request.deadline
        for heap in self._heaps.values():
            heapq.heapify(heap)

    def services(self) -> set[ServiceName]:
        """Returns the services with waiting requests."""
        return {service for (service, _) in self._counts}

    def requests(self) -> Iterator[CallRequest]:
        """Yields all waiting requests in no particular order."""
        return (entry.request for entry in list(self._entries.values()))
