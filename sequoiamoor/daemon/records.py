"""At-most-once records of calls in the table of the platform."""

from __future__ import annotations

import logging
import time
from random import Random
from typing import Any

import curio

from ..core.records import Claim, KeptAnswer, TableCircuitBreaker, needs_record
from ..core.writes import ConditionalWrite, Rejected
from ..errors import RecordUnavailableError, RefusalError
from ..metrics import Metrics
from ..net.platform import PlatformClient
from ..net.table import complete_write
from ..options import Options
from ..timeouts import timeout_after
from ..types import CallRequest, Execution

_LOG = logging.getLogger(__name__)


class Records:
    """Claims and finishes the at-most-once records of one router's calls."""

    def __init__(
        self,
        platform: PlatformClient,
        *,
        options: Options,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._options = options
        self._metrics = metrics
        self._rng = rng
        self._circuit_breaker = TableCircuitBreaker(
            pause=options.table_pause, claim_timeout=options.claim_timeout
        )
        self._background_writes: set[Any] = set()

    @property
    def is_available(self) -> bool:
        """Whether the last claim got an answer from the table in time."""
        return self._circuit_breaker.lets_all_through

    @property
    def unfinished_writes(self) -> int:
        """Number of records of ended calls whose final state is still to be written."""
        return len(self._background_writes)

    def check_available(self, call: CallRequest, now: float) -> None:
        """Refuses a call that needs a record while the table is unreachable.

        Raises:
            RecordUnavailableError: If the call cannot be claimed now.
        """
        if needs_record(call):
            self._circuit_breaker.check(call, now)

    def open(self, call: CallRequest) -> CallRecord | None:
        """Returns the record of a call, or None if the call needs none."""
        if not needs_record(call):
            return None
        claim = Claim(
            call,
            lifetime=self._options.claim_lifetime,
            kept_answer_bytes=self._options.kept_answer_bytes,
        )
        return CallRecord(self, claim, call)

    async def claim_record(self, claim: Claim, call: CallRequest) -> KeptAnswer | None:
        """Claims a record within the claim timeout, unless the claim is still valid.

        Returns:
            The answer of an earlier execution, or None if the call may be sent.

        Raises:
            RefusalError: If the call must not be sent.
        """
        now = time.monotonic()
        if claim.is_valid(now):
            return None
        self._circuit_breaker.check(call, now)
        try:
            async with timeout_after(self._options.claim_timeout):
                kept_answer = await self._claim(claim, now)
        except curio.TaskTimeout as err:
            if self._circuit_breaker.lets_all_through:
                reason = RecordUnavailableError.code
                _LOG.warning("record table unreachable", extra={"reason": reason})
            self._circuit_breaker.record_failure(time.monotonic())
            raise self._circuit_breaker.build_refusal() from err
        except RefusalError:
            self._circuit_breaker.record_success()
            raise
        self._circuit_breaker.record_success()
        return kept_answer

    async def _claim(self, claim: Claim, now: float) -> KeptAnswer | None:
        write = claim.start(now)
        while True:
            result = await complete_write(self._platform, write, rng=self._rng)
            step = claim.apply_result(result, time.monotonic())
            if not isinstance(step, ConditionalWrite):
                return step
            write = step

    async def write_in_background(self, claim: Claim, write: ConditionalWrite) -> None:
        """Writes the final state of a record in the background.

        Retries end after ``record_retry_time`` seconds.
        """
        task = await curio.spawn(self._write_final_state, claim, write, daemon=True)
        self._background_writes.add(task)

    async def _write_final_state(self, claim: Claim, write: ConditionalWrite) -> None:
        state = write.value["state"]
        next_write: ConditionalWrite | None = write
        outcome = state
        try:
            async with timeout_after(self._options.record_retry_time):
                while next_write is not None:
                    result = await complete_write(
                        self._platform, next_write, rng=self._rng
                    )
                    if state == "done":
                        next_write = None
                    else:
                        next_write = claim.apply_abandon_result(result)
                    if next_write is None and isinstance(result, Rejected):
                        outcome = f"{state}-rejected"
        except curio.TaskTimeout:
            outcome = f"{state}-given-up"
        except Exception as err:
            outcome = f"{state}-given-up"
            _LOG.exception(
                "final state of a call not recorded",
                extra={"reason": repr(err), "request_id": claim.key},
            )
        finally:
            self._background_writes.discard(await curio.current_task())
        self._metrics.record_ends.labels(outcome).inc()
        if outcome != state:
            _LOG.warning(
                "final state of a call not recorded",
                extra={"reason": outcome, "request_id": claim.key},
            )


class CallRecord:
    """The at-most-once record of one call, from its claim to its final state."""

    def __init__(self, records: Records, claim: Claim, call: CallRequest) -> None:
        self._records = records
        self._claim = claim
        self._call = call
        self._is_closed = False

    async def claim(self) -> KeptAnswer | None:
        """Claims the record, unless an earlier claim of this call is valid.

        Returns:
            The answer of an earlier execution, or None if the call may be sent.

        Raises:
            RefusalError: If the call must not be sent.
        """
        return await self._records.claim_record(self._claim, self._call)

    def check_before_send(self) -> None:
        """Checks that the claim is valid right before the call is sent.

        Raises:
            ClaimExpiredError: If the claim has expired.
        """
        self._claim.check_before_send(time.monotonic())

    async def finish(self, status: int, answer: KeptAnswer | None) -> None:
        """Marks the record ``done`` in the background.

        Args:
            status: HTTP status of the answer.
            answer: Answer to keep for repeats of the call, if it is not a stream.
        """
        self._is_closed = True
        write = self._claim.finish(status, answer)
        if write is not None:
            await self._records.write_in_background(self._claim, write)

    async def close(self, error: RefusalError | None = None) -> None:
        """Abandons the record in the background if the call did not run.

        Args:
            error: Error that ended the call, if any.
        """
        if self._is_closed:
            return
        self._is_closed = True
        was_refused = (
            error is not None
            and error.execution is Execution.WAS_NOT_RUN
            and not self._call.is_sent
        )
        write = self._claim.abandon(was_refused=was_refused)
        if write is not None:
            await self._records.write_in_background(self._claim, write)
