"""The state that controllers read and write, one object per router."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..declaration import Declaration
from ..options import Options
from ..types import CallRequest, RouterId, RouterIdentity, ServiceName
from .ledger import Ledger
from .placement import TreePlace
from .queues import RequestQueues
from .upstreams import Upstreams


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force on this router; version 0 means unknown."""

    version: int = 0
    declaration: Declaration | None = None
    document: object = None

    def find_event_tokens(self, service: ServiceName) -> int:
        """Returns the tokens in one event of the service's streams, 1 if unknown."""
        known = self.declaration and self.declaration.services.get(service)
        return known.event_tokens if known else 1


@dataclass(slots=True)
class Blackboard:
    """Everything that the decisions of one router read.

    Attributes:
        running: Requests with an attempt under way, by call identifier.
        members: Live peers, without this router.
        unreachable: Routers to which no connection can be kept or opened.
        ended: Routers whose process is known to have ended.
        place: Place in the tree of reports; None in a fleet of at most ``flat_limit``,
            where everyone reports to everyone.
        report_sequence: Sequence of the report that is being built; 0 as long as
            reports are not numbered.
        is_report_due: Whether a report should go out before the interval ends.
        is_leaving: Whether the router takes no new work.
    """

    identity: RouterIdentity
    options: Options
    queues: RequestQueues
    upstreams: Upstreams
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    ledger: Ledger = field(default_factory=Ledger)
    running: dict[str, CallRequest] = field(default_factory=dict)
    members: dict[RouterId, RouterIdentity] = field(default_factory=dict)
    unreachable: frozenset[RouterIdentity] = frozenset()
    ended: frozenset[RouterIdentity] = frozenset()
    place: TreePlace | None = None
    report_sequence: int = 0
    is_report_due: bool = False
    is_leaving: bool = False


def create_blackboard(identity: RouterIdentity, options: Options) -> Blackboard:
    """Returns an empty blackboard for a router that starts."""
    return Blackboard(
        identity=identity,
        options=options,
        queues=RequestQueues(
            limit_per_organisation=options.queue_limit_per_organisation
        ),
        upstreams=Upstreams(options),
        ledger=Ledger(identity),
    )
