"""How long engines take to the first event, learned from what they did."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import ReplicaId, ServiceName

SAMPLE_DECAY = 0.985
"""Weight that a sample keeps with each new one; about 70 samples count."""

# What is assumed before anything was measured: (tokens ahead and own, seconds).
_PRIOR = ((500.0, 0.05), (20_000.0, 0.25))
_PRIOR_WEIGHT = 5.0

LONGEST_SAMPLE_SECONDS = 3.0
"""Longer times come from a replica that hangs and tell nothing about reading."""


@dataclass(slots=True)
class FirstEventModel:
    """A line through the times to the first event, over the tokens to be read.

    Attributes:
        base: Seconds without any tokens.
        per_token: Seconds per token that is ahead or the request's own.
    """

    base: float = 0.0
    per_token: float = 0.0
    _sums: list[float] = field(default_factory=lambda: [0.0] * 5)

    def __post_init__(self) -> None:
        for tokens, seconds in _PRIOR:
            self._add(tokens, seconds, _PRIOR_WEIGHT)
        self._fit()

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        terms = (1.0, tokens, seconds, tokens * tokens, tokens * seconds)
        for index, term in enumerate(terms):
            self._sums[index] += weight * term

    def learn(self, tokens: float, seconds: float) -> None:
        """Takes the time that a request took to its first event."""
        if seconds > LONGEST_SAMPLE_SECONDS:
            return
        self._sums = [one * SAMPLE_DECAY for one in self._sums]
        self._add(tokens, seconds, 1.0)
        self._fit()

    def _fit(self) -> None:
        weight, tokens, seconds, squares, products = self._sums
        spread = squares - tokens * tokens / weight
        slope = (products - tokens * seconds / weight) / spread if spread > 0 else 0.0
        # Reading more never takes less time.
        self.per_token = max(slope, 0.0)
        self.base = max((seconds - self.per_token * tokens) / weight, 0.0)

    def predict(self, tokens: float) -> float:
        """Returns the seconds to the first event with so many tokens to be read."""
        return self.base + self.per_token * tokens


@dataclass(slots=True)
class _Reading:
    service: ServiceName
    replica_id: ReplicaId
    tokens: int
    ahead: int
    started_at: float


@dataclass(slots=True)
class PromptReads:
    """Prompts that replicas are reading for this router."""

    models: dict[ServiceName, FirstEventModel] = field(default_factory=dict)
    _readings: dict[str, _Reading] = field(default_factory=dict)
    _tokens: dict[ReplicaId, int] = field(default_factory=dict)

    def model(self, service: ServiceName) -> FirstEventModel:
        """Returns the model of the service's replicas."""
        return self.models.setdefault(service, FirstEventModel())

    def tokens(self, replica_id: ReplicaId) -> int:
        """Returns the tokens that the replica has still to read."""
        return self._tokens.get(replica_id, 0)

    def start(
        self,
        call_id: str,
        service: ServiceName,
        replica_id: ReplicaId,
        tokens: int,
        *,
        ahead: int,
        now: float,
    ) -> None:
        """Takes note of a request that was sent.

        Args:
            call_id: The request.
            service: Its service.
            replica_id: Replica that reads its prompt.
            tokens: Tokens of its prompt that are not cached there.
            ahead: Tokens that the replica has to read before, for all routers.
            now: Monotonic time in seconds.
        """
        reading = _Reading(service, replica_id, tokens, ahead, now)
        self._readings[call_id] = reading
        self._tokens[replica_id] = self.tokens(replica_id) + tokens

    def finish(self, call_id: str, now: float, *, is_answered: bool) -> None:
        """Takes note that the first event came, or that none will come."""
        reading = self._readings.pop(call_id, None)
        if reading is None:
            return
        left = self.tokens(reading.replica_id) - reading.tokens
        if left > 0:
            self._tokens[reading.replica_id] = left
        else:
            self._tokens.pop(reading.replica_id, None)
        if is_answered:
            self.model(reading.service).learn(
                reading.ahead + reading.tokens, now - reading.started_at
            )
