"""Tests of the selection of the configuration in force."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sequoiamoor.core.blackboard import ConfigurationState
from sequoiamoor.core.configuration_versions import ConfigurationVersions, OfferResult

ROUTERS = ("router-0", "router-1", "router-2")
INDEXES = st.integers(0, len(ROUTERS) - 1)


def build_value(title: str, *, is_valid: bool = True) -> Any:
    services = {"talk": {"kind": "engine" if is_valid else "unknown"}}
    document = {
        "organisations": {"a": {"title": title}},
        "classes": {"chat": {"first_token_ms": 800}},
        "services": services,
    }
    return {"document": document, "change_id": title}


class ConfigurationMachine(RuleBasedStateMachine):
    """Three routers, a table, and messages that are lost, duplicated or late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table: list[tuple[Any, bool]] = []
        self.routers = [ConfigurationVersions(ConfigurationState()) for _ in ROUTERS]
        self.highest = [0] * len(ROUTERS)
        self.refused: list[set[int]] = [set() for _ in ROUTERS]
        self.in_flight: list[tuple[int, int, Any]] = []
        self.partitions: set[frozenset[int]] = set()
        self.is_platform_out = False

    @rule(is_valid=st.sampled_from([True, True, False]))
    def write(self, is_valid: bool) -> None:
        """An operator's write is accepted."""
        title = f"change {len(self.table) + 1}"
        self.table.append((build_value(title, is_valid=is_valid), is_valid))

    @rule(is_out=st.booleans())
    def set_platform(self, is_out: bool) -> None:
        self.is_platform_out = is_out

    @precondition(lambda self: self.table and not self.is_platform_out)
    @rule(index=INDEXES, is_stale=st.booleans())
    def poll(self, index: int, is_stale: bool) -> None:
        """A router reads the table; a late answer holds an earlier version."""
        version = max(1, len(self.table) - (1 if is_stale else 0))
        self._offer(index, version, self.table[version - 1][0])

    def _offer(self, index: int, version: int, value: Any) -> None:
        router = self.routers[index]
        before = router.state.version
        verdict = router.offer(version, value)
        if verdict is OfferResult.ADOPTED:
            assert version > before
            assert self.table[version - 1][1]
        elif verdict is OfferResult.REFUSED:
            # Each invalid document is reported once.
            assert version not in self.refused[index]
            self.refused[index].add(version)
            assert not self.table[version - 1][1]
            assert router.state.version == before

    @rule(sender=INDEXES, receiver=INDEXES, is_lost=st.booleans())
    def report(self, sender: int, receiver: int, is_lost: bool) -> None:
        """A router reports its version to a peer, which may request the document."""
        self.now += 0.3
        if (
            sender == receiver
            or is_lost
            or frozenset((sender, receiver)) in self.partitions
        ):
            return
        router = self.routers[receiver]
        router.record_peer_version(ROUTERS[sender], self.routers[sender].state.version)
        source = router.choose_source(self.now)
        if source is not None:
            self._answer(ROUTERS.index(source), receiver)

    def _answer(self, sender: int, receiver: int) -> None:
        state = self.routers[sender].state
        if frozenset((sender, receiver)) not in self.partitions and state.version:
            self.in_flight.append((receiver, state.version, state.document))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), is_duplicated=st.booleans(), is_lost=st.booleans())
    def deliver(self, data: st.DataObject, is_duplicated: bool, is_lost: bool) -> None:
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        receiver, version, value = self.in_flight[index]
        if not is_duplicated:
            del self.in_flight[index]
        if not is_lost:
            self._offer(receiver, version, value)

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.routers[index] = ConfigurationVersions(ConfigurationState())
        self.highest[index] = 0
        self.refused[index].clear()

    @rule(first=INDEXES, second=INDEXES)
    def cut(self, first: int, second: int) -> None:
        if first != second:
            self.partitions.add(frozenset((first, second)))

    @precondition(lambda self: self.table)
    @rule(reader=INDEXES)
    def heal(self, reader: int) -> None:
        """With one reader of the table and no loss, all adopt the newest valid one."""
        self.partitions.clear()
        version = len(self.table)
        self._offer(reader, version, self.table[version - 1][0])
        for _ in range(12):
            for sender in range(len(ROUTERS)):
                for receiver in range(len(ROUTERS)):
                    self.report(sender, receiver, False)
            while self.in_flight:
                receiver, number, value = self.in_flight.pop(0)
                self._offer(receiver, number, value)
        newest = max(router.state.version for router in self.routers)
        assert {router.state.version for router in self.routers} == {newest}
        if self.table[-1][1]:
            assert newest == version

    @invariant()
    def check_versions(self) -> None:
        for index, router in enumerate(self.routers):
            version = router.state.version
            assert version >= self.highest[index], "the version in force decreased"
            self.highest[index] = version
            if version:
                value, is_valid = self.table[version - 1]
                assert is_valid
                assert router.state.document == value
                assert router.state.declaration is not None
                title = router.state.declaration.organisations["a"].title
                assert title == f"change {version}"


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=30, deadline=None
)


def test_malformed_values_are_refused() -> None:
    """Guards against malformed values that raise instead of being refused."""
    versions = ConfigurationVersions(ConfigurationState())
    values: list[Any] = [None, 1, "x", [], {}, {"document": None}, [1], b"x"]
    for version, value in enumerate(values, start=1):
        assert versions.offer(version, value) is OfferResult.REFUSED
    assert versions.offer(len(values) + 1, build_value("x")) is OfferResult.ADOPTED


def test_next_peer_is_asked_when_one_does_not_answer() -> None:
    """Guards against a router that waits forever for a disconnected peer."""
    versions = ConfigurationVersions(ConfigurationState())
    versions.record_peer_version("router-1", 4)
    versions.record_peer_version("router-2", 5)
    sources = [versions.choose_source(0.5 * tick) for tick in range(9)]
    asked = [source for source in sources if source is not None]
    assert asked == ["router-2", "router-1", "router-2", "router-1", "router-2"]
    versions.forget_peer("router-2")
    assert versions.choose_source(100.0) == "router-1"
