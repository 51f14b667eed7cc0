"""Requests on routes while a router processes them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import CallRequest, ReplicaId
from .held_bytes import Holding
from .part_cases import PartKey
from .routes import Route

Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with equal first parts share cached tokens.

    Attributes:
        part_id: Identifier of the content of the part.
        tokens: Number of tokens of the part.
    """

    part_id: str
    tokens: int


@dataclass(slots=True, kw_only=True)
class RoutedCall(CallRequest):
    """A request on a route; on a public route it has no organisation of its own.

    Attributes:
        route: Route of the request.
        method: HTTP method, forwarded unchanged.
        target: Path and query, forwarded unchanged.
        fields: End-to-end header fields, forwarded unchanged.
        ends_at: Monotonic time in seconds by which the answer must have ended.
        parts: Parts of the prompt in order; the last one belongs to this request only.
        output_tokens: Expected number of generated tokens.
        sent_attempts: Number of attempts that sent at least a byte.
        unsent_attempts: Number of attempts that sent nothing.
        events: Number of stream events forwarded.
        first_event_at: Monotonic time in seconds of the first event of the last
            attempt.
        last_event_at: Monotonic time in seconds of the last event.
        longest_pause: Longest time between two groups of events, in seconds.
        prepaid: Service units of output charged but not generated yet.
        replica_id: Replica to which the last attempt was sent.
        sent_after: Seconds from the choice of that replica to the send, or None.
        view_age: Seconds for which the list of upstreams may have been outdated at that
            send, or None.
        load_age: Age in seconds of the load that its start was based on, or None.
        is_load_reported: Whether that load was reported by the replica and not by
            other routers.
        read_prompts: What its replica has to read of its prompt, in prompts of mean
            size.
        mean_read_seconds: Time in which a prompt of mean size is read.
        may_have_run: Whether an attempt was sent whose replica did not state that it
            did not run the request.
        may_end_replicas: Whether a replica ended under the request, and others may.
        is_proof_noted: Whether an answer was counted in favour of its prompt parts.
        holdings: Room taken for its answers, until the call ends.
    """

    route: Route
    method: str = "POST"
    target: bytes = b"/"
    fields: Fields = field(default_factory=list)
    ends_at: float = 0.0
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    sent_attempts: int = 0
    unsent_attempts: int = 0
    events: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    prepaid: float = 0.0
    replica_id: ReplicaId | None = None
    sent_after: float | None = None
    view_age: float | None = None
    load_age: float | None = None
    is_load_reported: bool = False
    read_prompts: float = 1.0
    mean_read_seconds: float = 0.0
    may_have_run: bool = False
    may_end_replicas: bool = False
    is_proof_noted: bool = False
    holdings: list[Holding] = field(default_factory=list)

    @property
    def shared_keys(self) -> tuple[PartKey, ...]:
        """Keys of the parts that other requests may share, each of them once."""
        part_ids = dict.fromkeys(part.part_id for part in self.parts[:-1])
        return tuple(PartKey(self.service, part_id) for part_id in part_ids)

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def own_tokens(self) -> int:
        """Tokens of the prompt that no other request shares."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the prompt that other requests may share."""
        return self.prompt_tokens - self.own_tokens

    def prepay(self, units_per_token: float) -> float:
        """Returns the service units to charge, if nothing has been charged yet.

        The prompt and the expected output are charged at once: when the request starts,
        or at its first event under a policy that does not charge starts. If they
        were charged as tokens are generated, long streams would delay the requests that
        their organisation starts later.

        Args:
            units_per_token: Service units per generated token.
        """
        if self.charged:
            return 0.0
        self.prepaid = units_per_token * self.output_tokens
        return self.prompt_tokens + self.prepaid

    def use_prepaid(self, units: float) -> float:
        """Deducts work from the prepaid units; returns the units left to charge."""
        deducted = min(self.prepaid, units)
        self.prepaid -= deducted
        return units - deducted
