"""Tests of the account of the bytes that a router holds."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sequoiamoor.core.held_bytes import (
    BASE_MEMORY_BYTES,
    COPIES_PER_BYTE,
    DEFAULT_LIMIT_BYTES,
    MEGABYTE,
    HeldBytes,
    HeldKind,
    Holding,
    find_limit,
)

LIMIT = 1_200
OWNERS = st.sampled_from(["a", "b", None])
STEPS = st.lists(
    st.tuples(st.sampled_from(HeldKind), OWNERS, st.integers(1, 600), st.booleans()),
    max_size=40,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_account_is_never_over_its_limit_and_ends_empty(
    steps: list[tuple[HeldKind, str | None, int, bool]],
) -> None:
    """Guards against bytes that stay in the account, or are not counted."""
    account = HeldBytes(LIMIT)
    holdings: list[Holding] = []
    for kind, owner, count, is_release in steps:
        if is_release and holdings:
            holdings.pop(0).release()
        else:
            holding = Holding(account, kind, owner)
            has_room = account.count(owner) + 2 * count <= LIMIT - account.total
            assert holding.grow(count) == has_room
            holdings.append(holding)
        assert account.total == sum(holding.size for holding in holdings)
        assert account.total == sum(account.by_kind.values())
        assert 0 <= account.total <= account.peak <= LIMIT
    for holding in holdings:
        holding.release()
        holding.release()
    assert account.total == 0
    assert not +account.by_kind and not account._by_owner


@pytest.mark.parametrize(
    ("owners", "expected"), [(1, 600), (2, 400), (4, 240)], ids=str
)
def test_owners_that_take_most_leave_room_for_another(
    owners: int, expected: int
) -> None:
    """Guards against large bodies of some organisations that refuse all others."""
    account = HeldBytes(LIMIT)
    names = [f"large-{number}" for number in range(owners)]
    for _ in range(LIMIT):
        for name in names:
            account.take(HeldKind.REQUEST, name, 1)
    assert {account.count(name) for name in names} == {expected}
    assert account.take(HeldKind.REQUEST, "small", expected // 2)


@pytest.mark.parametrize("megabytes", [None, 64, 150, 300, 552])
def test_limit_leaves_memory_for_the_rest(megabytes: int | None) -> None:
    """Guards against a process that ends for its memory, or that holds nothing."""
    if megabytes is None:
        assert find_limit(None) == DEFAULT_LIMIT_BYTES
        return
    memory = megabytes * MEGABYTE
    limit = find_limit(memory)
    assert limit >= MEGABYTE
    assert limit == MEGABYTE or BASE_MEMORY_BYTES + COPIES_PER_BYTE * limit <= memory
