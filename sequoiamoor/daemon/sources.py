"""Feeds from the platform's store: configuration, upstreams, other routers."""

from __future__ import annotations

import json
import logging
import math
import time
from collections.abc import Callable
from random import Random
from typing import Any

import curio

from ..core.blackboard import Blackboard, UnreadableDocument
from ..core.directory import UpstreamDirectory
from ..core.freshness import FEED_LAG_SECONDS, KeyFreshness, StoreClock
from ..core.poll_intervals import PollIntervals
from ..core.store_eras import EraAnswer, judge_answer
from ..core.store_position import StorePosition
from ..core.store_turns import ROUTER_LIFETIME_SECONDS
from ..core.upstreams import ListedUpstream, LoadReport
from ..errors import (
    SequoiamoorError,
    SettingsError,
)
from ..metrics import Metrics
from ..net.wakeup import Wakeup
from ..platform import names, replicas
from ..platform.documents import (
    ListedTexts,
    ReplicaEntry,
    RouterEntry,
    decode_configuration,
    decode_configuration_entries,
    decode_replica,
    decode_router,
)
from ..platform.part_rows import PART_TABLE
from ..platform.store import Row, Rows, StoreClient
from ..timeouts import wait_for
from ..types import Address, ReplicaId
from .cold_replicas import ColdReplicaWatch
from .control import Control
from .evacuations import ZoneEvacuations
from .feeds import RETRY_BASE_DELAY_SECONDS, FeedResult, StoreFeeds
from .invalid_rows import InvalidRows
from .store_role import StoreRole
from .store_schedules import StoreSchedules

_LOG = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 0.8
"""Timeout of one call to the store, on top of the wait of a long poll. The store
normally answers within milliseconds, and within a few hundred when it is slow. A lost
answer is detected after wait and timeout together, which must be less than the time in
which a leaving replica or a new configuration has to take effect."""

NO_PEER_REFRESH_INTERVAL_SECONDS = 1.0
"""Time between reads of the routers' addresses while no other router is known."""

LOST_ANSWER_RETRY_SECONDS = CALL_TIMEOUT_SECONDS + RETRY_BASE_DELAY_SECONDS
"""Time from the end of a long poll's wait to the retry of a call without an answer."""

ROUTER_TABLE = "routers"
ROUTER_RENEW_INTERVAL_SECONDS = 20.0
"""Time between writes of a router's own address, which expires otherwise."""

ROUTER_LIFETIME_MS = 70_000
"""Age, by the clock of the store, from which the address of a router is ignored."""

ERA_JITTER_SECONDS = 1.0
"""Longest random delay before a router writes its own address again in a new era of the
store, so that not all routers do at the same moment."""

CONFIRMATION_CHECK_SECONDS = 0.2
"""Interval between two choices of the role towards the store."""

SEND_VIEW_AGE_FRACTION = 0.9
"""Fraction of the time in which a leaving upstream must get no new work, for which
requests are sent without a newer answer of the store. The rest is for the way."""


class Sources:
    """Keeps the blackboard up to date from the platform's store.

    Attributes:
        poll_intervals: Waits and pauses of the feeds, by the number of routers.
        handle_parts: Called with each answer about prompt parts, None for a call that
            failed, and whether it has the whole table.
        evacuations: Evacuated zones.
        cold: Cold replicas.
    """

    def __init__(
        self,
        board: Blackboard,
        control: Control,
        directory: UpstreamDirectory,
        freshness: KeyFreshness,
        metrics: Metrics,
        *,
        address: Address,
        poll_intervals: PollIntervals,
        rng: Random,
    ) -> None:
        self.handle_parts: Callable[[Rows | None, bool], None] = lambda *_: None
        self.poll_intervals = poll_intervals
        self._board = board
        self._control = control
        self._directory = directory
        self._freshness = freshness
        self._metrics = metrics
        self._address = address
        self._rng = rng
        self._is_reachable: dict[str, bool] = {}
        self._positions: dict[str, StorePosition] = {}
        self._era = -1
        self._era_began_at = float("-inf")
        self._era_changed = Wakeup()
        self._is_copy_older = False
        self._role = StoreRole(
            board,
            control,
            freshness,
            metrics,
            upstreams=directory.feed,
            poll_intervals=poll_intervals,
        )
        self.evacuations = ZoneEvacuations(
            board, control, metrics, feed=self._role.configuration
        )
        directory.is_zone_view_outdated = self.evacuations.is_outdated
        self.cold = ColdReplicaWatch(board, control, metrics, upstream_format=replicas)
        self.evacuations.note_return = self.cold.note_zone_return
        feeds_rng = Random(rng.random())
        self._schedules = StoreSchedules(
            self._role,
            freshness,
            read_intervals=lambda: self.poll_intervals,
            rng=rng,
        )
        self._schedules.wants_upstreams = lambda: self.cold.wants_rows
        self._feeds = StoreFeeds(
            self._schedules.build(),
            create_client=self.create_client,
            read_time=freshness.read_time,
            rng=feeds_rng,
        )
        self._update_limits()
        self._feed_states = {
            names.CONFIGURATION_TABLE: self._role.configuration,
            names.UPSTREAM_TABLE: self._role.upstreams,
        }
        self._invalid_rows = InvalidRows()

    def create_client(self) -> StoreClient:
        """Creates a client of the store."""
        return StoreClient(
            self._address,
            timeout=CALL_TIMEOUT_SECONDS,
            observe=self._metrics.count_platform_operation,
            count_call=self._metrics.count_store_call,
        )

    def set_evacuation_bound(self, bound: float | None) -> None:
        """Applies the bound of the settings; a new one needs rows that were skipped."""
        if self.evacuations.bound is None and bound is not None:
            self._feeds.read_again(names.CONFIGURATION_TABLE)
        self.evacuations.set_bound(bound)

    @property
    def open_count(self) -> int:
        """Number of connections to the store that follow its tables."""
        return self._feeds.open_count

    async def follow(self) -> None:
        """Follows the configuration and the upstreams until cancelled.

        Raises:
            RuntimeError: If the feeds ended.
        """
        await self._feeds.run(self.apply_received)

    def apply_received(self) -> None:
        """Applies the answers of the store that have arrived.

        Decisions call this first: they must not rely on older knowledge only because
        the event loop has not come to the task that applies the answers.
        """
        while (result := self._feeds.take()) is not None:
            try:
                self._apply_result(result)
            except Exception:
                _LOG.exception(
                    "answer of the store not applied; reading the whole table",
                    extra={"table": result.table},
                )
                self._metrics.task_failures.labels("feeds").inc()
                self._feeds.read_again(result.table)

    def _apply_result(self, result: FeedResult) -> None:
        table, rows = result.table, result.rows
        self._record_reachability(table, result.error)
        if table == PART_TABLE:
            if rows is not None:
                self._note_era(rows.era, table)
            self.handle_parts(rows, result.is_full_table)
            if rows is not None:
                is_changed = bool(rows.rows) or result.is_full_table
                self._role.confirm_parts(
                    (rows.era, rows.version), is_changed=is_changed
                )
            return
        if rows is None:
            if table == names.UPSTREAM_TABLE:
                self._role.record_failure()
            return
        judged = judge_answer(
            self._positions.get(table),
            rows.position,
            is_full_table=result.is_full_table,
            now=time.monotonic(),
        )
        if judged.is_outdated:
            self._feeds.read_again(table)
            return
        self._note_era(rows.era, table)
        state = self._feed_states[table]
        is_current = True
        if table == names.CONFIGURATION_TABLE:
            self.evacuations.apply_rows(rows, is_full_table=result.is_full_table)
            is_current = self._apply_configuration(rows)
            state.position = StorePosition(rows.era, self._board.configuration.version)
            self._role.report.record_configuration(rows.time_ms, era=rows.era)
        else:
            self._apply_upstreams(
                rows, is_full_table=result.is_full_table, judged=judged
            )
            state.position = rows.position
            self._role.turns.is_failing = False
        self._positions[table] = rows.position
        # The store may hold a call, so its answer can confirm a later time than that of
        # the request.
        clock = self._role.clock_by_table.setdefault(table, StoreClock())
        answered_at = clock.date(result.asked_at, rows.time_ms / 1000, era=rows.era)
        confirmed_at = max(result.asked_at, answered_at - FEED_LAG_SECONDS)
        if table == names.CONFIGURATION_TABLE:
            self.evacuations.record_answer(confirmed_at)
        else:
            self.cold.record_answer(self._freshness.read_time() - confirmed_at)
        if is_current:
            if table == names.CONFIGURATION_TABLE:
                self._freshness.confirm(confirmed_at)
            state.confirm(StorePosition(rows.era, 0), confirmed_at)
        self._role.confirm_to_zone()

    def _note_era(self, era: int, table: str) -> None:
        """Records the era of an answer; at a change, own rows are written again."""
        if era <= self._era:
            return
        if self._era >= 0:
            _LOG.warning("store era changed", extra={"era": era, "table": table})
            self._era_changed.set()
        self._era, self._era_began_at = era, time.monotonic()
        self._metrics.store_era.set(era)

    async def watch_readers(self) -> None:
        """Chooses the role towards the store anew until cancelled."""
        while True:
            self._update_limits()
            await curio.sleep(CONFIRMATION_CHECK_SECONDS)

    def _update_limits(self) -> None:
        self._role.update(self.poll_intervals)
        self._directory.max_age = (
            self.poll_intervals.leaving_bound * SEND_VIEW_AGE_FRACTION
        )

    def _record_reachability(self, table: str, error: Exception | None) -> None:
        was_reachable = self._is_reachable.get(table, True)
        self._is_reachable[table] = error is None
        if error is not None and table == names.UPSTREAM_TABLE:
            self._directory.record_outage()
        if error is not None and table == names.CONFIGURATION_TABLE:
            self.evacuations.record_outage()
        if was_reachable and error is not None:
            _LOG.warning(
                "store unreachable", extra={"table": table, "detail": str(error)}
            )
        elif not was_reachable and error is None:
            _LOG.info("store reachable again", extra={"table": table})

    def _apply_configuration(self, rows: Rows) -> bool:
        """Applies the rows; returns whether they confirm the configuration in force."""
        stored = self._role.stored_configuration
        stored.record(rows.era, 0)
        for row in rows.rows:
            if row.key != names.CONFIGURATION_KEY or row.is_removed:
                continue
            version = self._apply_stored_configuration(row)
            if version is not None:
                stored.record(rows.era, version)
        in_force = self._board.configuration.version
        is_current = stored.is_current(rows.era, in_force)
        if self._is_copy_older == is_current:
            self._is_copy_older = not is_current
            if self._is_copy_older:
                _LOG.warning(
                    "configuration in the store is older than the one in force",
                    extra={"era": rows.era, "version": in_force},
                )
        return is_current and not stored.is_ahead(in_force)

    def _apply_stored_configuration(self, row: Row) -> int | None:
        """Applies what can be used of the store's configuration.

        Returns:
            Its version; None if it cannot be decoded. Then only the keys in force that
            it lists are confirmed by it.
        """
        state = self._board.configuration
        try:
            version, document = self._decode_configuration(row)
            self._control.offer_configuration(version, {"document": document}, "store")
        except Exception as err:
            _LOG.error(
                "invalid configuration rejected",
                extra={"detail": str(err)},
                exc_info=not isinstance(err, SettingsError),
            )
            self._metrics.configurations_refused.inc()
            before = self._freshness if state.unreadable is None else state.unreadable
            state.unreadable = UnreadableDocument(
                ListedTexts(row.value),
                read_at=self._freshness.read_time(),
                confirmed_at=before.confirmed_at,
            )
            return None
        state.unreadable = None
        return version

    def _decode_configuration(self, row: Row) -> tuple[int, dict[str, Any]]:
        try:
            return decode_configuration(row.value)
        except SettingsError as err:
            decoded = decode_configuration_entries(row.value)
            _LOG.error(
                "invalid entries of the configuration not used",
                extra={"version": decoded[0], "detail": str(err)},
            )
            return decoded

    def _apply_upstreams(
        self, rows: Rows, *, is_full_table: bool, judged: EraAnswer
    ) -> None:
        now = time.monotonic()
        if judged.is_first_read:
            self._directory.begin_era(rows.version)
        before = self._describe_upstreams()
        removed: list[ReplicaId] = []
        era = rows.era
        if is_full_table:
            keys = {row.key for row in rows.rows}
            removed = self._directory.keep_only(keys, now)
            self._invalid_rows.keep_only(names.UPSTREAM_TABLE, keys)
        for row in rows.rows:
            if row.is_removed:
                self._invalid_rows.discard(row)
            names_replica = not row.is_removed and self._apply_upstream(row, now, era)
            if not names_replica and self._directory.remove(row.key, now):
                removed.append(row.key)
        for replica_id in removed:
            extra = {"upstream": replica_id, "view_age_ms": self._find_view_age_ms()}
            _LOG.info("upstream removed", extra=extra)
        self._directory.record_answer()
        self._role.report.record_upstreams(
            rows.time_ms, rows.position, is_changed=before != self._describe_upstreams()
        )

    def _describe_upstreams(self) -> dict[ReplicaId, tuple[object, ...]]:
        """Returns what requests depend on; a heartbeat of a replica changes nothing."""
        missing = self._directory.missing
        return {
            replica.replica_id: (
                replica.address,
                replica.service,
                replica.is_leaving,
                replica.incarnation,
                replica.replica_id in missing,
                replica.cold is not None and replica.cold.is_row_cold,
            )
            for replica in self._board.upstreams.replicas.values()
        }

    def _apply_upstream(self, row: Row, now: float, era: int) -> bool:
        """Applies a row; returns whether it names a replica.

        An unforeseen error costs this row only: the others of the table hold.
        """
        try:
            entry = decode_replica(row.key, row.value)
            self._put_upstream(entry, now, StorePosition(era, row.version))
        except SettingsError as err:
            if self._invalid_rows.add(row):
                _LOG.warning(
                    "invalid replica entry not used",
                    extra={"upstream": row.key, "detail": str(err)},
                )
            return False
        except Exception:
            if self._invalid_rows.add(row):
                _LOG.exception("replica entry not applied", extra={"upstream": row.key})
            self._metrics.task_failures.labels("feeds").inc()
            return False
        self._invalid_rows.discard(row)
        return True

    def _put_upstream(
        self, entry: ReplicaEntry, now: float, position: StorePosition
    ) -> None:
        if self._directory.is_superseded(
            entry.replica_id, entry.born_ms, position.version, now
        ):
            return
        listed = ListedUpstream(
            entry.replica_id,
            entry.service,
            entry.zone,
            entry.address,
            entry.is_leaving,
        )
        load = LoadReport(entry.born_ms, entry.slots, 0, 0, 0.0, entry.is_leaving)
        known = self._board.upstreams.replicas
        was_known = entry.replica_id in known
        is_newly_leaving = self._directory.put(listed, load, now)
        self.cold.apply_row(
            known[entry.replica_id],
            entry.warm_up_seconds,
            position,
            was_known=was_known,
        )
        if is_newly_leaving:
            self._control.announce_leaving(
                [self._board.upstreams.replicas[entry.replica_id]],
                view_age_ms=self._find_view_age_ms(),
            )

    def _find_view_age_ms(self) -> int | None:
        """Returns the age of the copy of the table before the answer being applied."""
        age = self._directory.feed.find_age(self._freshness.read_time())
        return round(age * 1000) if math.isfinite(age) else None

    async def follow_routers(self) -> None:
        """Publishes this router's address and reads the others' until cancelled."""
        client = self.create_client()
        written_at, written_era = float("-inf"), -1
        first_written_at = float("inf")
        failures = 0
        try:
            while True:
                now = time.monotonic()
                try:
                    rows = await client.read_table(ROUTER_TABLE)
                    self._apply_routers(rows)
                    self.cold.record_routers(now - first_written_at)
                    is_due = now - written_at >= ROUTER_RENEW_INTERVAL_SECONDS
                    # A row that was written in an earlier era may be lost.
                    if is_due or rows.era > written_era:
                        await client.write_row(
                            ROUTER_TABLE,
                            self._board.identity.router_id,
                            self._build_own_row(rows),
                        )
                        written_at, written_era = now, client.era
                        first_written_at = min(first_written_at, time.monotonic())
                    failures = 0
                    delay = self._schedules.find_router_refresh()
                except SequoiamoorError as err:
                    failures += 1
                    _LOG.debug("reading or writing router addresses failed: %s", err)
                    delay = self._schedules.draw_router_retry(failures)
                if not self._control.membership.members or self.cold.wants_routers:
                    delay = min(delay, NO_PEER_REFRESH_INTERVAL_SECONDS)
                era = self._era
                await wait_for(delay, self._era_changed.wait)
                if self._era != era:
                    await curio.sleep(self._rng.uniform(0.0, ERA_JITTER_SECONDS))
        finally:
            await client.close()

    async def remove_own_address(self) -> None:
        """Removes this router's address; if that fails, the entry expires by age."""
        client = self.create_client()
        try:
            await client.remove_row(ROUTER_TABLE, self._board.identity.router_id)
        except SequoiamoorError as err:
            _LOG.info(
                "own address not removed from the store", extra={"detail": str(err)}
            )
        finally:
            await client.close()

    def _build_own_row(self, rows: Rows) -> bytes:
        address = self._control.membership.own_address
        assert address is not None
        return json.dumps(
            {
                "address": str(address),
                "zone": self._board.identity.zone,
                "written_ms": rows.time_ms,
                "era": rows.era,
            }
        ).encode()

    def _apply_routers(self, rows: Rows) -> None:
        self._note_era(rows.era, ROUTER_TABLE)
        addresses = []
        lifetime_ms = (
            ROUTER_LIFETIME_SECONDS * 1000
            if self._role.is_large_fleet
            else ROUTER_LIFETIME_MS
        )
        self._invalid_rows.keep_only(ROUTER_TABLE, {row.key for row in rows.rows})
        for row in rows.rows:
            try:
                entry = decode_router(row.key, row.value)
            except SettingsError as err:
                if self._invalid_rows.add(row):
                    _LOG.warning(
                        "invalid router address ignored",
                        extra={"peer": row.key, "detail": str(err)},
                    )
                continue
            self._invalid_rows.discard(row)
            if self._find_router_age_ms(entry, rows) < lifetime_ms:
                addresses.append((row.key, entry.address))
        self._control.membership.apply_router_addresses(addresses)

    def _find_router_age_ms(self, entry: RouterEntry, rows: Rows) -> float:
        """Returns the age of the row of a router.

        A row of another era was dated by a clock that may have started again since. Its
        age counts from the time at which this router learned of the present era.
        """
        if entry.era in (None, rows.era):
            return rows.time_ms - entry.written_ms
        return (time.monotonic() - self._era_began_at) * 1000
