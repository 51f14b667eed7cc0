"""Tests of the choice of the connection that makes room for a new one."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sequoiamoor.core.connections import CallerConnections


def build(*rows: tuple[int, str | None]) -> CallerConnections[int]:
    """Builds connections that became idle in the given order."""
    connections: CallerConnections[int] = CallerConnections()
    for number, organisation in rows:
        connections.add(number)
        connections.start_request(number)
        if organisation is not None:
            connections.set_organisation(number, organisation)
        connections.end_request(number, float(number))
    return connections


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([], []),
        ([(1, "a"), (2, "a")], [1, 2]),
        ([(1, "a"), (2, "b"), (3, "b")], [2, 3, 1]),
        ([(1, None), (2, "a"), (3, None)], [1, 3, 2]),
    ],
)
def test_oldest_idle_one_of_the_largest_holder_makes_room(
    rows: list[tuple[int, str | None]], expected: list[int]
) -> None:
    """Guards against an organisation whose connections displace those of others."""
    connections = build(*rows)
    assert list(connections.list_idle(9.0)) == expected
    assert not set(connections.list_idle(2.0)) & {2, 3}


def test_connections_with_a_request_or_without_any_are_not_idle() -> None:
    """Guards against a close of a connection whose caller waits for an answer."""
    connections = build((1, "a"), (2, "a"))
    connections.add(3)
    connections.start_request(1)
    assert list(connections.list_idle(9.0)) == [2]
    connections.end_request(1, 3.0)
    assert list(connections.list_idle(9.0)) == [2, 1]


@pytest.mark.parametrize(
    ("rows", "limit", "expected"),
    [
        ([(1, "a"), (2, "a"), (3, "a"), (4, "b")], 4, False),
        ([(1, "a"), (2, "a"), (4, "b")], 4, True),
        ([(1, "a"), (2, "a"), (3, "a"), (4, "a")], 4, True),
        ([(1, None), (2, None), (3, None), (4, "b")], 4, True),
    ],
)
def test_share_is_even_between_organisations_that_have_connections(
    rows: list[tuple[int, str | None]], limit: int, expected: bool
) -> None:
    """Guards against refusals for an organisation that takes nothing from others."""
    assert build(*rows).has_spare_share(1, limit) == expected


def test_share_of_requests_counts_those_in_service() -> None:
    """Guards against an organisation that connects often and gets nothing served."""
    connections = build(*((number, "a") for number in range(5)), (9, "b"))
    for number in (0, 1):
        assert connections.may_serve(number, 4)
        connections.start_service(number)
    assert not connections.may_serve(2, 4)
    assert connections.may_serve(9, 4)
    connections.remove(0)
    connections.end_request(1, 2.0)
    assert connections.may_serve(2, 4)
    assert not connections.has_spare_share(2, 4)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "start", "serve", "end", "remove", "name"]),
        st.integers(0, 5),
        st.sampled_from(["a", "b"]),
    ),
    max_size=60,
)


@given(STEPS)
def test_counts_agree_with_the_connections(steps: list[tuple[str, int, str]]) -> None:
    """Guards against counts that drift, so that room is never found again."""
    connections: CallerConnections[int] = CallerConnections()
    present: dict[int, bool] = {}
    for step, number, organisation in steps:
        if step == "add" and number not in present:
            connections.add(number)
            present[number] = False
        elif step == "remove":
            connections.remove(number)
            present.pop(number, None)
        elif number in present and step != "add":
            if step == "start":
                connections.start_request(number)
                present[number] = False
            elif step == "serve" and not present[number]:
                connections._end_service(number)
                connections.start_service(number)
            elif step == "end":
                connections.end_request(number, 0.0)
                present[number] = True
            elif (
                step == "name"
                and number not in connections._serving
                and not present[number]
            ):
                connections.set_organisation(number, organisation)
    idle = {number for number, is_idle in present.items() if is_idle}
    assert set(connections.list_idle(1.0)) == idle
    assert len(connections) == len(present)
    assert sum(connections._counts.values()) == len(present)
    for number in present:
        connections.remove(number)
    assert not connections._counts
    assert not connections._idle
    assert not +connections._in_service
