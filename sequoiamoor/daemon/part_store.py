"""Keeps the cases of prompt parts in the platform's store, and claims probes there."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import curio

from ..core.case_writes import must_write
from ..core.part_cases import PartCase, PartKey
from ..core.quarantine import (
    IDLE_SECONDS,
    MAX_CASES,
    WATCH_SECONDS,
    find_probe_delay,
)
from ..core.retries import draw_backoff
from ..core.store_eras import judge_answer
from ..core.store_position import StorePosition
from ..errors import SequoiamoorError, SettingsError, VersionConflictError
from ..net.wakeup import Wakeup
from ..platform.part_rows import (
    PART_TABLE,
    StoredCase,
    build_row_key,
    decode_case,
    encode_case,
)
from ..platform.store import Row, Rows, StoreClient
from ..timeouts import wait_for
from .feeds import RETRY_BASE_DELAY_SECONDS
from .invalid_rows import InvalidRows
from .part_guard import PartGuard

_LOG = logging.getLogger(__name__)

WRITE_INTERVAL_SECONDS = 0.1
"""Shortest time between two passes over the cases to be written."""

MAX_RETRY_SECONDS = 8.0
"""Longest delay before a failed write is repeated. Every router that heard of a case
writes it while it is not stored, so that an outage meets writes of the whole fleet."""

CLEANUP_CHECK_SECONDS = 10.0
"""Interval between two checks for old rows while there is nothing to write."""

MAX_ROWS = 2 * MAX_CASES
"""Rows that are kept; those of another writer beyond it are ignored."""

MERGE_DELAY_SECONDS = 1.0
"""Longest random delay before a router completes the row of another one."""

CLEANUP_SECONDS = 60.0
"""Mean interval between removals of old rows."""


@dataclass(frozen=True, slots=True)
class _KnownRow:
    """A row as it was last received.

    Attributes:
        version: Version of the row, for conditional writes.
    """

    stored: StoredCase
    version: int


class PartStore:
    """Writes the cases that this router changed, and reads those of all routers.

    Args:
        guard: Decides on the cases.
        create_client: Creates a client of the store.

    Attributes:
        is_known: Whether the table was read once, or could not be.
    """

    def __init__(
        self,
        guard: PartGuard,
        *,
        create_client: Callable[[], StoreClient],
        rng: Random,
    ) -> None:
        self._guard = guard
        self._create_client = create_client
        self._rng = rng
        self._rows: dict[PartKey, _KnownRow] = {}
        self._unwritten: dict[PartKey, float] = {}
        self._clock_offset_ms: float | None = None
        self._position: StorePosition | None = None
        self._era_began_ms = 0.0
        self._invalid_rows = InvalidRows()
        self._received: list[tuple[Rows, bool]] = []
        self._cleanup_at = 0.0
        self._asked: set[PartKey] = set()
        self._due = Wakeup()
        self.is_known = False

    def note_changed(self, case: PartCase, *, delay: float = 0.0) -> None:
        """Records that a case has to be written.

        Args:
            case: The case.
            delay: Seconds to wait for another router to write it.
        """
        write_at = time.monotonic() + delay
        self._unwritten[case.key] = min(
            write_at, self._unwritten.get(case.key, write_at)
        )
        self._due.set()

    def note_asked(self, key: PartKey) -> None:
        """Records that the probe of a part is due and that somebody has sent it."""
        self._asked.add(key)
        self._due.set()

    def find_stored(self, key: PartKey) -> PartCase | None:
        """Returns a case as it is in the store, None if it is not there."""
        known = self._rows.get(key)
        return None if known is None else known.stored.case

    # Reading.

    def receive(self, rows: Rows | None, is_full_table: bool) -> None:
        """Takes an answer of the feed, None for a call that failed."""
        if rows is None:
            # A store that is out must not keep the router from being ready.
            self.is_known = True
            return
        self._received.append((rows, is_full_table))
        self._guard.changed.set()

    @property
    def has_received(self) -> bool:
        """Whether there is an answer that was not applied."""
        return bool(self._received)

    async def apply_received(self) -> None:
        """Applies the answers that have arrived."""
        while self._received:
            rows, is_full_table = self._received.pop(0)
            await self._apply(rows, is_full_table=is_full_table)

    async def _apply(self, rows: Rows, *, is_full_table: bool) -> None:
        now = time.monotonic()
        judged = judge_answer(
            self._position, rows.position, is_full_table=is_full_table, now=now
        )
        if judged.is_outdated:
            # A write that failed has had the table of a later era read.
            return
        if self._position is None or judged.is_first_read:
            self._era_began_ms = rows.time_ms
        self._position = rows.position
        self._clock_offset_ms = rows.time_ms - now * 1000
        if judged.is_first_read:
            self._write_missing_again({row.key for row in rows.rows})
        keys_by_row = {build_row_key(key): key for key in self._rows}
        removed = {row.key for row in rows.rows if row.is_removed}
        if is_full_table:
            removed |= keys_by_row.keys() - {row.key for row in rows.rows}
            self._invalid_rows.keep_only(PART_TABLE, {row.key for row in rows.rows})
        for row_key in removed:
            if row_key in keys_by_row:
                self._apply_removal(keys_by_row[row_key])
        for row in rows.rows:
            if not row.is_removed:
                await self._apply_row(row, now)
        self.is_known = True

    def _write_missing_again(self, row_keys: set[str]) -> None:
        """Has the cases written that an older copy of the table lacks.

        The versions that are known belong to the former era. One may have been assigned
        again, so no condition of a write may name it.
        """
        self._rows.clear()
        for case in self._guard.quarantine.cases.values():
            if build_row_key(case.key) not in row_keys:
                delay = self._rng.uniform(0.0, MERGE_DELAY_SECONDS)
                self.note_changed(case, delay=delay)

    def _apply_removal(self, key: PartKey) -> None:
        known = self._rows.pop(key)
        case = self._guard.quarantine.cases.get(key)
        if case is not None and case.state == known.stored.case.state:
            self._guard.quarantine.forget(key)

    async def _apply_row(self, row: Row, now: float) -> None:
        try:
            stored = decode_case(row.key, row.value)
        except SettingsError as err:
            if self._invalid_rows.add(row):
                _LOG.warning(
                    "invalid row of a prompt part ignored",
                    extra={"table": PART_TABLE, "detail": str(err)},
                )
            return
        self._invalid_rows.discard(row)
        key = stored.case.key
        stored = self._date_anew(stored, now)
        if len(self._rows) >= MAX_ROWS and key not in self._rows:
            return
        self._rows[key] = _KnownRow(stored, row.version)
        if self._is_old(stored):
            return
        probe_at = now + (stored.probe_ms - self._read_store_ms()) / 1000
        received = replace(stored.case, probe_at=probe_at)
        await self._guard.apply(received, "store")
        case = self._guard.quarantine.cases.get(key)
        if case is not None and case.state != received.state:
            # The row lacks what other routers have told meanwhile.
            self.note_changed(case, delay=self._rng.uniform(0.0, MERGE_DELAY_SECONDS))

    def _date_anew(self, stored: StoredCase, now: float) -> StoredCase:
        """Returns a case with times of the present clock of the store.

        The times of a row of another era are those of a clock that may have started
        again. It counts as written when this router learned of the era; its probe is
        due when it is here, or after the whole delay if the case is not known.
        """
        assert self._position is not None
        if stored.era in (None, self._position.era):
            return stored
        case = self._guard.quarantine.cases.get(stored.case.key)
        probe_at = now + find_probe_delay(stored.case.probes)
        if case is not None and case.probes == stored.case.probes:
            probe_at = case.probe_at
        probe_ms = self._read_store_ms() + (probe_at - now) * 1000
        return replace(stored, probe_ms=probe_ms, written_ms=self._era_began_ms)

    def _read_store_ms(self) -> float:
        assert self._clock_offset_ms is not None
        return time.monotonic() * 1000 + self._clock_offset_ms

    def _is_old(self, stored: StoredCase) -> bool:
        now_ms = self._read_store_ms()
        if stored.case.is_quarantined:
            return now_ms - stored.probe_ms > IDLE_SECONDS * 1000
        return now_ms - stored.written_ms > WATCH_SECONDS * 1000

    # Writing.

    async def run(self) -> None:
        """Writes changed cases, claims probes and removes old rows until cancelled."""
        client = self._create_client()
        failures = 0
        try:
            while True:
                if not self._unwritten and not self._asked:
                    await wait_for(CLEANUP_CHECK_SECONDS, self._due.wait)
                try:
                    await self._write_changed(client)
                    await self._claim_probes(client)
                    await self._remove_old(client)
                    failures = 0
                    delay = WRITE_INTERVAL_SECONDS
                except SequoiamoorError as err:
                    failures += 1
                    _LOG.debug("writing cases of prompt parts failed: %s", err)
                    retry_delay = draw_backoff(
                        failures,
                        base=RETRY_BASE_DELAY_SECONDS,
                        limit=MAX_RETRY_SECONDS,
                        rng=self._rng,
                    )
                    delay = max(retry_delay, WRITE_INTERVAL_SECONDS)
                await curio.sleep(delay)
        finally:
            await client.close()

    async def _write_changed(self, client: StoreClient) -> None:
        now = time.monotonic()
        for key, write_at in list(self._unwritten.items()):
            case = self._guard.quarantine.cases.get(key)
            if case is None or not must_write(case, self.find_stored(key)):
                del self._unwritten[key]
            elif now >= write_at and self._clock_offset_ms is not None:
                await self._write(client, case)

    async def _write(self, client: StoreClient, case: PartCase) -> bool:
        """Writes a case if the row is as it was last received.

        Returns:
            Whether it was written. If not, the row of the other writer is applied, and
            what it lacks is written later. A write in an era whose rows have not been
            read does not count: the version that it named was of another row.
        """
        assert self._position is not None
        era = self._position.era
        now_ms = self._read_store_ms()
        known = self._rows.get(case.key)
        probe_ms = now_ms + (case.probe_at - time.monotonic()) * 1000
        row_key = build_row_key(case.key)
        try:
            await client.write_row(
                PART_TABLE,
                row_key,
                encode_case(case, probe_ms=probe_ms, written_ms=now_ms, era=era),
                expected=0 if known is None else known.version,
            )
        except VersionConflictError as err:
            await self._apply_conflict(client, case.key, err, era)
            return False
        if client.era != era:
            return False
        self._unwritten.pop(case.key, None)
        return True

    async def _apply_conflict(
        self,
        client: StoreClient,
        key: PartKey,
        conflict: VersionConflictError,
        era: int,
    ) -> None:
        """Applies the row of another writer, which the store's refusal tells."""
        rows = client.read_conflict(conflict) if client.era == era else None
        row_key = build_row_key(key)
        if rows is None or any(row.key != row_key for row in rows):
            table = await client.read_table(PART_TABLE)
            await self._apply(table, is_full_table=True)
            return
        if not rows and key in self._rows:
            self._apply_removal(key)
        for row in rows:
            await self._apply_row(row, time.monotonic())

    async def _claim_probes(self, client: StoreClient) -> None:
        while self._asked:
            key = self._asked.pop()
            claimed = self._guard.quarantine.claim_probe(key, time.monotonic())
            known = self._rows.get(key)
            if claimed is None or known is None:
                # Without a row, no claim keeps other routers from the same probe.
                continue
            if await self._write(client, claimed):
                await self._guard.apply(claimed, "store")
                self._guard.publish(claimed)
                self._guard.permit_probe(key)

    async def _remove_old(self, client: StoreClient) -> None:
        now = time.monotonic()
        if now < self._cleanup_at or self._clock_offset_ms is None:
            return
        self._cleanup_at = now + CLEANUP_SECONDS * self._rng.uniform(0.5, 1.5)
        for key, known in list(self._rows.items()):
            if self._is_old(known.stored):
                try:
                    await client.remove_row(
                        PART_TABLE, build_row_key(key), expected=known.version
                    )
                except VersionConflictError:
                    continue
