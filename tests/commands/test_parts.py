"""Tests of the commands for prompt parts, against a stand-in for the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import curio
import pytest

from sequoiamoor.commands.parts import PartRegister, format_cases
from sequoiamoor.core.part_cases import Crash, PartCase, PartKey
from sequoiamoor.errors import PartUnknownError, PlatformUnavailableError
from sequoiamoor.platform.part_rows import PART_TABLE, build_row_key, encode_case

from ..platform.standin import StandInStore

CASE = PartCase(
    PartKey("talk", "bb00"),
    4,
    frozenset([Crash("i-1/7", "router-0/1/5", "captains")]),
    is_quarantined=True,
)


def run(session: Callable[[StandInStore, PartRegister], Awaitable[Any]]) -> Any:
    async def main() -> Any:
        store = StandInStore()
        address = await store.listen()
        row = encode_case(CASE, probe_ms=store.read_time_ms() + 50_000, written_ms=0.0)
        store.put(PART_TABLE, build_row_key(CASE.key), row)
        store.put(PART_TABLE, "foreign", b"unreadable")
        return await session(store, PartRegister(address))

    return curio.run(main)


def test_operators_see_why_a_part_is_refused_and_clear_it() -> None:
    """Guards against a false suspicion that no operator can find or end."""

    async def session(store: StandInStore, register: PartRegister) -> None:
        text = format_cases(await register.list_cases())
        assert "talk bb00: in quarantine, 0 probes, next probe in " in text
        assert "  i-1/7 ended under router-0/1/5 of captains" in text
        await register.clear(CASE.key)
        assert format_cases(await register.list_cases()) == "(none)"
        (cleared,) = [listed.case for listed in (await register._read())[0]]
        assert CASE.merge(cleared).is_cleared

    run(session)


@pytest.mark.parametrize("key", [PartKey("talk", "cc"), PartKey("desk", "bb00")])
def test_clearing_an_unknown_part_names_the_known_ones(key: PartKey) -> None:
    """Guards against a clear that seems to work and changes nothing."""

    async def session(store: StandInStore, register: PartRegister) -> None:
        with pytest.raises(PartUnknownError, match="talk/bb00"):
            await register.clear(key)

    run(session)


def test_store_that_is_out_is_reported() -> None:
    """Guards against an empty list that only means that the store is out."""

    async def session(store: StandInStore, register: PartRegister) -> None:
        store.status = 503
        with pytest.raises(PlatformUnavailableError):
            await register.list_cases()

    run(session)


def test_watched_parts_are_told_from_those_in_quarantine() -> None:
    """Guards against a part that looks refused and is not."""

    async def session(store: StandInStore, register: PartRegister) -> None:
        watched = replace(CASE, is_quarantined=False)
        row = encode_case(watched, probe_ms=0.0, written_ms=0.0)
        store.put(PART_TABLE, build_row_key(CASE.key), row)
        assert "bb00: watched" in format_cases(await register.list_cases())

    run(session)
