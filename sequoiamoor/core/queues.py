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
    """A waiting request in the heap of its queue.

    Attributes:
        deadline: Deadline of the request, as monotonic time in seconds.
        order: Order of arrival, which decides between equal deadlines.
        request: The request.
        is_removed: Whether the request has left the queue; the heap discards the
            entry when it comes first.
    """

    deadline: float
    order: int
    request: CallRequest = field(compare=False)
    is_removed: bool = field(default=False, compare=False)


class RequestQueues:
    """Bounded queues of waiting requests, each ordered by deadline.

    Within an organisation the earliest deadline comes first, whatever the class.
    """

    def __init__(self, *, limit_per_organisation: int) -> None:
        self._limit_per_organisation = limit_per_organisation
        self._heaps_by_key: dict[QueueKey, list[_Entry]] = {}
        self._entries_by_call_id: dict[str, _Entry] = {}
        self._counts: dict[QueueKey, int] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._entries_by_call_id)

    def __contains__(self, call_id: object) -> bool:
        return call_id in self._entries_by_call_id

    def add(self, request: CallRequest) -> None:
        """Adds a request.

        Raises:
            QueueFullError: If the organisation's queue for the service is full.
        """
        key = (request.service, request.organisation)
        if self._counts.get(key, 0) >= self._limit_per_organisation:
            raise QueueFullError(
                f"organisation {request.organisation!r} already has "
                f"{self._limit_per_organisation} requests waiting for "
                f"{request.service!r} here; send fewer at once or try again later",
                retry_after=1.0,
            )
        self._push(key, request)

    def put_back(self, request: CallRequest) -> None:
        """Puts back a request that was accepted before; the limit does not apply."""
        self._push((request.service, request.organisation), request)

    def _push(self, key: QueueKey, request: CallRequest) -> None:
        entry = _Entry(request.deadline, self._next_sequence, request)
        self._next_sequence += 1
        heapq.heappush(self._heaps_by_key.setdefault(key, []), entry)
        self._entries_by_call_id[request.call_id] = entry
        self._counts[key] = self._counts.get(key, 0) + 1

    def remove(self, call_id: str) -> CallRequest | None:
        """Removes a request and returns it, or None if it is not waiting."""
        entry = self._entries_by_call_id.pop(call_id, None)
        if entry is None:
            return None
        entry.is_removed = True
        request = entry.request
        key = (request.service, request.organisation)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
            del self._heaps_by_key[key]
        return request

    def peek(
        self, service: ServiceName, organisation: OrganisationName
    ) -> CallRequest | None:
        """Returns the organisation's request with the earliest deadline."""
        heap = self._heaps_by_key.get((service, organisation))
        while heap:
            if not heap[0].is_removed:
                return heap[0].request
            heapq.heappop(heap)
        return None

    def list_first(
        self, service: ServiceName, organisation: OrganisationName, count: int
    ) -> list[CallRequest]:
        """Returns up to ``count`` requests, those with the earliest deadlines."""
        heap = self._heaps_by_key.get((service, organisation), [])
        waiting_entries = (entry for entry in heap if not entry.is_removed)
        return [entry.request for entry in heapq.nsmallest(count, waiting_entries)]

    def count(self, service: ServiceName, organisation: OrganisationName) -> int:
        """Returns how many requests of the organisation wait for the service."""
        return self._counts.get((service, organisation), 0)

    def organisations(self, service: ServiceName) -> list[OrganisationName]:
        """Returns the organisations with requests waiting for the service."""
        return [
            name for (queue_service, name) in self._counts if queue_service == service
        ]

    def update_deadlines(self, find_target: Callable[[CallRequest], float]) -> None:
        """Applies changed class targets to the waiting requests.

        Args:
            find_target: Returns the target of a request in seconds after arrival.
        """
        for entry in self._entries_by_call_id.values():
            request = entry.request
            request.deadline = request.arrival + find_target(request)
            entry.deadline = request.deadline
        for heap in self._heaps_by_key.values():
            heapq.heapify(heap)

    def services(self) -> set[ServiceName]:
        """Returns the services with waiting requests."""
        return {service for (service, _) in self._counts}

    def requests(self) -> Iterator[CallRequest]:
        """Returns an iterator over all waiting requests, in no particular order."""
        return (entry.request for entry in list(self._entries_by_call_id.values()))
