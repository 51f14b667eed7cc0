"""Identifiers, enumerations and small data classes shared by all modules."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias

RouterId: TypeAlias = str
ReplicaId: TypeAlias = str
OrganisationName: TypeAlias = str
ServiceName: TypeAlias = str
ClassName: TypeAlias = str
ZoneName: TypeAlias = str

PUBLIC_ORGANISATION: OrganisationName = "(public)"
"""Organisation of requests on routes without keys.

It differs from every declared name, since those contain no parentheses.
"""


class Execution(enum.StrEnum):
    """What a caller may conclude about the execution of its request."""

    WAS_RUN = "was run"
    WAS_NOT_RUN = "was not run"
    MAY_HAVE_RUN = "may have run"


class ServiceKind(enum.StrEnum):
    """Kind of upstream behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be repeated, or are answered by a stream."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """What runs on a VM of the platform's list."""

    ROUTER = "router"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """One incarnation of one router.

    Attributes:
        router_id: Identifier of the VM.
        incarnation: Start time of the process in milliseconds; higher after a restart.
        zone: Availability zone of the router.
    """

    router_id: RouterId
    incarnation: int
    zone: ZoneName


@dataclass(slots=True)
class CallRequest:
    """One request of a caller while a router holds it.

    Attributes:
        call_id: Identifier made by the router, unique in the fleet and the same
            over all attempts; the upstream's answer carries it.
        request_id: Identifier given by the caller, or else the call identifier.
        organisation: Organisation that the request is charged to.
        class_name: Class of work of the organisation.
        service: Service that the request asks for.
        arrival: Monotonic time of arrival in seconds.
        deadline: Monotonic time by which the class target is met.
        wait_limit_at: Monotonic time after which the request is refused if it
            still waits.
        body: Body of the request, passed on unchanged.
        content_type: Media type of the body.
        cost_hint: Caller's estimate of the cost in service units, if any.
        prefix_key: Key of the prompt prefix, if any.
        wants_stream: Whether the caller asked for an event stream.
        has_caller_id: Whether the caller gave the request identifier.
        is_repeatable: Whether the service allows a second execution.
        caller_deadline_at: Monotonic time of the caller's own limit, if it gave one.
        attempts: Number of attempts started so far, without those that could not
            connect while other replicas had not been tried.
        started_at: Monotonic time in seconds at which the replica of the last attempt
            was chosen.
        excluded: Replicas where an attempt failed.
        excluded_until: Monotonic time until which these replicas are not tried again.
        charged: Work charged for the request so far, in service units.
        is_sent: Whether a byte of any attempt may have reached an upstream.
    """

    call_id: str
    request_id: str
    organisation: OrganisationName
    class_name: ClassName
    service: ServiceName
    arrival: float
    deadline: float
    wait_limit_at: float
    body: bytes
    content_type: str = "application/json"
    cost_hint: float | None = None
    prefix_key: str | None = None
    wants_stream: bool = False
    has_caller_id: bool = False
    is_repeatable: bool = True
    caller_deadline_at: float | None = None
    attempts: int = 0
    started_at: float = 0.0
    excluded: frozenset[ReplicaId] = frozenset()
    excluded_until: float = float("-inf")
    charged: float = 0.0
    is_sent: bool = False

    def may_use(self, replica_id: ReplicaId, now: float) -> bool:
        """Returns whether the next attempt may go to the replica.

        A replica that failed is avoided only until ``excluded_until``: a request that
        waits for another replica must not keep a slot idle.
        """
        return replica_id not in self.excluded or now >= self.excluded_until
