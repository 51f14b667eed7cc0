"""The at-most-once record of a non-repeatable call."""

from __future__ import annotations

import base64
import enum
from dataclasses import dataclass
from typing import Any

import xxhash

from ..errors import (
    AnswerNotKeptError,
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
    """An answer as a record holds it."""

    status: int
    content_type: str
    body: bytes


def needs_record(call: CallRequest) -> bool:
    """Returns whether the call may run only once and can be recognised again."""
    return call.has_caller_id and not call.is_repeatable


def record_key(call: CallRequest) -> str:
    """Returns the table key of the call's record."""
    return f"calls/{call.organisation}/{call.request_id}"


def digest_call(call: CallRequest) -> str:
    """Returns a digest that tells apart two calls under one request identifier.

    Names are separated by a byte that they cannot contain, so moving a character
    from one field to the next changes the digest.
    """
    state = xxhash.xxh3_128(f"{call.service}\0{call.class_name}\0".encode())
    state.update(call.body)
    return state.hexdigest()


class TableGate:
    """Keeps calls that need a record away from a table that does not answer.

    After a failure one call at a time tries the table, so that an outage does not
    keep slots of upstreams busy.
    """

    def __init__(self, *, pause: float, claim_timeout: float) -> None:
        """Prepares a gate that lets all calls through.

        Args:
            pause: Seconds without a try after a failure.
            claim_timeout: Seconds that a try takes at most.
        """
        self._pause = pause
        self._claim_timeout = claim_timeout
        self._closed_until = float("-inf")
        self._probe_call_id: str | None = None
        self.is_open = True

    def check(self, call: CallRequest, now: float) -> None:
        """Lets a call through, or makes it the next one that tries the table.

        Raises:
            RecordUnavailableError: If the call cannot be claimed now.
        """
        if self.is_open or call.call_id == self._probe_call_id:
            return
        if now < self._closed_until:
            raise self.build_refusal()
        self._closed_until = now + self._claim_timeout
        self._probe_call_id = call.call_id

    def note_failure(self, now: float) -> None:
        """Takes note that a claim was not settled in time."""
        self.is_open = False
        self._probe_call_id = None
        self._closed_until = now + self._pause

    def note_success(self) -> None:
        """Takes note that a claim was settled."""
        self.is_open = True
        self._probe_call_id = None

    def build_refusal(self) -> RecordUnavailableError:
        """Returns the refusal of a call that cannot be claimed."""
        return RecordUnavailableError(
            "the platform's table does not answer, so this call could run twice; "
            "nothing was sent, try again later",
            retry_after=self._pause,
        )


class Claim:
    """The right to send one non-repeatable call, and the record it leaves.

    The caller of this class carries out the writes that it returns and hands their
    results back. Nobody but the owner changes a record that is ``claimed``, so the
    claim stays exclusive even if the owner is paused. Its lifetime only bounds how
    late a paused owner may still send.
    """

    def __init__(
        self, call: CallRequest, *, lifetime: float, kept_answer_bytes: int
    ) -> None:
        """Prepares a claim.

        Args:
            call: The call; its record belongs to its organisation.
            lifetime: Seconds that a claim is valid, from before its write is sent.
            kept_answer_bytes: Longest body that a record keeps.
        """
        self.key = record_key(call)
        self._call = call
        self._digest = digest_call(call)
        self._lifetime = lifetime
        self._kept_answer_bytes = kept_answer_bytes
        self._write: ConditionalWrite | None = None
        self._writes = 0
        self._version: int | None = None
        self._claimed_at = float("-inf")
        self.is_sent = False

    def is_valid(self, now: float) -> bool:
        """Returns whether the call may be sent now."""
        return self._version is not None and now - self._claimed_at < self._lifetime

    def start(self, now: float) -> ConditionalWrite:
        """Returns the write that claims the record, or claims it anew."""
        return self._claim(self._version or 0, now)

    def _claim(self, expected_version: int, now: float) -> ConditionalWrite:
        self._version = None
        self._claimed_at = now
        self._write = ConditionalWrite(
            self.key,
            self._build_value(RecordState.CLAIMED),
            expected_version=expected_version,
        )
        return self._write

    def _build_value(self, state: RecordState, **fields: Any) -> dict[str, Any]:
        self._writes += 1
        return {
            "state": state.value,
            "attempt_id": f"{self._call.call_id}.{self._writes}",
            "digest": self._digest,
            **fields,
        }

    def take_result(
        self, result: WriteResult, now: float
    ) -> ConditionalWrite | KeptAnswer | None:
        """Takes the result of a claiming write.

        Returns:
            The next write, the answer of an earlier execution, or None if the
            record is claimed.

        Raises:
            RefusalError: If the call must not be sent.
        """
        if isinstance(result, Written):
            self._version = result.version
            return None
        self._write = None
        try:
            state = RecordState(result.value["state"])
            digest = result.value["digest"]
        except (KeyError, TypeError, ValueError) as err:
            raise RecordUnavailableError(
                f"the record {self.key!r} is not readable: {result.value!r:.200}; "
                "ask an operator, or use a new X-Request-Id if the call was not made "
                "before"
            ) from err
        if digest != self._digest:
            raise RequestIdReusedError(
                f"X-Request-Id {self._call.request_id!r} belongs to a call with "
                "another service, class or body; use a new identifier for a new call"
            )
        if state is RecordState.DONE:
            return self._to_answer(result.value)
        if state is RecordState.CLAIMED:
            raise DuplicateCallError(
                f"call {self._call.request_id!r} was started before and its result is "
                "not known; find out at the service whether it ran, or repeat it "
                "later under the same identifier",
                retry_after=1.0,
            )
        return self._claim(result.version, now)

    def _to_answer(self, value: dict[str, Any]) -> KeptAnswer:
        if value.get("body") is None:
            raise AnswerNotKeptError(
                f"call {self._call.request_id!r} was run with status "
                f"{value.get('status')}, but its answer was not kept; read the result "
                "from the service"
            )
        return KeptAnswer(
            int(value["status"]),
            str(value["content_type"]),
            base64.b64decode(value["body"]),
        )

    def check_before_send(self, now: float) -> None:
        """Allows the first byte; afterwards the call counts as sent.

        Raises:
            ClaimExpiredError: If the claim is older than its lifetime.
        """
        if not self.is_valid(now):
            raise ClaimExpiredError(
                f"this router was held up for {now - self._claimed_at:.1f} s after it "
                f"claimed the call, more than {self._lifetime} s; nothing was sent, "
                "repeat the call",
                retry_after=1.0,
            )
        self.is_sent = True

    def finish(self, status: int, answer: KeptAnswer | None) -> ConditionalWrite | None:
        """Returns the write that makes the record ``done``.

        Args:
            status: HTTP status of the answer.
            answer: The answer, or None if it is of a kind that is not kept.
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

        A claiming write of unknown effect may still arrive late. Therefore the
        record is made ``abandoned`` with the same condition: one of the two writes
        is rejected.

        Args:
            was_refused: Whether the upstream answered that it did not run the call.
        """
        if self._write is None or (self.is_sent and not was_refused):
            return None
        version = self._version
        return ConditionalWrite(
            self.key,
            self._build_value(RecordState.ABANDONED),
            expected_version=self._write.expected_version
            if version is None
            else version,
        )

    def take_abandon_result(self, result: WriteResult) -> ConditionalWrite | None:
        """Takes the result of an abandoning write and returns the next one."""
        is_own = self._write is not None and isinstance(result, Rejected)
        if is_own and result.value == self._write.value:  # type: ignore[union-attr]
            self._version = result.version
            return ConditionalWrite(
                self.key,
                self._build_value(RecordState.ABANDONED),
                expected_version=result.version,
            )
        return None
