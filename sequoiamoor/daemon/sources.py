"""Feeds of the platform's store: configuration, upstreams, other routers."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable
from random import Random

import curio

from ..core.blackboard import Blackboard
from ..core.cadence import JITTER, UPSTREAM_WAIT_SECONDS, Cadence
from ..core.directory import Directory
from ..core.freshness import FEED_LAG_SECONDS, KeyFreshness, StoreClock
from ..core.retries import draw_backoff
from ..core.upstreams import ListedUpstream, LoadReport
from ..errors import (
    HistoryLostError,
    PlatformUnavailableError,
    ProtocolError,
    SequoiamoorError,
    SettingsError,
)
from ..metrics import Metrics
from ..platform import names
from ..platform.documents import decode_configuration, decode_replica
from ..platform.store import Row, Rows, StoreClient
from ..types import Address
from .control import Control

_LOG = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 0.8
"""Time for one call beyond its wait; the store answers in milliseconds when it is well,
and in a few hundred when it is slow. An answer that is lost is noticed after wait and
timeout together, which must be below the time in which a replica that leaves, or a
configuration, has to take effect."""

NO_PEER_REFRESH_SECONDS = 1.0
"""Time between two reads of the routers' addresses while none is known."""

FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.5

RETRY_SECONDS = CALL_TIMEOUT_SECONDS + FIRST_RETRY_SECONDS
"""Time from the end of its wait in which a call without an answer is made again."""

ROUTER_TABLE = "routers"
ROUTER_RENEW_SECONDS = 20.0
"""Time after which a router writes its address again."""

ROUTER_LIFETIME_MS = 70_000
"""Age on the clock of the store from which the address of a router is not used."""

TakeRows = Callable[[Rows, bool], None]


class Sources:
    """Keeps the blackboard current from the platform's store."""

    def __init__(
        self,
        board: Blackboard,
        control: Control,
        directory: Directory,
        freshness: KeyFreshness,
        metrics: Metrics,
        *,
        address: Address,
        cadence: Cadence,
        rng: Random,
    ) -> None:
        self.cadence = cadence
        self._board = board
        self._control = control
        self._directory = directory
        self._freshness = freshness
        self._metrics = metrics
        self._address = address
        self._rng = rng
        self._is_reachable: dict[str, bool] = {}
        self._followers: dict[str, StoreClient] = {}
        self._warned: dict[str, bytes] = {}

    def _connect(self) -> StoreClient:
        return StoreClient(
            self._address,
            timeout=CALL_TIMEOUT_SECONDS,
            observe=self._metrics.observe_platform,
        )

    async def follow_configuration(self) -> None:
        """Follows the configuration until cancelled."""
        await self._follow(
            names.CONFIGURATION_TABLE,
            find_wait=self._find_configuration_wait,
            find_pause=lambda: 0.0,
            take=self._take_configuration,
        )

    async def follow_upstreams(self) -> None:
        """Follows the entries of the replicas until cancelled."""
        await self._follow(
            names.UPSTREAM_TABLE,
            find_wait=lambda: UPSTREAM_WAIT_SECONDS,
            find_pause=self._find_upstream_pause,
            take=self._take_upstreams,
        )

    def _count_routers(self) -> int:
        return len(self._board.members) + 1

    def _find_configuration_wait(self) -> float:
        return self.cadence.find_configuration_wait(self._count_routers())

    def _find_upstream_pause(self) -> float:
        return self._spread(self.cadence.find_upstream_pause(self._count_routers()))

    async def _follow(
        self,
        table: str,
        *,
        find_wait: Callable[[], float],
        find_pause: Callable[[], float],
        take: TakeRows,
    ) -> None:
        client = self._followers[table] = self._connect()
        clock = StoreClock()
        version: int | None = None
        failures = 0
        try:
            while True:
                asked_at = self._freshness.read_time()
                try:
                    if version is None:
                        rows = await client.read_table(table)
                    else:
                        rows = await client.follow_table(
                            table, after=version, wait=find_wait()
                        )
                except HistoryLostError as err:
                    _LOG.info(
                        "history lost", extra={"table": table, "detail": str(err)}
                    )
                    version = None
                    continue
                except (PlatformUnavailableError, ProtocolError) as err:
                    failures += 1
                    self._note_reachable(table, err)
                    await curio.sleep(self._draw_delay(failures))
                    continue
                failures = 0
                self._note_reachable(table, None)
                take(rows, version is None)
                version = rows.version
                if table == names.CONFIGURATION_TABLE:
                    made_at = clock.date(asked_at, rows.time_ms / 1000)
                    self._freshness.confirm(max(asked_at, made_at - FEED_LAG_SECONDS))
                if (pause := find_pause()) > 0:
                    await curio.sleep(pause)
        finally:
            await client.close()

    def _draw_delay(self, failures: int) -> float:
        return draw_backoff(
            failures,
            base=FIRST_RETRY_SECONDS,
            limit=LONGEST_RETRY_SECONDS,
            rng=self._rng,
        )

    def _note_reachable(self, table: str, error: Exception | None) -> None:
        was_reachable = self._is_reachable.get(table, True)
        self._is_reachable[table] = error is None
        if error is not None and table == names.UPSTREAM_TABLE:
            self._directory.note_outage()
        if was_reachable and error is not None:
            _LOG.warning("store lost", extra={"table": table, "detail": str(error)})
        elif not was_reachable and error is None:
            _LOG.info("store regained", extra={"table": table})
            self._abort_lost()

    def _abort_lost(self) -> None:
        """Lets the feeds that have not regained the store call it again at once.

        A call that was sent into a partition would wait for its timeout.
        """
        for table, client in self._followers.items():
            if not self._is_reachable.get(table, True):
                client.abort()

    def _take_configuration(self, rows: Rows, is_whole: bool) -> None:
        for row in rows.rows:
            if row.key != names.CONFIGURATION_KEY or row.is_removed:
                continue
            try:
                version, document = decode_configuration(row.value)
            except SettingsError as err:
                _LOG.error("configuration is invalid", extra={"detail": str(err)})
                self._metrics.configurations_refused.inc()
                continue
            self._control.offer_configuration(version, {"document": document}, "store")

    def _take_upstreams(self, rows: Rows, is_whole: bool) -> None:
        now = time.monotonic()
        if is_whole:
            self._directory.keep_only({row.key for row in rows.rows}, now)
        for row in rows.rows:
            if row.is_removed:
                self._directory.remove(row.key, now)
            else:
                self._take_upstream(row, now)
        self._directory.note_answer()

    def _take_upstream(self, row: Row, now: float) -> None:
        try:
            entry = decode_replica(row.key, row.value)
        except SettingsError as err:
            if self._warned.get(row.key) != row.value:
                self._warned[row.key] = row.value
                _LOG.warning(
                    "entry cannot be read",
                    extra={"upstream": row.key, "detail": str(err)},
                )
            return
        listed = ListedUpstream(
            entry.replica_id,
            entry.service,
            entry.zone,
            entry.address,
            entry.is_leaving,
        )
        load = LoadReport(entry.born_ms, entry.slots, 0, 0, 0.0, entry.is_leaving)
        if self._directory.put(listed, load, now):
            self._control.announce_leaving(
                [self._board.upstreams.replicas[entry.replica_id]]
            )

    async def follow_routers(self) -> None:
        """Writes the own address and reads those of the others until cancelled."""
        client = self._connect()
        written_at = float("-inf")
        failures = 0
        try:
            while True:
                now = time.monotonic()
                try:
                    rows = await client.read_table(ROUTER_TABLE)
                    self._take_routers(rows)
                    if now - written_at >= ROUTER_RENEW_SECONDS:
                        await client.write_row(
                            ROUTER_TABLE,
                            self._board.identity.router_id,
                            self._build_own_row(rows.time_ms),
                        )
                        written_at = now
                    failures = 0
                    delay = self._find_router_refresh()
                except SequoiamoorError as err:
                    failures += 1
                    _LOG.debug("addresses of routers: %s", err)
                    delay = self._draw_delay(failures)
                if not self._control.membership.members:
                    delay = min(delay, NO_PEER_REFRESH_SECONDS)
                await curio.sleep(delay)
        finally:
            await client.close()

    def _find_router_refresh(self) -> float:
        return self._spread(self.cadence.find_router_refresh(self._count_routers()))

    def _spread(self, mean: float) -> float:
        return mean * self._rng.uniform(1 - JITTER, 1 + JITTER)

    async def remove_own_row(self) -> None:
        """Removes the own address; without an answer it lapses by its age."""
        client = self._connect()
        try:
            await client.remove_row(ROUTER_TABLE, self._board.identity.router_id)
        except SequoiamoorError as err:
            _LOG.info("own address not removed", extra={"detail": str(err)})
        finally:
            await client.close()

    def _build_own_row(self, time_ms: float) -> bytes:
        address = self._control.membership.own_address
        assert address is not None
        return json.dumps(
            {
                "address": str(address),
                "zone": self._board.identity.zone,
                "written_ms": time_ms,
            }
        ).encode()

    def _take_routers(self, rows: Rows) -> None:
        found = []
        for row in rows.rows:
            try:
                document = json.loads(row.value)
                host, _, port = document["address"].rpartition(":")
                address = Address(host, int(port))
                age_ms = rows.time_ms - float(document["written_ms"])
            except (ValueError, KeyError, TypeError, AttributeError) as err:
                _LOG.warning(
                    "address of a router cannot be read",
                    extra={"peer": row.key, "detail": repr(err)},
                )
                continue
            if age_ms < ROUTER_LIFETIME_MS:
                found.append((row.key, address))
        self._control.membership.take_list(found)
