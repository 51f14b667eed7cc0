"""Prompt parts under which replicas ended, as the platform's store has them."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.part_cases import PartCase, PartKey
from ..errors import PartUnknownError, SettingsError
from ..platform.part_rows import (
    PART_TABLE,
    StoredCase,
    build_row_key,
    decode_case,
    encode_case,
)
from ..platform.store import Rows, StoreClient
from ..types import Address

CALL_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ListedCase:
    """A case in the store.

    Attributes:
        stored: The case.
        version: Version of its row.
        probe_in: Seconds until its next probe, negative if it is due.
    """

    stored: StoredCase
    version: int
    probe_in: float

    @property
    def case(self) -> PartCase:
        """The case itself."""
        return self.stored.case


class PartRegister:
    """The cases in the store."""

    def __init__(self, platform: Address) -> None:
        self._client = StoreClient(platform, timeout=CALL_TIMEOUT_SECONDS)

    async def list_cases(self) -> list[ListedCase]:
        """Returns the parts that are suspected or in quarantine.

        Raises:
            PlatformUnavailableError: If the store did not answer.
        """
        try:
            cases, _ = await self._read()
        finally:
            await self._client.close()
        return [listed for listed in cases if not listed.case.is_cleared]

    async def clear(self, key: PartKey) -> None:
        """Clears a part at all routers.

        Raises:
            PartUnknownError: If the store has no case of the part.
            VersionConflictError: If a router changed the case meanwhile.
            PlatformUnavailableError: If the store did not answer; the part may have
                been cleared.
        """
        try:
            cases, rows = await self._read()
            listed = next((one for one in cases if one.case.key == key), None)
            if listed is None or listed.case.is_cleared:
                known = ", ".join(
                    f"{one.case.key.service}/{one.case.key.part_id}"
                    for one in cases
                    if not one.case.is_cleared
                )
                raise PartUnknownError(
                    f"no prompt part {key.part_id!r} of service {key.service!r} is "
                    f"suspected; suspected are: {known or 'none'}"
                )
            await self._client.write_row(
                PART_TABLE,
                build_row_key(key),
                encode_case(
                    listed.case.clear(),
                    probe_ms=rows.time_ms,
                    written_ms=rows.time_ms,
                    era=rows.era,
                ),
                expected=listed.version,
            )
        finally:
            await self._client.close()

    async def _read(self) -> tuple[list[ListedCase], Rows]:
        rows = await self._client.read_table(PART_TABLE)
        cases = []
        for row in rows.rows:
            try:
                stored = decode_case(row.key, row.value)
            except SettingsError:
                # Routers report and ignore such a row.
                continue
            probe_in = (stored.probe_ms - rows.time_ms) / 1000
            cases.append(ListedCase(stored, row.version, probe_in))
        return cases, rows


def format_cases(cases: list[ListedCase]) -> str:
    """Returns the cases as text, one paragraph each."""
    return "\n".join(_format_case(listed) for listed in cases) or "(none)"


def _format_case(listed: ListedCase) -> str:
    case = listed.case
    state = "watched"
    if case.is_quarantined:
        state = (
            f"in quarantine, {case.probes} probes, next probe in "
            f"{max(listed.probe_in, 0.0):.0f} s"
        )
    lines = [f"{case.key.service} {case.key.part_id}: {state}"]
    lines += [
        f"  {crash.process} ended under {crash.call} of {crash.organisation}"
        for crash in sorted(case.crashes)
    ]
    return "\n".join(lines)
