"""Feeds of tables of the platform's store, on an event loop of their own.

The router's event loop is late while it has more requests than it can handle. A feed on
the same loop would wait for all of them at each turn, so that the router would go on
with an outdated configuration and with upstreams that left.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

import curio

from ..core.retries import draw_backoff
from ..core.store_position import StorePosition
from ..errors import HistoryLostError, PlatformUnavailableError, ProtocolError
from ..net.wakeup import Wakeup
from ..platform.store import Rows, StoreClient

_LOG = logging.getLogger(__name__)

RETRY_BASE_DELAY_SECONDS = 0.1
RETRY_MAX_DELAY_SECONDS = 0.5

PAUSE_CHECK_SECONDS = 0.2
"""Interval between two checks whether a pause has to end early."""

RETRY_CHECK_SECONDS = 0.1
"""Interval between two checks whether a failed call may be repeated."""

STARVED_SECONDS = 0.1
"""Delay of the timeout of a call from which this process, not the store, was late."""

MAX_STARVED_CALLS = 2
"""Calls in a row that fail for this reason before they count as an outage."""

FULL_READ_PAUSE_SECONDS = 1.0
"""Pause before a whole table is read again because its last read was not applied."""

STOP_TIMEOUT_SECONDS = 1.0
"""Longest time for which a stop waits for the thread."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """How closely a table is followed; called on the thread of the feeds.

    Attributes:
        find_wait: Returns for how many seconds the store may hold a call.
        find_pause: Returns the seconds between an answer and the next call.
        find_early_end: Returns after how many more seconds a pause ends early, given
            the position of the last answer; None if it does not. A pause at whose start
            there is a reason to end it is not ended early.
        must_wait: Returns whether a failed call must not be repeated yet, given the
            failures in a row, the monotonic time of the last one in seconds, and
            whether another table was read since.
    """

    find_wait: Callable[[], float]
    find_pause: Callable[[], float]
    find_early_end: Callable[[StorePosition], float | None] = lambda position: None
    must_wait: Callable[[int, float, bool], bool] = lambda *_: False


@dataclass(frozen=True, slots=True)
class FeedResult:
    """An answer of the store, or a call that failed.

    Attributes:
        table: Name of the table.
        asked_at: Time at which the call was made.
        rows: Rows of the answer; None if the call failed.
        is_full_table: Whether the answer has all rows of the table.
        error: Why the call failed.
    """

    table: str
    asked_at: float
    rows: Rows | None = None
    is_full_table: bool = False
    error: Exception | None = None


def draw_retry_delay(failures: int, rng: Random) -> float:
    """Returns the seconds to wait after a number of failed calls in a row."""
    return draw_backoff(
        failures,
        base=RETRY_BASE_DELAY_SECONDS,
        limit=RETRY_MAX_DELAY_SECONDS,
        rng=rng,
    )


class StoreFeeds:
    """Follows tables on a thread and queues the results for the router's loop.

    The two sides share the queue and the sets of tables below, whose single operations
    are atomic; the clients are used by the thread, and only aborted from outside.

    Args:
        schedules: How closely each table is followed, by its name.
        create_client: Creates the client of one feed.
        read_time: Clock of ``FeedResult.asked_at``, in seconds.
        rng: Source of random delays, used only by the thread.
    """

    def __init__(
        self,
        schedules: Mapping[str, Schedule],
        *,
        create_client: Callable[[], StoreClient],
        read_time: Callable[[], float],
        rng: Random,
    ) -> None:
        self._schedules = schedules
        self._create_client = create_client
        self._read_time = read_time
        self._rng = rng
        self._results: deque[FeedResult] = deque()
        self._clients: dict[str, StoreClient] = {}
        self._waits: dict[str, float] = {}
        self._failed_tables: set[str] = set()
        self._outdated_tables: set[str] = set()
        self._is_ended = False
        self._recovered_at = float("-inf")

    # Called on the router's event loop.

    async def run(self, handle_results: Callable[[], None]) -> None:
        """Follows the tables until cancelled.

        Args:
            handle_results: Called when results may be there to be taken.

        Raises:
            RuntimeError: If the thread ended.
        """
        wakeup, stop = Wakeup(), Wakeup()
        self._results.clear()
        self._is_ended = False
        thread = threading.Thread(
            target=self._run_thread, args=(wakeup, stop), name="feeds", daemon=True
        )
        thread.start()
        try:
            while not self._is_ended:
                await wakeup.wait()
                handle_results()
            raise RuntimeError("the thread of the feeds ended")
        finally:
            stop.set()
            thread.join(STOP_TIMEOUT_SECONDS)
            if not thread.is_alive():
                await wakeup.close()

    def take(self) -> FeedResult | None:
        """Returns the oldest result that was not taken, or None if there is none."""
        return self._results.popleft() if self._results else None

    @property
    def open_count(self) -> int:
        """Number of connections to the store."""
        return sum(client.is_connected for client in list(self._clients.values()))

    def read_again(self, table: str) -> None:
        """Makes the next call of a table read the whole table."""
        self._outdated_tables.add(table)

    # Called on the thread.

    def _run_thread(self, wakeup: Wakeup, stop: Wakeup) -> None:
        try:
            curio.run(self._follow_all, wakeup, stop)
        except Exception:
            _LOG.exception("the thread of the feeds failed")
        finally:
            self._is_ended = True
            wakeup.set()

    async def _follow_all(self, wakeup: Wakeup, stop: Wakeup) -> None:
        try:
            async with curio.TaskGroup(wait=any) as tasks:
                await tasks.spawn(stop.wait)
                for table in self._schedules:
                    await tasks.spawn(self._follow, table, wakeup)
            if tasks.completed is not None and tasks.completed.exception is not None:
                raise tasks.completed.exception
        finally:
            await stop.close()

    def _deliver(self, result: FeedResult, wakeup: Wakeup) -> None:
        self._results.append(result)
        wakeup.set()

    async def _follow(self, table: str, wakeup: Wakeup) -> None:
        schedule = self._schedules[table]
        client = self._clients[table] = self._create_client()
        position: StorePosition | None = None
        newest_era = 0
        failures = starved_calls = 0
        fully_read_at = float("-inf")
        try:
            while True:
                if table in self._outdated_tables:
                    self._outdated_tables.discard(table)
                    pause_ends_at = fully_read_at + FULL_READ_PAUSE_SECONDS
                    await curio.sleep(max(pause_ends_at - time.monotonic(), 0.0))
                    position = None
                asked_at, called_at = self._read_time(), time.monotonic()
                self._waits[table] = 0.0
                try:
                    if position is None:
                        rows = await client.read_table(table)
                        fully_read_at = time.monotonic()
                    else:
                        wait = self._waits[table] = schedule.find_wait()
                        rows = await client.follow_table(
                            table, after=position.version, wait=wait
                        )
                        if rows.era != position.era:
                            # Its changes are those after a version of another history.
                            position = None
                            self.read_again(table)
                            continue
                    if rows.era < newest_era:
                        raise PlatformUnavailableError(
                            f"the store answered with era {rows.era}; its era was "
                            f"{newest_era} before"
                        )
                    newest_era = rows.era
                except HistoryLostError as err:
                    _LOG.info(
                        "store history lost; reading the whole table",
                        extra={"table": table, "detail": str(err)},
                    )
                    position = None
                    # A store that loses its history again and again is not read in a
                    # loop.
                    pause_ends_at = fully_read_at + FULL_READ_PAUSE_SECONDS
                    await curio.sleep(max(pause_ends_at - time.monotonic(), 0.0))
                    continue
                except (PlatformUnavailableError, ProtocolError) as err:
                    ends_at = called_at + client.timeout + self._waits[table]
                    late_seconds = time.monotonic() - ends_at
                    if (
                        late_seconds > STARVED_SECONDS
                        and starved_calls < MAX_STARVED_CALLS
                    ):
                        # The answer may have arrived. As an outage, the failure would
                        # let requests rely on the outdated table.
                        starved_calls += 1
                        late_ms = round(late_seconds * 1000)
                        _LOG.warning(
                            "call to the store ended late; repeating it",
                            extra={"table": table, "elapsed_ms": late_ms},
                        )
                        continue
                    failures += 1
                    await self._fail(table, asked_at, err, failures, wakeup)
                    continue
                except Exception as err:
                    _LOG.exception(
                        "call to the store ended by an unexpected exception",
                        extra={"table": table},
                    )
                    failures += 1
                    await self._fail(table, asked_at, err, failures, wakeup)
                    continue
                failures = starved_calls = 0
                if table in self._failed_tables:
                    self._failed_tables.discard(table)
                    self._recovered_at = time.monotonic()
                    self._abort_failed()
                result = FeedResult(
                    table, asked_at, rows, is_full_table=position is None
                )
                position = rows.position
                self._deliver(result, wakeup)
                await self._pause(schedule, position)
        finally:
            await client.close()

    async def _fail(
        self,
        table: str,
        asked_at: float,
        error: Exception,
        failures: int,
        wakeup: Wakeup,
    ) -> None:
        self._failed_tables.add(table)
        self._deliver(FeedResult(table, asked_at, error=error), wakeup)
        failed_at = time.monotonic()
        await curio.sleep(draw_retry_delay(failures, self._rng))
        while self._schedules[table].must_wait(
            failures, failed_at, self._recovered_at > failed_at
        ):
            await curio.sleep(RETRY_CHECK_SECONDS)

    async def _pause(self, schedule: Schedule, position: StorePosition) -> None:
        pause_seconds = schedule.find_pause()
        if schedule.find_early_end(position) is not None:
            await curio.sleep(pause_seconds)
            return
        ends_at = time.monotonic() + pause_seconds
        while (remaining := ends_at - time.monotonic()) > 0:
            await curio.sleep(min(remaining, PAUSE_CHECK_SECONDS))
            if (seconds_left := schedule.find_early_end(position)) is not None:
                await curio.sleep(seconds_left)
                # Meanwhile a reader may have confirmed the table.
                if schedule.find_early_end(position) is not None:
                    return

    def _abort_failed(self) -> None:
        """Makes the feeds whose last call failed call the store again at once.

        A call that was sent during a network partition would wait for its timeout.
        """
        for table in self._failed_tables:
            self._clients[table].abort()
