"""Tests of at-most-once records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiamoor.core.records import Claim, KeptAnswer, TableCircuitBreaker, digest_call
from sequoiamoor.core.writes import ConditionalWrite
from sequoiamoor.errors import (
    AnswerNotRecordedError,
    ClaimExpiredError,
    DuplicateCallError,
    RecordUnavailableError,
    RefusalError,
    RequestIdReusedError,
)
from sequoiamoor.types import Execution

from .builders import FAULTS, Table, build_call, settle

LIFETIME = 2.0
ANSWER = KeptAnswer(200, "application/json", b'{"held":true}')


def build_claim(number: int, **fields: Any) -> Claim:
    call = build_call(number, **fields)
    return Claim(call, lifetime=LIFETIME, kept_answer_bytes=16)


def write_claim(table: Table, claim: Claim, now: float = 0.0) -> KeptAnswer | None:
    step: Any = claim.start(now)
    while isinstance(step, ConditionalWrite):
        step = claim.apply_result(settle(table, step), now)
    return step


def write_abandonment(
    table: Table, claim: Claim, write: ConditionalWrite | None
) -> None:
    while write is not None:
        write = claim.apply_abandon_result(settle(table, write))


@pytest.mark.parametrize(
    ("state", "repeat", "expected"),
    [
        ("done", {}, ANSWER),
        ("done", {"body": b"other"}, RequestIdReusedError),
        ("done", {"service": "other"}, RequestIdReusedError),
        ("done", {"class_name": "other"}, RequestIdReusedError),
        ("done long", {}, AnswerNotRecordedError),
        ("claimed", {}, DuplicateCallError),
        ("sent", {}, DuplicateCallError),
        ("claimed", {"body": b"other"}, RequestIdReusedError),
        ("abandoned", {}, None),
        ("unreadable", {}, RecordUnavailableError),
    ],
)
def test_repeat_gets_answer_or_refusal_by_record_state(
    state: str, repeat: dict[str, Any], expected: Any
) -> None:
    """Guards against a second execution and against the answer of another call.

    A caller repeats a call under the same request identifier, unchanged or changed.
    """
    table = Table()
    first = build_claim(1)
    assert write_claim(table, first) is None
    if state.startswith("done"):
        body = b"x" * 17 if state == "done long" else ANSWER.body
        first.check_before_send(0.0)
        write = first.finish(200, KeptAnswer(200, ANSWER.content_type, body))
        assert write is not None
        settle(table, write)
    elif state in ("abandoned", "sent"):
        if state == "sent":
            first.check_before_send(0.0)
        write_abandonment(table, first, first.abandon())
    elif state == "unreadable":
        table.entries[first.key] = (1, "text")
    second = build_claim(2, **repeat)
    if isinstance(expected, type):
        with pytest.raises(expected):
            write_claim(table, second)
    else:
        assert write_claim(table, second) == expected


@pytest.mark.parametrize(
    ("age", "is_allowed"), [(0.0, True), (1.99, True), (2.0, False), (60.0, False)]
)
def test_first_byte_needs_a_fresh_claim(age: float, is_allowed: bool) -> None:
    """Guards against a paused router that sends a call long after it claimed it."""
    claim = build_claim(1)
    write_claim(Table(), claim)
    if is_allowed:
        claim.check_before_send(age)
        assert claim.abandon() is None
    else:
        with pytest.raises(ClaimExpiredError):
            claim.check_before_send(age)
        assert claim.abandon() is not None


def test_one_call_at_a_time_probes_an_unavailable_table() -> None:
    """Guards against an outage of the table that fills all slots of a service.

    Each call that waits for the table holds a slot of an upstream.
    """
    circuit_breaker = TableCircuitBreaker(pause=1.0, claim_timeout=0.5)
    calls = [build_call(number) for number in range(5)]
    circuit_breaker.check(calls[0], 0.0)
    circuit_breaker.record_failure(10.0)
    with pytest.raises(RecordUnavailableError):
        circuit_breaker.check(calls[0], 10.9)
    for now, probe, other in ((11.0, 1, 2), (11.5, 3, 1)):
        circuit_breaker.check(calls[probe], now)
        circuit_breaker.check(calls[probe], now + 0.4)
        with pytest.raises(RecordUnavailableError) as caught:
            circuit_breaker.check(calls[other], now + 0.4)
        assert caught.value.execution is Execution.WAS_NOT_RUN
    circuit_breaker.record_success()
    for call in calls:
        circuit_breaker.check(call, 11.6)


def test_digest_separates_fields() -> None:
    """Guards against two different calls that have the same digest."""
    calls = [("ab", "c", b""), ("a", "bc", b""), ("a", "b", b"c"), ("a", "b", b"")]
    digests = {
        digest_call(build_call(service=service, class_name=class_name, body=body))
        for service, class_name, body in calls
    }
    assert len(digests) == len(calls)


@dataclass
class Submission:
    """One submission of the call to some router.

    Attributes:
        write: Conditional write in progress.
        reported_execution: What the caller was told about the execution.
    """

    claim: Claim
    write: ConditionalWrite | None
    phase: str = "claiming"
    reported_execution: Execution | None = None
    has_run: bool = False


def is_any_in_phase(phase: str) -> Any:
    return precondition(
        lambda self: any(submission.phase == phase for submission in self.submissions)
    )


class RecordMachine(RuleBasedStateMachine):
    """Several submissions of one call, with every fault of the platform."""

    def __init__(self) -> None:
        super().__init__()
        self.table = Table()
        self.submissions: list[Submission] = []
        self.now = 0.0
        self.submission_count = 0

    def find(self, index: int, phase: str) -> Submission:
        matching = [
            submission for submission in self.submissions if submission.phase == phase
        ]
        return matching[index % len(matching)]

    def refuse(self, submission: Submission, error: RefusalError) -> None:
        submission.reported_execution = error.execution
        self.start_end(submission, submission.claim.abandon())

    def advance(self, write: ConditionalWrite, fault: str) -> bool:
        """Makes one faulty step of a write, or all its steps if there is no fault."""
        if fault == "none":
            settle(self.table, write)
        else:
            self.table.step(write, fault)
        return write.result is not None

    def start_end(self, submission: Submission, write: ConditionalWrite | None) -> None:
        submission.write = write
        submission.phase = "ended" if write is None else "ending"

    @precondition(lambda self: self.submission_count < 8)
    @rule()
    def submit(self) -> None:
        self.submission_count += 1
        claim = build_claim(self.submission_count)
        self.submissions.append(Submission(claim, claim.start(self.now)))

    @is_any_in_phase("claiming")
    @rule(index=st.integers(0, 4), fault=st.sampled_from(FAULTS))
    def claim(self, index: int, fault: str) -> None:
        submission = self.find(index, "claiming")
        assert submission.write is not None
        if not self.advance(submission.write, fault):
            return
        try:
            step = submission.claim.apply_result(submission.write.result, self.now)
        except RefusalError as error:
            self.refuse(submission, error)
            return
        if isinstance(step, ConditionalWrite):
            submission.write = step
        elif step is None:
            submission.phase = "claimed"
        else:
            assert step == ANSWER
            submission.phase, submission.reported_execution = "ended", Execution.WAS_RUN

    @is_any_in_phase("claiming")
    @rule(index=st.integers(0, 4), is_due=st.booleans())
    def time_out(self, index: int, is_due: bool) -> None:
        if not is_due:
            return
        submission = self.find(index, "claiming")
        self.refuse(submission, RecordUnavailableError("out"))

    @is_any_in_phase("claimed")
    @rule(index=st.integers(0, 4))
    def send(self, index: int) -> None:
        submission = self.find(index, "claimed")
        try:
            submission.claim.check_before_send(self.now)
        except ClaimExpiredError as error:
            self.refuse(submission, error)
            return
        submission.phase, submission.has_run = "sent", True

    @is_any_in_phase("claimed")
    @rule(index=st.integers(0, 4))
    def send_refused(self, index: int) -> None:
        """The upstream states that it did not run the call."""
        submission = self.find(index, "claimed")
        try:
            submission.claim.check_before_send(self.now)
        except ClaimExpiredError as error:
            self.refuse(submission, error)
            return
        submission.reported_execution = Execution.WAS_NOT_RUN
        self.start_end(submission, submission.claim.abandon(was_refused=True))

    @is_any_in_phase("sent")
    @rule(index=st.integers(0, 4), is_answered=st.booleans())
    def answer(self, index: int, is_answered: bool) -> None:
        submission = self.find(index, "sent")
        submission.reported_execution = (
            Execution.WAS_RUN if is_answered else Execution.MAY_HAVE_RUN
        )
        self.start_end(
            submission,
            submission.claim.finish(200, ANSWER)
            if is_answered
            else submission.claim.abandon(),
        )

    @is_any_in_phase("ending")
    @rule(index=st.integers(0, 4), fault=st.sampled_from(FAULTS))
    def write_end(self, index: int, fault: str) -> None:
        submission = self.find(index, "ending")
        assert submission.write is not None
        if self.advance(submission.write, fault):
            is_done = submission.write.value["state"] == "done"
            submission.write = (
                None
                if is_done
                else submission.claim.apply_abandon_result(submission.write.result)
            )
        if submission.write is None:
            submission.phase = "ended"

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 9), is_kept=st.booleans())
    def deliver_late(self, index: int, is_kept: bool) -> None:
        place = index % len(self.table.late)
        self.table.put(self.table.late[place])
        if not is_kept:
            del self.table.late[place]

    @rule(seconds=st.sampled_from([0.01] * 6 + [1.0, LIFETIME]))
    def pause(self, seconds: float) -> None:
        self.now += seconds

    @precondition(
        lambda self: any(submission.phase != "ended" for submission in self.submissions)
    )
    @rule(index=st.integers(0, 4))
    def restart(self, index: int) -> None:
        """A router fails in any phase; its caller gets no answer."""
        unfinished = [
            submission for submission in self.submissions if submission.phase != "ended"
        ]
        unfinished[index % len(unfinished)].phase = "ended"

    @invariant()
    def runs_at_most_once(self) -> None:
        assert sum(submission.has_run for submission in self.submissions) <= 1

    @invariant()
    def reported_executions_are_true(self) -> None:
        for submission in self.submissions:
            if submission.reported_execution is Execution.WAS_NOT_RUN:
                assert not submission.has_run
            if submission.reported_execution is Execution.WAS_RUN:
                assert any(other.has_run for other in self.submissions)


RecordMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
test_record_machine = RecordMachine.TestCase
