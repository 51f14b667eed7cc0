"""Waiting requests of one router, by service and organisation."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

from ..errors import QueueFullError
from ..types import CallRequest, OrganisationName, ServiceName

QueueKey = tuple[ServiceName, OrganisationName]


_Entry = tuple[float, int, CallRequest]
"""Deadline as monotonic time in seconds, order of arrival, and the request.

The order of arrival decides between equal deadlines and is unique."""


class RequestQueues:
    """Bounded queues of waiting requests, each kept in the order of deadlines.

    Within an organisation the earliest deadline comes first, whatever the class.
    """

    def __init__(self, *, limit_per_organisation: int) -> None:
        self._limit_per_organisation = limit_per_organisation
        self._queues_by_key: dict[QueueKey, list[_Entry]] = {}
        self._entries_by_call_id: dict[str, _Entry] = {}
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
        if self.count(*key) >= self._limit_per_organisation:
            raise QueueFullError(
                f"organisation {request.organisation!r} already has "
                f"{self._limit_per_organisation} requests waiting for "
                f"{request.service!r} here; send fewer at once or try again later",
                retry_after=1.0,
            )
        self._push(key, request)

    def copy(self) -> RequestQueues:
        """Returns queues with the same requests that can be changed on their own."""
        queues = RequestQueues(limit_per_organisation=self._limit_per_organisation)
        queues._queues_by_key = {
            key: list(queue) for key, queue in self._queues_by_key.items()
        }
        queues._entries_by_call_id = dict(self._entries_by_call_id)
        queues._next_sequence = self._next_sequence
        return queues

    def put_back(self, request: CallRequest) -> None:
        """Puts back a request that was accepted before; the limit does not apply."""
        self._push((request.service, request.organisation), request)

    def _push(self, key: QueueKey, request: CallRequest) -> None:
        entry = (request.deadline, self._next_sequence, request)
        self._next_sequence += 1
        insort(self._queues_by_key.setdefault(key, []), entry)
        self._entries_by_call_id[request.call_id] = entry

    def remove(self, call_id: str) -> CallRequest | None:
        """Removes a request and returns it, or None if it is not waiting."""
        entry = self._entries_by_call_id.pop(call_id, None)
        if entry is None:
            return None
        request = entry[2]
        key = (request.service, request.organisation)
        queue = self._queues_by_key[key]
        del queue[bisect_left(queue, entry)]
        if not queue:
            del self._queues_by_key[key]
        return request

    def peek(
        self, service: ServiceName, organisation: OrganisationName
    ) -> CallRequest | None:
        """Returns the organisation's request with the earliest deadline."""
        queue = self._queues_by_key.get((service, organisation))
        return queue[0][2] if queue else None

    def list_first(
        self, service: ServiceName, organisation: OrganisationName, count: int
    ) -> list[CallRequest]:
        """Returns up to ``count`` requests, those with the earliest deadlines."""
        queue = self._queues_by_key.get((service, organisation), [])
        return [request for _, _, request in queue[:count]]

    def count(self, service: ServiceName, organisation: OrganisationName) -> int:
        """Returns how many requests of the organisation wait for the service."""
        return len(self._queues_by_key.get((service, organisation), ()))

    def organisations(self, service: ServiceName) -> list[OrganisationName]:
        """Returns the organisations with requests waiting for the service."""
        return [
            name
            for (queue_service, name) in self._queues_by_key
            if queue_service == service
        ]

    def update_deadlines(self, find_target: Callable[[CallRequest], float]) -> None:
        """Applies changed class targets to the waiting requests.

        Args:
            find_target: Returns the target of a request in seconds after arrival.
        """
        self._queues_by_key.clear()
        for call_id, (_, order, request) in self._entries_by_call_id.items():
            request.deadline = request.arrival + find_target(request)
            entry = (request.deadline, order, request)
            self._entries_by_call_id[call_id] = entry
            key = (request.service, request.organisation)
            self._queues_by_key.setdefault(key, []).append(entry)
        for queue in self._queues_by_key.values():
            queue.sort()

    def services(self) -> set[ServiceName]:
        """Returns the services with waiting requests."""
        return {service for (service, _) in self._queues_by_key}

    def requests(self) -> Iterator[CallRequest]:
        """Returns an iterator over all waiting requests, in no particular order."""
        return (request for _, _, request in list(self._entries_by_call_id.values()))
