"""Typed messages between routers; ``net/wire.py`` gives their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

from ..types import (
    Address,
    OrganisationName,
    ReplicaId,
    RouterIdentity,
    ServiceName,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a connection.

    Attributes:
        identity: The sender.
        configuration_version: Version in force at the sender.
        control: Address at which the sender accepts connections of routers.
    """

    identity: RouterIdentity
    configuration_version: int
    control: Address | None = None


@dataclass(frozen=True, slots=True)
class CounterRow:
    """One organisation's work for one service at one origin.

    Attributes:
        served: Work done at the origin in service units; it only grows.
        lift: Units added when the organisation became backlogged; it only grows.
        waiting: Requests that wait at the origin now.
        running: Requests with an attempt under way at the origin now.
        deadline_ms: Milliseconds until the earliest deadline among the waiting
            requests, negative if it has passed; None without waiting requests.
    """

    service: ServiceName
    organisation: OrganisationName
    served: int
    lift: int
    waiting: int
    running: int
    deadline_ms: int | None


@dataclass(frozen=True, slots=True)
class SlotRow:
    """What a router holds of one replica's window.

    Attributes:
        epoch: Epoch of the arbiter that the row answers.
        base: Slots in use when the router adopted the epoch.
        released: Slots given back in this epoch so far; it only grows.
        in_use: Slots in use now.
        prompt_tokens: Tokens of prompts that the replica has still to read for the
            router.
        window: Requests that the router would have the replica run at once; 0 if it
            does not say.
    """

    replica_id: ReplicaId
    epoch: int
    base: int
    released: int
    in_use: int
    prompt_tokens: int = 0
    window: int = 0


@dataclass(frozen=True, slots=True)
class Report:
    """What a router tells its peers; it is also its heartbeat."""

    sequence: int
    configuration_version: int
    is_leaving: bool
    counters: tuple[CounterRow, ...] = ()
    slots: tuple[SlotRow, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantRow:
    """Slots of one replica granted to one router.

    Attributes:
        epoch: Epoch of the arbiter.
        granted: Slots granted in this epoch so far; it only grows.
        recalled: Slots asked back in this epoch so far; it only grows.
    """

    replica_id: ReplicaId
    epoch: int
    granted: int
    recalled: int


@dataclass(frozen=True, slots=True)
class Grants:
    """Slots that the arbiter of some replicas gives to the receiver.

    Attributes:
        acknowledged: Sequence of the receiver's last report that the arbiter took.
            The grants expire counted from when that report was built, so a message
            that waited in a buffer while the receiver was paused renews nothing.
        incarnation: Incarnation of the receiver that the slots are granted to; 0 if
            the sender does not say. Until a router that restarts is heard of, its
            arbiters still send it the grants of the incarnation before.
    """

    rows: tuple[GrantRow, ...]
    acknowledged: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class OriginCounters:
    """All counters of one origin that the sender knows."""

    origin: RouterIdentity
    counters: tuple[CounterRow, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters that the sender knows, for a peer that has just connected."""

    origins: tuple[OriginCounters, ...]


@dataclass(frozen=True, slots=True)
class SumRow:
    """Work of one organisation for one service at several origins together."""

    service: ServiceName
    organisation: OrganisationName
    served: int


@dataclass(frozen=True, slots=True)
class Sum:
    """Work of several origins, for a neighbour in the tree of reports.

    Attributes:
        scope: The zone whose sum it is; empty for the routers below the sender.
        part: Number among the sums of this scope, which share no origin.
        sequence: Sequence of the report with which it was made.
        is_whole: Whether rows that are absent are zero; else they are unchanged.
        origins: Whose work it is.
    """

    scope: ZoneName
    part: int
    sequence: int
    is_whole: bool
    origins: frozenset[RouterIdentity]
    rows: tuple[SumRow, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks a peer for its configuration if it is newer than ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration document and its version."""

    version: int
    document: Any


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """Tells that a replica is leaving, or has restarted and is not."""

    replica_id: ReplicaId
    incarnation: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class LoadRow:
    """A load report that the sender read from a replica.

    Attributes:
        token_rate: Tokens or service milliseconds per second.
    """

    replica_id: ReplicaId
    incarnation: int
    slots: int
    running: int
    queued: int
    token_rate: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class Loads:
    """Load reports of the replicas that the sender polls."""

    rows: tuple[LoadRow, ...]


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """An upstream in the VM list of the sender."""

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class UpstreamList:
    """The upstreams in the VM list that the sender uses.

    Attributes:
        made_at_ms: Time at which the platform made the list, in milliseconds.
    """

    made_at_ms: int
    rows: tuple[UpstreamRow, ...]


Message: TypeAlias = (
    Hello
    | Report
    | Grants
    | Snapshot
    | Sum
    | ConfigurationRequest
    | Configuration
    | UpstreamState
    | Loads
    | UpstreamList
)
