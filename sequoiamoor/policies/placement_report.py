"""What an explanation of a placement says: question and answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.routed_call import PromptPart
from ..types import OrganisationName, ReplicaId, ServiceName


@dataclass(frozen=True, slots=True)
class Question:
    """A request to explain; all but host and path may be left out.

    Attributes:
        host: Host of the request.
        path: Path of the request.
        organisation: Name of its organisation.
        parts: Parts of its prompt in order.
        output_tokens: Expected number of generated tokens.
    """

    host: str
    path: str
    organisation: OrganisationName | None = None
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """What refuses the request now.

    Attributes:
        code: Code of the error that a caller would get.
        reason: What is wrong.
        retry_after: Retry-After in seconds, None if it would not be set. Where it is
            spread at random, this is its lowest value.
    """

    code: str
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicaRow:
    """What the request would find at a replica.

    Attributes:
        replica: Identifier of the replica.
        state: ``available``, or why it gets no request.
        free: Free slots; negative if it has more requests than slots.
        load_age_s: Age of the load that this is based on, None without one.
        cached_tokens: Prompt tokens that it is expected to have cached.
        tokens_ahead: Prompt tokens that it has to read before.
        first_event_s: Expected seconds to the first event, with the wait for a slot;
            None if it gets no request.
    """

    replica: ReplicaId
    state: str
    free: int
    load_age_s: float | None
    cached_tokens: int
    tokens_ahead: int
    first_event_s: float | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go.

    Attributes:
        route: Name of the route, None without one.
        service: Service of the route; the one with the largest weight if it has
            several, of which one is drawn for each request.
        services: All services of the route.
        refusal: What refuses the request now, if anything.
        waiting_before: Requests of its organisation that wait before it.
        outcome: ``start``, ``wait`` or ``refused``.
        reason: Why it would wait.
        drawn_among: Replicas of which one would be drawn; a single one is certain.
        replicas: The replicas of the service.
    """

    route: str | None = None
    service: ServiceName | None = None
    services: tuple[ServiceName, ...] = ()
    refusal: Refusal | None = None
    waiting_before: int = 0
    outcome: str = "refused"
    reason: str | None = None
    drawn_among: tuple[ReplicaId, ...] = ()
    replicas: tuple[ReplicaRow, ...] = field(default=())
