"""Requests on routes while a router holds them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import CallRequest
from .routes import Route

Fields = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with equal first parts share their cache."""

    part_id: str
    tokens: int


@dataclass(slots=True, kw_only=True)
class RoutedCall(CallRequest):
    """A request on a route; on a public route it belongs to nobody.

    Attributes:
        method: HTTP method, passed on unchanged.
        target: Path and query, passed on unchanged.
        fields: End-to-end header fields, passed on unchanged.
        ends_at: Monotonic time by which the answer must have ended.
        parts: Parts of the prompt in their order; the last one is the request's own.
        output_tokens: Expected number of generated tokens.
        sent_attempts: Attempts of which a byte was sent.
        unsent_attempts: Attempts that sent nothing.
        events: Events of a stream that were passed on.
        first_event_at: Monotonic time of the first event of the last attempt.
        last_event_at: Monotonic time of the last event.
        longest_pause: Longest time between two groups of events, in seconds.
        prepaid: Units of output that were charged before they were generated.
        may_have_run: Whether an attempt was sent whose replica did not state that it
            did not run the request.
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
    may_have_run: bool = False

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
        """Returns the units to charge at the first event of the first attempt.

        The prompt and the expected output count where the request begins. Charged as
        they come, long streams would hold back what their organisation starts later.

        Args:
            units_per_token: Service units of a generated token.
        """
        if self.charged:
            return 0.0
        self.prepaid = units_per_token * self.output_tokens
        return self.prompt_tokens + self.prepaid

    def use_prepaid(self, units: float) -> float:
        """Returns what is left to charge of work whose price may have been prepaid."""
        taken = min(self.prepaid, units)
        self.prepaid -= taken
        return units - taken
