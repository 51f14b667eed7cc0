"""State that the controllers of a router share."""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass, field

from ..declaration import Declaration
from ..options import Options
from ..types import CallRequest, RouteKind, RouterId, RouterIdentity, ServiceName
from .choices import Choices
from .connection_memory import ConnectionMemory
from .held_bytes import HeldBytes
from .ledger import Ledger
from .placement import TreePosition
from .quarantine import Quarantine
from .queues import RequestQueues
from .replica_loads import ReplicaLoads
from .upstreams import Upstreams


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """A document of the store that cannot be decoded.

    It may take keys away, so it confirms only those that it lists.

    Attributes:
        listed: Tells of a key whether the document still lists it.
        read_at: Local time in seconds at which it was read, of the clock used for ages.
        confirmed_at: Local time in seconds at which the other keys were confirmed last.
    """

    listed: Container[str]
    read_at: float
    confirmed_at: float


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force on this router; version 0 means none is known.

    Attributes:
        version: Version of the configuration.
        declaration: Parsed configuration document.
        document: Value of the table key that the declaration was parsed from.
        unreadable: Newest document of the store if it cannot be decoded, else None.
    """

    version: int = 0
    declaration: Declaration | None = None
    document: object = None
    unreadable: UnreadableDocument | None = None
    _targets_version: int = -1
    _shortest_targets: dict[ServiceName, float] = field(default_factory=dict)

    def find_event_tokens(self, service: ServiceName) -> int:
        """Returns the tokens per event of the service's streams, 1 if unknown."""
        declared = self.declaration and self.declaration.services.get(service)
        return declared.event_tokens if declared else 1

    def find_shortest_stream_target(self, service: ServiceName) -> float:
        """Returns the shortest target of the service's streams in seconds.

        It is infinite without a declared stream.
        """
        if self._targets_version != self.version:
            self._targets_version = self.version
            self._shortest_targets = _find_shortest_targets(self.declaration)
        return self._shortest_targets.get(service, math.inf)


def _find_shortest_targets(
    declaration: Declaration | None,
) -> dict[ServiceName, float]:
    shortest_targets: dict[ServiceName, float] = {}
    routes = {} if declaration is None else declaration.routes
    for route in routes.values():
        if route.kind is not RouteKind.STREAM:
            continue
        for service, _ in route.services:
            shortest = shortest_targets.get(service, math.inf)
            shortest_targets[service] = min(shortest, route.target_ms / 1000)
    return shortest_targets


@dataclass(slots=True)
class Blackboard:
    """State that a router's decisions are based on, one object per router.

    Attributes:
        quarantine: Prompt parts under which replicas ended.
        held_bytes: Bytes held for requests and answers.
        replica_loads: Load that replicas reported in their answers.
        connection_memory: Memory of connections besides these.
        choices: What choosing starts has cost, and why requests wait.
        running: Requests with an attempt in progress, by call identifier.
        members: Live peers, without this router.
        unreachable: Routers to which no connection can be opened or kept open.
        ended: Routers whose process is known to have ended.
        place: Position in the report tree; None in a fleet of at most ``flat_limit``
            routers, where every router reports to every other one.
        report_sequence: Sequence number of the report that is being built; 0 while
            reports are not numbered.
        is_report_due: Whether to send a report before the interval ends.
        is_leaving: Whether the router is leaving the fleet and accepts no new work.
    """

    identity: RouterIdentity
    options: Options
    queues: RequestQueues
    upstreams: Upstreams
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    ledger: Ledger = field(default_factory=Ledger)
    quarantine: Quarantine = field(default_factory=Quarantine)
    held_bytes: HeldBytes = field(default_factory=HeldBytes)
    replica_loads: ReplicaLoads = field(default_factory=ReplicaLoads)
    connection_memory: ConnectionMemory = field(default_factory=ConnectionMemory)
    choices: Choices = field(default_factory=Choices)
    running: dict[str, CallRequest] = field(default_factory=dict)
    members: dict[RouterId, RouterIdentity] = field(default_factory=dict)
    unreachable: frozenset[RouterIdentity] = frozenset()
    ended: frozenset[RouterIdentity] = frozenset()
    place: TreePosition | None = None
    report_sequence: int = 0
    is_report_due: bool = False
    is_leaving: bool = False


def create_blackboard(identity: RouterIdentity, options: Options) -> Blackboard:
    """Returns an empty blackboard for a router that is starting."""
    return Blackboard(
        identity=identity,
        options=options,
        queues=RequestQueues(
            limit_per_organisation=options.queue_limit_per_organisation
        ),
        upstreams=Upstreams(options),
        ledger=Ledger(identity),
    )
