"""At-most-once records of non-repeatable calls, kept in the platform's table."""

from __future__ import annotations

import base64
import enum
from dataclasses import dataclass
from typing import Any

import xxhash

from ..errors import (
    AnswerNotRecordedError,
    ClaimExpiredError,
    DuplicateCallError,
    RecordUnavailableError,
    RequestIdReusedError,
)
from ..types import CallRequest
from .writes import ConditionalWrite, Rejected, WriteResult, Written


class RecordState(enum.StrEnum):
    """State of a record in the table."""

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Answer that a record keeps for repeated calls."""

    status: int
    content_type: str
    body: bytes


def needs_record(call: CallRequest) -> bool:
    """Returns whether the call may run only once and a repeat can be recognised."""
    return call.has_caller_id and not call.is_repeatable


def record_key(call: CallRequest) -> str:
    """Returns the table key of the call's record."""
    return f"calls/{call.organisation}/{call.request_id}"


def digest_call(call: CallRequest) -> str:
    """Returns a digest that distinguishes calls with the same request identifier.

    Names are separated by a byte that they cannot contain, so moving a character
    from one field to the next changes the digest.
    """
    hasher = xxhash.xxh3_128(f"{call.service}\0{call.class_name}\0".encode())
    hasher.update(call.body)
    return hasher.hexdigest()


class TableCircuitBreaker:
    """Circuit breaker that refuses calls with records while the table is down.

    After a failure only one call at a time probes the table, so that calls that wait
    for the table do not hold slots of upstreams during an outage.

    Attributes:
        lets_all_through: Whether all calls pass, as through a closed circuit.
    """

    def __init__(self, *, pause: float, claim_timeout: float) -> None:
        """Creates a circuit breaker that lets all calls through.

        Args:
            pause: Seconds without a probe after a failure.
            claim_timeout: Longest duration of a probe in seconds.
        """
        self._pause = pause
        self._claim_timeout = claim_timeout
        self._no_probe_until = float("-inf")
        self._probe_call_id: str | None = None
        self.lets_all_through = True

    def check(self, call: CallRequest, now: float) -> None:
        """Lets a call through, as the next probe of the table if the circuit is open.

        Raises:
            RecordUnavailableError: If the table must not be tried now.
        """
        if self.lets_all_through or call.call_id == self._probe_call_id:
            return
        if now < self._no_probe_until:
            raise self.build_refusal()
        self._no_probe_until = now + self._claim_timeout
        self._probe_call_id = call.call_id

    def record_failure(self, now: float) -> None:
        """Opens the circuit after a claim whose result was not known in time."""
        self.lets_all_through = False
        self._probe_call_id = None
        self._no_probe_until = now + self._pause

    def record_success(self) -> None:
        """Closes the circuit after a claim whose result is known."""
        self.lets_all_through = True
        self._probe_call_id = None

    def build_refusal(self) -> RecordUnavailableError:
        """Returns the error for a call that cannot be claimed."""
        return RecordUnavailableError(
            "the platform's table does not answer, so this call could run twice; "
            "nothing was sent, try again later",
            retry_after=self._pause,
        )


class Claim:
    """Exclusive right to send one non-repeatable call, and the record of that call.

    The user of this class executes the writes that it returns and passes their
    results back. Only the owner changes a record that is ``claimed``, so the claim
    stays exclusive even if the owner is paused. The lifetime only bounds how late a
    paused owner may still send the call.

    Attributes:
        is_sent: Whether a byte of the call may have been sent.
    """

    def __init__(
        self, call: CallRequest, *, lifetime: float, kept_answer_bytes: int
    ) -> None:
        """Creates a claim that is not written yet.

        Args:
            call: The call; its record belongs to its organisation.
            lifetime: Seconds for which a claim is valid, counted from before its
                write is sent.
            kept_answer_bytes: Length of the longest body that a record keeps.
        """
        self.key = record_key(call)
        self._call = call
        self._digest = digest_call(call)
        self._lifetime = lifetime
        self._kept_answer_bytes = kept_answer_bytes
        self._claim_write: ConditionalWrite | None = None
        self._write_count = 0
        self._version: int | None = None
        self._claimed_at = float("-inf")
        self.is_sent = False

    def is_valid(self, now: float) -> bool:
        """Returns whether the call may be sent now."""
        return self._version is not None and now - self._claimed_at < self._lifetime

    def start(self, now: float) -> ConditionalWrite:
        """Returns the write that claims the record, or renews the claim."""
        return self._claim(self._version or 0, now)

    def _claim(self, expected_version: int, now: float) -> ConditionalWrite:
        self._version = None
        self._claimed_at = now
        self._claim_write = ConditionalWrite(
            self.key,
            self._build_value(RecordState.CLAIMED),
            expected_version=expected_version,
        )
        return self._claim_write

    def _build_value(self, state: RecordState, **fields: Any) -> dict[str, Any]:
        self._write_count += 1
        return {
            "state": state.value,
            "attempt_id": f"{self._call.call_id}.{self._write_count}",
            "digest": self._digest,
            **fields,
        }

    def apply_result(
        self, result: WriteResult, now: float
    ) -> ConditionalWrite | KeptAnswer | None:
        """Applies the result of a claiming write.

        Returns:
            The next write to execute, the kept answer of an earlier execution, or
            None if the record is claimed.

        Raises:
            RefusalError: If the call must not be sent.
        """
        if isinstance(result, Written):
            self._version = result.version
            return None
        self._claim_write = None
        try:
            state = RecordState(result.value["state"])
            digest = result.value["digest"]
        except (KeyError, TypeError, ValueError) as err:
            raise RecordUnavailableError(
                f"the record {self.key!r} cannot be decoded: {result.value!r:.200}; "
                "ask an operator, or use a new X-Request-Id if the call was not made "
                "before"
            ) from err
        if digest != self._digest:
            raise RequestIdReusedError(
                f"X-Request-Id {self._call.request_id!r} belongs to a call with "
                "another service, class or body; use a new identifier for a new call"
            )
        if state is RecordState.DONE:
            return self._decode_answer(result.value)
        if state is RecordState.CLAIMED:
            raise DuplicateCallError(
                f"call {self._call.request_id!r} was started before and its result is "
                "not known; check at the service whether it ran, or repeat it later "
                "with the same X-Request-Id",
                retry_after=1.0,
            )
        return self._claim(result.version, now)

    def _decode_answer(self, value: dict[str, Any]) -> KeptAnswer:
        if value.get("body") is None:
            raise AnswerNotRecordedError(
                f"call {self._call.request_id!r} was run with status "
                f"{value.get('status')}, but its answer was not kept; query the "
                "service for the result"
            )
        return KeptAnswer(
            int(value["status"]),
            str(value["content_type"]),
            base64.b64decode(value["body"]),
        )

    def check_before_send(self, now: float) -> None:
        """Checks that the call may still be sent, and marks it as sent.

        Raises:
            ClaimExpiredError: If the claim is older than its lifetime.
        """
        if not self.is_valid(now):
            raise ClaimExpiredError(
                f"this router was delayed for {now - self._claimed_at:.1f} s after it "
                f"claimed the call, more than the limit of {self._lifetime} s; nothing "
                "was sent, repeat the call",
                retry_after=1.0,
            )
        self.is_sent = True

    def finish(self, status: int, answer: KeptAnswer | None) -> ConditionalWrite | None:
        """Returns the write that sets the record to ``done``, None without a claim.

        Args:
            status: HTTP status of the answer.
            answer: Answer to keep, or None if answers of its kind are not kept.
        """
        if self._version is None:
            return None
        fields: dict[str, Any] = {"status": status, "body": None}
        if answer is not None and len(answer.body) <= self._kept_answer_bytes:
            fields["content_type"] = answer.content_type
            fields["body"] = base64.b64encode(answer.body).decode("ascii")
        return ConditionalWrite(
            self.key,
            self._build_value(RecordState.DONE, **fields),
            expected_version=self._version,
        )

    def abandon(self, *, was_refused: bool = False) -> ConditionalWrite | None:
        """Returns the write that lets others claim the record, if one is needed.

        A claiming write whose effect is unknown may still arrive late. Therefore the
        record is set to ``abandoned`` under the same condition: the table rejects one
        of the two writes.

        Args:
            was_refused: Whether the upstream answered that it did not run the call.
        """
        if self._claim_write is None or (self.is_sent and not was_refused):
            return None
        version = self._version
        return ConditionalWrite(
            self.key,
            self._build_value(RecordState.ABANDONED),
            expected_version=self._claim_write.expected_version
            if version is None
            else version,
        )

    def apply_abandon_result(self, result: WriteResult) -> ConditionalWrite | None:
        """Applies the result of an abandoning write; returns the next one or None.

        If the table holds the claim whose effect was unknown, the record is abandoned
        under the version of that claim.
        """
        was_rejected = self._claim_write is not None and isinstance(result, Rejected)
        if was_rejected and result.value == self._claim_write.value:  # type: ignore[union-attr]
            self._version = result.version
            return ConditionalWrite(
                self.key,
                self._build_value(RecordState.ABANDONED),
                expected_version=result.version,
            )
        return None
