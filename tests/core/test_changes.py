"""Tests of configuration changes by concurrent operators."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.core.changes import (
    CONFIGURATION_KEY,
    ConfigurationChange,
    build_history_write,
    history_key,
    list_differences,
    needs_history_entry,
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
def test_differences_are_listed(old: Any, new: Any, expected: list[str]) -> None:
    """Guards against hiding a difference from an operator whose change was rejected."""
    assert list_differences(old, new) == expected


class Operator:
    """An operator's command that makes one change, step by step."""

    def __init__(self, number: int, table: Table) -> None:
        self.table = table
        version, value = table.entries.get(CONFIGURATION_KEY, (0, None))
        self.change = ConfigurationChange({"n": number}, f"id-{number}", version)
        self.compare_and_set = self.change.build_write()
        self.preservation = build_history_write(version, value) if version else None
        self.is_accepted: bool | None = None

    def find_current_write(self) -> ConditionalWrite:
        is_preserved = self.preservation is None or self.preservation.result is not None
        return self.compare_and_set if is_preserved else self.preservation  # type: ignore[return-value]

    def step(self, fault: str) -> None:
        if self.is_accepted is not None:
            return
        self.table.step(self.find_current_write(), fault)
        if self.compare_and_set.result is not None:
            key = history_key(self.change.version)
            entry = self.table.entries.get(key, (0, None))[1]
            if not needs_history_entry(self.change, self.compare_and_set.result):
                entry = None
            self.is_accepted = self.change.is_accepted(
                self.compare_and_set.result, entry
            )


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from((*FAULTS, "deliver"))),
        max_size=60,
    )
)
def test_concurrent_operators_lose_no_accepted_version(
    steps: list[tuple[int, str]],
) -> None:
    """Guards against accepted changes that are lost and rejected ones reported as made.

    Three operators change the configuration at the same time, with writes whose
    answers are lost or that arrive late.
    """
    table = Table()
    accepted: dict[int, Any] = {}
    operators: dict[int, Operator] = {}
    operator_count = 0
    for number, fault in steps:
        if fault == "deliver":
            if table.late:
                table.put(table.late.pop(number % len(table.late)))
        else:
            index = number % 3
            if index not in operators or operators[index].is_accepted is not None:
                operator_count += 1
                operators[index] = Operator(operator_count, table)
            operators[index].step(fault)
        version, value = table.entries.get(CONFIGURATION_KEY, (0, None))
        if version:
            accepted[version] = value
        for operator in operators.values():
            if operator.is_accepted is not None:
                stored = accepted.get(operator.change.version)
                assert operator.is_accepted is (stored == operator.change.value)
        for earlier in range(1, version):
            assert table.entries[history_key(earlier)][1] == accepted[earlier]
