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
from .part_cases import PartCase
from .store_position import StorePosition


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection between two routers.

    Attributes:
        identity: The sender.
        configuration_version: Version of the configuration in force at the sender.
        control: Address at which the sender accepts connections from routers.
        fleet: Fleet of the sender; empty if it names none, as earlier versions do.
        reads_feed_status: Whether the sender reads ``FeedStatus``; sent with a fleet.
    """

    identity: RouterIdentity
    configuration_version: int
    control: Address | None = None
    fleet: str = ""
    reads_feed_status: bool = False


@dataclass(frozen=True, slots=True)
class CounterRow:
    """Work of one organisation for one service at one router, its origin.

    Attributes:
        served: Work done at the origin in service units; never decreases.
        lift: Service units added when the organisation became backlogged; never
            decreases.
        waiting: Number of requests that wait at the origin now.
        running: Number of requests with an attempt in progress at the origin now.
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
    """Slots of one replica's window that a router holds.

    Attributes:
        epoch: Epoch of the arbiter that the row answers.
        base: Slots in use when the router adopted the epoch.
        released: Slots returned in this epoch so far; never decreases.
        in_use: Slots in use now.
        prompt_tokens: Prompt tokens of the router's requests that the replica has
            not read yet.
        window: Number of concurrent requests that the router proposes for the
            replica; 0 if it proposes none.
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
    """Regular report of a router to its peers; also its heartbeat.

    Attributes:
        sequence: Number of the report.
        configuration_version: Version of the configuration in force at the sender.
        is_leaving: Whether the sender is leaving the fleet.
    """

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
        granted: Slots granted in this epoch so far; never decreases.
        recalled: Value that ``SlotRow.released`` has to reach in this epoch as slots
            become free; never decreases.
    """

    replica_id: ReplicaId
    epoch: int
    granted: int
    recalled: int


@dataclass(frozen=True, slots=True)
class Grants:
    """Slots that the arbiter of some replicas grants to the receiver.

    Attributes:
        acknowledged: Sequence number of the receiver's last report that the arbiter
            processed. The expiry of the grants counts from when that report was
            built, so a message that waited in a buffer while the receiver was paused
            renews nothing.
        incarnation: Incarnation of the receiver that the slots are granted to; 0 if
            not given. Until the arbiters hear from a restarted router, they still
            send it the grants of its previous incarnation.
    """

    rows: tuple[GrantRow, ...]
    acknowledged: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class OriginCounters:
    """All counters of one origin that are known to the sender."""

    origin: RouterIdentity
    counters: tuple[CounterRow, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters that are known to the sender, for a peer that just connected."""

    origins: tuple[OriginCounters, ...]


@dataclass(frozen=True, slots=True)
class SumRow:
    """Total work of one organisation for one service at several origins.

    Attributes:
        served: Work done in service units.
    """

    service: ServiceName
    organisation: OrganisationName
    served: int


@dataclass(frozen=True, slots=True)
class Sum:
    """Total work of several origins, for a neighbour in the report tree.

    Attributes:
        scope: Zone that the sum covers; empty for the routers below the sender.
        part: Number of the sum among the sender's sums of this scope; no two of them
            contain the same origin.
        sequence: Sequence number of the report with which the sum was built.
        is_whole: Whether absent rows are zero; otherwise they are unchanged.
        origins: Routers whose work the sum contains.
    """

    scope: ZoneName
    part: int
    sequence: int
    is_whole: bool
    origins: frozenset[RouterIdentity]
    rows: tuple[SumRow, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the configuration of a peer if it is newer than ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration document and its version."""

    version: int
    document: Any


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """Announces that a replica is leaving, or that it restarted and is not leaving."""

    replica_id: ReplicaId
    incarnation: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class LoadRow:
    """A load report that the sender read from a replica.

    Attributes:
        token_rate: Rate of work in tokens or service milliseconds per second. On the
            operators' platform, where replicas report no rate, it is the time that
            work takes in percent of the usual: a further field would end the
            connection to a router of an earlier version.
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
        made_at_ms: Time at which the platform created the list, in milliseconds.
    """

    made_at_ms: int
    rows: tuple[UpstreamRow, ...]


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What a reader of the store confirms to the other routers of its zone.

    The times are those of the store's steady clock, so that a message that waited in a
    buffer confirms nothing newer than when it was built.

    Attributes:
        configuration_version: Version of the configuration in force at the sender.
        configuration_ms: Time at which no newer configuration existed.
        upstreams_version: Version of the store with the newest change of an upstream.
        upstreams_ms: Time at which no later change of an upstream existed.
        era: Era of the store in which versions and times count. A time of 0 confirms
            nothing: the sender has not read that table in this era.
    """

    configuration_version: int
    configuration_ms: int
    upstreams_version: int
    upstreams_ms: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class FeedStatus:
    """What a router tells its zone of its calls to the store, next to a confirmation.

    Attributes:
        parts_era: Era of the store in which ``parts_version`` counts.
        parts_version: Version of the store with the newest change of a prompt part.
        follows_parts: Whether the sender follows the table of prompt parts.
        is_failing: Whether its last call for upstreams failed.
    """

    parts_era: int
    parts_version: int
    follows_parts: bool
    is_failing: bool


@dataclass(frozen=True, slots=True)
class PartCaseRow:
    """A case of a prompt part, on the way between two routers.

    Attributes:
        case: The case without the time of its next probe.
        probe_in_ms: Milliseconds until that time, negative if it has passed.
    """

    case: PartCase
    probe_in_ms: int


@dataclass(frozen=True, slots=True)
class PartCases:
    """Cases of prompt parts that the sender knows."""

    rows: tuple[PartCaseRow, ...]


@dataclass(frozen=True, slots=True)
class EvacuationRow:
    """What the sender knows of the evacuation of one zone.

    Attributes:
        position: Position in the store of the newest change that the sender knows.
        is_evacuated: Whether the zone is evacuated since then.
    """

    zone: ZoneName
    position: StorePosition
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Evacuations of zones, and ends of them, that the sender knows."""

    rows: tuple[EvacuationRow, ...]


@dataclass(frozen=True, slots=True)
class ColdRow:
    """A replica that is cold, as far as the sender knows.

    Attributes:
        incarnation: Process that is cold; 0 if unknown.
        remaining_ms: Milliseconds for which it remains cold.
        position: Position in the store of the newest row of the replica that the sender
            knows; the start if the replica's process has ended.
    """

    replica_id: ReplicaId
    incarnation: int
    remaining_ms: int
    position: StorePosition


@dataclass(frozen=True, slots=True)
class ColdReplicas:
    """Replicas of which the sender has learned that they are cold."""

    rows: tuple[ColdRow, ...]


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
    | Confirmation
    | FeedStatus
    | PartCases
    | Evacuations
    | ColdReplicas
)
