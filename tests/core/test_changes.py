"""Tests of configuration changes with racing operators."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.core.changes import (
    CONFIGURATION_KEY,
    ConfigurationChange,
    history_key,
    list_differences,
    needs_history_entry,
    preserve_version,
)
from sequoiamoor.core.writes import ConditionalWrite

from .builders import FAULTS, Table


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ({"a": 1}, {"a": 1}, []),
        ({"a": 1}, {"a": 2}, ["~ a: 1 -> 2"]),
        ({}, {"a": {"b": 1}}, ['+ a: {"b": 1}']),
        ({"a": {"b": 1, "c": 2}}, {"a": {"b": 1}}, ["- a.c: 2"]),
        ({"a": None}, {}, ["- a: null"]),
        (None, {"a": 1}, ['~ (whole document): null -> {"a": 1}']),
    ],
)
def test_differences(old: Any, new: Any, expected: list[str]) -> None:
    """Guards against a difference that the loser of a race is not shown."""
    assert list_differences(old, new) == expected


class Operator:
    """An operator's command that makes one change, step by step."""

    def __init__(self, number: int, table: Table) -> None:
        self.table = table
        version, value = table.entries.get(CONFIGURATION_KEY, (0, None))
        self.change = ConfigurationChange({"n": number}, f"id-{number}", version)
        self.cas = self.change.build_write()
        self.before = preserve_version(version, value) if version else None
        self.is_accepted: bool | None = None

    def current(self) -> ConditionalWrite:
        is_preserved = self.before is None or self.before.result is not None
        return self.cas if is_preserved else self.before  # type: ignore[return-value]

    def step(self, fault: str) -> None:
        if self.is_accepted is not None:
            return
        self.table.step(self.current(), fault)
        if self.cas.result is not None:
            key = history_key(self.change.version)
            entry = self.table.entries.get(key, (0, None))[1]
            if not needs_history_entry(self.change, self.cas.result):
                entry = None
            self.is_accepted = self.change.is_accepted(self.cas.result, entry)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from((*FAULTS, "deliver"))),
        max_size=60,
    )
)
def test_racing_operators_lose_no_accepted_version(
    steps: list[tuple[int, str]],
) -> None:
    """Guards against an accepted change that is lost, or a loser told that it won."""
    table = Table()
    accepted: dict[int, Any] = {}
    operators: dict[int, Operator] = {}
    made = 0
    for number, fault in steps:
        if fault == "deliver":
            if table.late:
                table.put(table.late.pop(number % len(table.late)))
        else:
            slot = number % 3
            if slot not in operators or operators[slot].is_accepted is not None:
                made += 1
                operators[slot] = Operator(made, table)
            operators[slot].step(fault)
        version, value = table.entries.get(CONFIGURATION_KEY, (0, None))
        if version:
            accepted[version] = value
        for operator in operators.values():
            if operator.is_accepted is not None:
                found = accepted.get(operator.change.version)
                assert operator.is_accepted is (found == operator.change.value)
        for old in range(1, version):
            assert table.entries[history_key(old)][1] == accepted[old]
