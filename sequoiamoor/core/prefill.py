"""Prediction of the time to the first event of an engine, from past requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import ReplicaId, ServiceName

SAMPLE_DECAY_FACTOR = 0.985
"""Factor that each new sample applies to the weights of the earlier ones.

About 70 samples have a noticeable weight.
"""

# Samples assumed before any request: (tokens to be read, seconds to the first event).
# Each has the weight of ``_PRIOR_WEIGHT`` requests.
_PRIOR_SAMPLES = ((500.0, 0.05), (20_000.0, 0.25))
_PRIOR_WEIGHT = 5.0

MEAN_SMOOTHING_WEIGHT = 0.05
"""Weight of the newest prompt in the moving average of the tokens to be read."""

MAX_SAMPLE_SECONDS = 3.0
"""Longer times come from a replica that hangs and not from reading the prompt."""


@dataclass(slots=True)
class FirstEventModel:
    """Linear model of the time to the first event over the tokens to be read.

    Attributes:
        base_seconds: Seconds without any tokens.
        seconds_per_token: Seconds per token, of the request itself or of requests
            before it.
    """

    base_seconds: float = 0.0
    seconds_per_token: float = 0.0
    _weighted_sums: list[float] = field(default_factory=lambda: [0.0] * 5)

    def __post_init__(self) -> None:
        for tokens, seconds in _PRIOR_SAMPLES:
            self._add_sample(tokens, seconds, _PRIOR_WEIGHT)
        self._fit_line()

    def _add_sample(self, tokens: float, seconds: float, weight: float) -> None:
        terms = (1.0, tokens, seconds, tokens * tokens, tokens * seconds)
        for index, term in enumerate(terms):
            self._weighted_sums[index] += weight * term

    def record_sample(self, tokens: float, seconds: float) -> None:
        """Updates the model with the seconds that a request took to its first event."""
        if seconds > MAX_SAMPLE_SECONDS:
            return
        self._weighted_sums = [
            weighted_sum * SAMPLE_DECAY_FACTOR for weighted_sum in self._weighted_sums
        ]
        self._add_sample(tokens, seconds, 1.0)
        self._fit_line()

    def _fit_line(self) -> None:
        total_weight, token_sum, second_sum, token_square_sum, product_sum = (
            self._weighted_sums
        )
        token_spread = token_square_sum - token_sum * token_sum / total_weight
        slope = (
            (product_sum - token_sum * second_sum / total_weight) / token_spread
            if token_spread > 0
            else 0.0
        )
        # Reading more tokens never takes less time.
        self.seconds_per_token = max(slope, 0.0)
        self.base_seconds = max(
            (second_sum - self.seconds_per_token * token_sum) / total_weight, 0.0
        )

    def predict(self, tokens: float) -> float:
        """Returns the expected seconds to the first event for the tokens to be read."""
        return self.base_seconds + self.seconds_per_token * tokens


@dataclass(slots=True)
class _PromptRead:
    """A prompt that a replica is reading.

    Attributes:
        service: Service of the request.
        replica_id: Replica that reads the prompt.
        tokens: Tokens of the prompt that are not cached there.
        ahead: Tokens that the replica has to read before.
        started_at: Monotonic time in seconds at which the request was sent.
    """

    service: ServiceName
    replica_id: ReplicaId
    tokens: int
    ahead: int
    started_at: float


@dataclass(slots=True)
class PromptReads:
    """Prompts that replicas are reading for this router.

    Attributes:
        models: Model of the time to the first event by service.
    """

    models: dict[ServiceName, FirstEventModel] = field(default_factory=dict)
    _reads_by_call_id: dict[str, _PromptRead] = field(default_factory=dict)
    _unread_tokens_by_replica: dict[ReplicaId, int] = field(default_factory=dict)
    _mean_tokens: dict[ServiceName, float] = field(default_factory=dict)

    def model(self, service: ServiceName) -> FirstEventModel:
        """Returns the model of the service's replicas."""
        model = self.models.get(service)
        if model is None:
            model = self.models[service] = FirstEventModel()
        return model

    def find_mean_seconds(self, service: ServiceName) -> float:
        """Returns the mean seconds that reading a prompt takes, 0 before the first."""
        model = self.model(service)
        return model.seconds_per_token * self.find_mean_tokens(service)

    def find_mean_tokens(self, service: ServiceName) -> float:
        """Returns the tokens that are read of a prompt in the mean, 0 before any."""
        return self._mean_tokens.get(service, 0.0)

    def count_unread_tokens(self, replica_id: ReplicaId) -> int:
        """Returns the tokens that the replica still has to read for this router."""
        return self._unread_tokens_by_replica.get(replica_id, 0)

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
        """Records a request that was sent.

        Args:
            call_id: Identifier of the request.
            service: Service of the request.
            replica_id: Replica that reads its prompt.
            tokens: Tokens of its prompt that are not cached there.
            ahead: Tokens that the replica has to read before, for all routers.
            now: Monotonic time in seconds.
        """
        read = _PromptRead(service, replica_id, tokens, ahead, now)
        self._reads_by_call_id[call_id] = read
        mean = self._mean_tokens.get(service, float(tokens))
        self._mean_tokens[service] = mean + MEAN_SMOOTHING_WEIGHT * (tokens - mean)
        self._unread_tokens_by_replica[replica_id] = (
            self.count_unread_tokens(replica_id) + tokens
        )

    def finish(
        self, call_id: str, now: float, *, is_answered: bool
    ) -> ReplicaId | None:
        """Records that the first event arrived, or that none will arrive.

        Returns:
            The replica that was reading the prompt, None if none was.
        """
        read = self._reads_by_call_id.pop(call_id, None)
        if read is None:
            return None
        remaining_tokens = self.count_unread_tokens(read.replica_id) - read.tokens
        if remaining_tokens > 0:
            self._unread_tokens_by_replica[read.replica_id] = remaining_tokens
        else:
            self._unread_tokens_by_replica.pop(read.replica_id, None)
        if is_answered:
            self.model(read.service).record_sample(
                read.ahead + read.tokens, now - read.started_at
            )
        return read.replica_id
