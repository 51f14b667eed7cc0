"""Tests of what replicas said in their answers, and of what may change it."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from sequoiamoor.core.statements import (
    MAX_REMEMBERED_PROCESSES,
    PROBE_LIMIT_SECONDS,
    ProcessState,
    ReplicaProcess,
    ReplicaStatements,
    Statement,
)
from sequoiamoor.core.upstreams import ListedUpstream, LoadReport, Replica, Upstreams
from sequoiamoor.errors import UpstreamLeavingError
from sequoiamoor.options import Options
from sequoiamoor.types import Address

NAMES = st.sampled_from(["talk-0", "talk-1"])
INCARNATIONS = st.integers(1, 6)
PORTS = st.integers(1, 2)
LEAVING = Statement(is_leaving=True)


@dataclass(frozen=True)
class SentRequest:
    """A request whose answer has not been read."""

    request_id: str
    process: ReplicaProcess
    sent_at: float


class StatementMachine(RuleBasedStateMachine):
    """Compares the replicas of a router with all that their processes stated.

    Attributes:
        left: Processes that said in an answer or an entry that they leave, or of which
            a peer said so, as pairs of identifier and incarnation.
        held: The end of the latest hold of each process, without the random delay.
        unidentified: Replicas that stated something while their incarnation was
            unknown; the next one that is reported may be the same process.
    """

    def __init__(self) -> None:
        super().__init__()
        self.upstreams = Upstreams(Options.model_validate({}))
        self.now = 0.0
        self.left: set[tuple[str, int]] = set()
        self.held: dict[tuple[str, int], float] = {}
        self.unidentified: set[str] = set()
        self.requests: list[SentRequest] = []
        self.starts = 0

    def find(self, name: str) -> int:
        """Returns the incarnation of a replica, 0 if it is unknown."""
        replica = self.upstreams.replicas.get(name)
        return 0 if replica is None else replica.incarnation

    @initialize()
    def write_first_entries(self) -> None:
        for name in ("talk-0", "talk-1"):
            self.write_entry(name, 1, 1, False)
            for _ in range(3):
                self.send(name)

    @rule(
        name=NAMES,
        incarnation=st.integers(0, 6),
        port=PORTS,
        is_leaving=st.sampled_from([False, False, False, True]),
    )
    def write_entry(
        self, name: str, incarnation: int, port: int, is_leaving: bool
    ) -> None:
        listed = ListedUpstream(name, "talk", "zone-a", Address("10.0.0.1", port))
        load = LoadReport(incarnation, 4, 0, 0, 0.0, is_leaving)
        before = self.upstreams.replicas.get(name)
        is_same_address = before is not None and before.address == listed.address
        expected = incarnation or (self.find(name) if is_same_address else 0)
        self.upstreams.put(listed, load, self.now)
        known = self.find(name)
        assert known == expected
        if is_leaving and known:
            self.left.add((name, known))
        elif is_leaving:
            self.unidentified.add(name)

    @rule(name=NAMES)
    def remove_entry(self, name: str) -> None:
        self.upstreams.remove(name)

    @rule(name=NAMES, incarnation=INCARNATIONS)
    def hear_from_peer(self, name: str, incarnation: int) -> None:
        was_known = (name, incarnation) in self.left and self.find(name) > 0
        is_new = self.upstreams.apply_peer_state(name, incarnation, is_leaving=True)
        assert not (is_new and was_known)
        self.left.add((name, incarnation))

    @rule(name=NAMES, age=st.integers(0, 1))
    def report_load(self, name: str, age: int) -> None:
        """Applies a load report of this process, or a late one of an earlier one."""
        incarnation = max(self.find(name) - age, 0)
        load = LoadReport(incarnation, 4, 0, 0, 0.0, False)
        self.upstreams.record_load(name, load, self.now)

    @rule(name=NAMES)
    def refuse_connection(self, name: str) -> None:
        """Refuses a connection, as the address of a process that ended does."""
        replica = self.upstreams.replicas.get(name)
        if replica is not None:
            replica.record_refused(replica.process, self.now)

    @rule(name=NAMES)
    def send(self, name: str) -> None:
        replica = self.upstreams.replicas.get(name)
        if replica is None or not replica.is_available(self.now):
            return
        self.upstreams.check_in_service(replica, replica.address, self.now)
        self.starts += 1
        request_id = f"r{self.starts}"
        if replica.stated.is_returning:
            assert not [
                one
                for one in self.requests
                if one.process == replica.process
                and one.sent_at >= replica.stated.held_until
                and self.now - one.sent_at < PROBE_LIMIT_SECONDS
            ], "a second request tries a replica that has not answered yet"
        self.upstreams.record_start(replica, self.now, request_id)
        self.requests.append(SentRequest(request_id, replica.process, self.now))

    @rule(
        data=st.data(),
        statement=st.sampled_from(
            [None, LEAVING, Statement(hold=0.5), Statement(hold=4.0), Statement(hold=0)]
        ),
        spread=st.floats(0, 1),
    )
    def answer(
        self, data: st.DataObject, statement: Statement | None, spread: float
    ) -> None:
        """Reads an answer, however long after its request and whatever came between."""
        if not self.requests:
            return
        request = data.draw(st.sampled_from(self.requests))
        self.requests.remove(request)
        process = request.process
        key = (process.replica_id, process.incarnation)
        replica = self.upstreams.replicas.get(process.replica_id)
        is_current = replica is not None and replica.process == process
        if statement is not None:
            if not process.incarnation:
                self.unidentified.add(process.replica_id)
            change = self.upstreams.note_answer(
                process,
                statement,
                now=self.now,
                spread=spread,
                opened_at=request.sent_at,
            )
            is_news = is_current and statement.is_leaving and key not in self.left
            assert change.is_leaving == is_news or not process.incarnation
            if statement.is_leaving and process.incarnation:
                self.left.add(key)
            if statement.hold and process.incarnation:
                ends_at = self.now + statement.hold
                self.held[key] = max(self.held.get(key, 0.0), ends_at)
        elif is_current and replica is not None:
            replica.stated.record_answer(request.sent_at)
        if is_current and replica is not None:
            replica.stated.record_end(request.request_id)

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0, 60.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def statements_hold_for_their_process_only(self) -> None:
        for replica in self.upstreams.replicas.values():
            key = (replica.replica_id, replica.incarnation)
            if not replica.incarnation:
                continue
            is_out = key in self.left or self.now < self.held.get(key, 0.0)
            if is_out:
                assert not replica.is_available(self.now)
                with pytest.raises(UpstreamLeavingError):
                    self.upstreams.check_in_service(replica, replica.address, self.now)
            elif replica.replica_id in self.unidentified:
                continue
            elif key not in self.held:
                assert replica.is_available(self.now), "a new process starts clean"
            elif self.now > self.held[key] + 1.0 + PROBE_LIMIT_SECONDS:
                assert replica.may_receive(self.now), "a hold ends by itself"


TestStatements = StatementMachine.TestCase
TestStatements.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.mark.parametrize(
    ("holds", "until"),
    [
        ([(0.0, 2.0)], 2.0),
        ([(0.0, 2.0), (1.0, 0.5)], 2.0),
        ([(0.0, 0.5), (0.1, 2.0)], 2.1),
        ([(0.0, 0.0)], float("-inf")),
    ],
)
def test_later_end_of_two_holds_counts(
    holds: list[tuple[float, float]], until: float
) -> None:
    """Guards against a second, shorter refusal that ends the first one's time."""
    state = ProcessState()
    for now, hold in holds:
        state.note(Statement(hold=hold), now, 0.0)
    assert state.held_until == until


def test_routers_return_at_different_times_with_one_request_each() -> None:
    """Guards against the waiting work of all routers in the instant a hold ends."""
    upstreams = Upstreams(Options.model_validate({}))
    replica = Replica("talk-0", "talk", "zone-a", Address("10.0.0.1", 1))
    upstreams.replicas["talk-0"] = replica
    returns = set()
    for spread in (0.0, 0.5, 1.0):
        replica.stated = ProcessState()
        replica.stated.note(Statement(hold=2.0), 0.0, spread)
        returns.add(replica.stated.held_until)
    assert returns == {2.0, 2.25, 2.5}
    upstreams.record_start(replica, 2.6, "first")
    assert not replica.is_available(2.7)
    upstreams.record_end(replica, "other")
    assert not replica.is_available(2.7)
    replica.stated.record_answer(1.9)
    assert not replica.is_available(2.7), "the answer to a request before the hold"
    replica.stated.record_answer(2.6)
    assert replica.is_available(2.7)


def test_remembered_processes_are_bounded() -> None:
    """Guards against memory that grows with each replica that ever left."""
    statements = ReplicaStatements()
    for number in range(MAX_REMEMBERED_PROCESSES + 1):
        state = ProcessState(is_leaving=True)
        statements.keep(ReplicaProcess("talk-0", number, None), state)
    assert statements.find(ReplicaProcess("talk-0", 0, None)).is_blank
    assert not statements.find(ReplicaProcess("talk-0", 1, None)).is_blank
