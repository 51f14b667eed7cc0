"""Typed messages between routers; ``net/wire.py`` gives their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

from ..types import (
    OrganisationName,
    ReplicaId,
    RouterIdentity,
    ServiceName,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a connection.

    Attributes:
        identity: The sender.
        configuration_version: Version in force at the sender.
    """

    identity: RouterIdentity
    configuration_version: int


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
    """

    replica_id: ReplicaId
    epoch: int
    base: int
    released: int
    in_use: int


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
    """

    rows: tuple[GrantRow, ...]
    acknowledged: int = 0


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


Message: TypeAlias = (
    Hello
    | Report
    | Grants
    | Snapshot
    | ConfigurationRequest
    | Configuration
    | UpstreamState
)
