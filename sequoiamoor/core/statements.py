"""What replicas say in their answers about the requests that they want."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

from ..types import Address, ReplicaId

MAX_HOLD_SECONDS = 300.0
"""Longest time that a replica may ask for; a longer one is taken for a mistake."""

DEFAULT_HOLD_SECONDS = 2.0
"""Time without requests if the replica asks for one that cannot be used."""

RETURN_SPREAD_FRACTION = 0.25
"""Largest part of a hold by which a router returns later, drawn at random, so that the
waiting requests of all routers do not arrive together."""

MAX_RETURN_SPREAD_SECONDS = 1.0
"""Upper bound of that delay."""

PROBE_LIMIT_SECONDS = 1.0
"""Time after which another request may try a replica whose first one since the hold has
not been answered."""

CLOCK_MARGIN_MS = 500
"""Largest difference between the clocks of two VMs. Leaving holds for the rest of a
process's life, so it counts for a new process only from this time after its start. What
is said on a connection counts from this time before it, once an earlier connection was
refused, or while this one is still open."""

MAX_REMEMBERED_PROCESSES = 4_096
"""Processes whose statements are remembered, also while they are not listed."""

UNKNOWN_RETURN_SECONDS = 1.0
"""Retry-After while all replicas of a service are leaving: in about this time a new one
registers, or the caller may meet a router that knows one."""

RETRY_SPREAD_FRACTION = 0.5
"""Largest part by which Retry-After is lengthened at random, so that the callers of
refused requests do not return together."""

MIN_RETRY_SPREAD_SECONDS = 0.2
"""Lower bound of the time over which they return."""


@dataclass(frozen=True, slots=True)
class Statement:
    """What one answer says about the requests that its replica wants.

    Attributes:
        is_leaving: Whether the replica leaves and wants no new requests.
        hold: Seconds for which it wants no requests from this router; None if it asks
            for no such time.
        unusable_hold: Text of a time that cannot be used, in place of which ``hold`` is
            ``DEFAULT_HOLD_SECONDS``; None if there is none.
    """

    is_leaving: bool = False
    hold: float | None = None
    unusable_hold: str | None = None


def build_statement(
    *, is_leaving: bool, hold: float | None, hold_text: str
) -> Statement:
    """Returns a statement whose hold is within its bounds.

    Args:
        is_leaving: Whether the replica leaves.
        hold: Seconds that the replica asks for, or NaN if they cannot be read.
        hold_text: How the replica wrote them, for the log.
    """
    if hold is None or 0.0 <= hold <= MAX_HOLD_SECONDS:
        return Statement(is_leaving, hold)
    return Statement(is_leaving, DEFAULT_HOLD_SECONDS, hold_text)


def draw_retry_after(return_time: float, now: float, spread: float) -> float:
    """Returns after how many seconds a request that no replica takes may come back.

    Args:
        return_time: Monotonic time in seconds from which a replica takes requests
            again; infinity if all are leaving.
        now: Monotonic time in seconds.
        spread: Random number from 0 to 1.
    """
    seconds = (
        return_time - now if math.isfinite(return_time) else UNKNOWN_RETURN_SECONDS
    )
    return seconds + spread * max(
        seconds * RETRY_SPREAD_FRACTION, MIN_RETRY_SPREAD_SECONDS
    )


@dataclass(frozen=True, slots=True)
class ReplicaProcess:
    """One process of a replica.

    Attributes:
        incarnation: Number of the process; 0 if unknown.
        address: Its address if the incarnation is unknown, else None.
    """

    replica_id: ReplicaId
    incarnation: int
    address: Address | None


@dataclass(frozen=True, slots=True)
class StatementChange:
    """What a statement changed.

    Attributes:
        is_leaving: Whether the process was not known to be leaving before.
        is_held: Whether a hold began; False if one was only extended.
        is_unlisted_leaving: Whether a process that is not listed now was not known to
            be leaving before.
    """

    is_leaving: bool = False
    is_held: bool = False
    is_unlisted_leaving: bool = False


@dataclass(slots=True)
class ProcessState:
    """What one process has stated; nothing else makes it available again.

    Attributes:
        is_leaving: Whether it leaves, for the rest of its life.
        held_until: Monotonic time in seconds until which it gets no requests.
        is_returning: Whether it has answered no request sent after the hold.
        left_ms: Unix time in milliseconds at which the last request was sent that was
            answered with the statement that the process leaves.
        held_ms: The same of the last hold.
        left_at: Monotonic time in seconds of the request of ``left_ms``.
        held_at: The same of ``held_ms``.
        probe_id: Request that tries it after the hold, if one is in progress.
        probe_until: Monotonic time in seconds until which only that one may try it.
        address: Address at which it was heard from or refused a connection; None if
            unknown.
        refused_at: Monotonic time in seconds at which the address last refused a
            connection; the process has ended then.
        successor: What was said on connections opened after that.
    """

    is_leaving: bool = False
    held_until: float = -math.inf
    is_returning: bool = False
    left_ms: float = -math.inf
    held_ms: float = -math.inf
    left_at: float = -math.inf
    held_at: float = -math.inf
    probe_id: str | None = None
    probe_until: float = -math.inf
    address: Address | None = None
    refused_at: float = -math.inf
    successor: ProcessState | None = None

    def may_receive(self, now: float) -> bool:
        """Returns whether a request may be sent to the process."""
        return not self.is_leaving and now >= self.held_until

    def may_start(self, now: float) -> bool:
        """Returns whether another request may be chosen for the process."""
        is_probed = (
            self.is_returning and self.probe_id is not None and now < self.probe_until
        )
        return self.may_receive(now) and not is_probed

    def find_hold(self, now: float) -> float:
        """Returns the seconds that are left of a hold, 0.0 without one."""
        return max(self.held_until - now, 0.0)

    def note(
        self,
        statement: Statement,
        now: float,
        spread: float,
        *,
        sent_at: float = -math.inf,
        sent_ms: float = -math.inf,
        address: Address | None = None,
        opened_at: float = -math.inf,
    ) -> StatementChange:
        """Applies a statement; of two holds, the one that ends later counts.

        Args:
            statement: What the answer says.
            now: Monotonic time in seconds at which its head was read.
            spread: Random number from 0 to 1 that delays the return of this router.
            sent_at: Monotonic time in seconds at which the request was sent.
            sent_ms: The same as Unix time in milliseconds.
            address: Address that answered it, if known.
            opened_at: Monotonic time in seconds from which its connection was opened.
        """
        if address not in (None, self.address):
            self.address, self.refused_at, self.successor = address, -math.inf, None
        if -math.inf < self.refused_at < opened_at:
            self.successor = self.successor or ProcessState()
            self.successor.note(
                statement, now, spread, sent_at=sent_at, sent_ms=sent_ms
            )
        if statement.is_leaving:
            self.left_ms = max(self.left_ms, sent_ms)
            self.left_at = max(self.left_at, sent_at)
        if statement.hold:
            self.held_ms = max(self.held_ms, sent_ms)
            self.held_at = max(self.held_at, sent_at)
        is_newly_leaving = statement.is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or statement.is_leaving
        if not statement.hold:
            return StatementChange(is_leaving=is_newly_leaving)
        was_held = now < self.held_until
        delay = spread * min(
            statement.hold * RETURN_SPREAD_FRACTION, MAX_RETURN_SPREAD_SECONDS
        )
        self.held_until = max(self.held_until, now + statement.hold + delay)
        self.is_returning = True
        self.probe_id = None
        return StatementChange(is_leaving=is_newly_leaving, is_held=not was_held)

    def record_refused(self, address: Address, now: float) -> None:
        """Records that an address refused a connection, since the process has ended.

        Args:
            address: Address of the process.
            now: Monotonic time in seconds.
        """
        self.address, self.refused_at, self.successor = address, now, None

    def record_start(self, request_id: str, now: float) -> None:
        """Records that a request was chosen for the process."""
        if self.is_returning and now >= self.held_until:
            self.probe_id = request_id
            self.probe_until = now + PROBE_LIMIT_SECONDS

    def record_end(self, request_id: str) -> None:
        """Records that the attempt of a request ended."""
        if self.probe_id == request_id:
            self.probe_id = None

    def record_answer(self, sent_at: float) -> None:
        """Records that the process took a request sent at that monotonic time."""
        if sent_at >= self.held_until:
            self.is_returning = False
            self.probe_id = None

    def merge(self, other: ProcessState) -> None:
        """Adds what was stated under another name of the same process."""
        self.is_leaving = self.is_leaving or other.is_leaving
        self.held_until = max(self.held_until, other.held_until)
        self.is_returning = self.is_returning or other.is_returning
        self.left_ms = max(self.left_ms, other.left_ms)
        self.held_ms = max(self.held_ms, other.held_ms)
        self.left_at = max(self.left_at, other.left_at)
        self.held_at = max(self.held_at, other.held_at)

    def select_since(
        self, born_ms: float, address: Address, open_since: Collection[float] = ()
    ) -> ProcessState:
        """Returns what a process has stated that started later than was known.

        A request that was sent after that start was answered by that process. So was
        one that was sent after the opening of a connection that is still open: the
        process at its other end has not ended since. So was one on a connection that
        was opened after the address had refused another one, unless the process that
        answered it has ended unnoticed before that start.

        Args:
            born_ms: Unix time of the start in milliseconds.
            address: Address of the process that started.
            open_since: Monotonic times in seconds from which the connections to the
                address were opened that are still open.
        """
        if self.address not in (None, address):
            return ProcessState()
        since = born_ms - CLOCK_MARGIN_MS

        def is_by_open_peer(sent_at: float, sent_ms: float) -> bool:
            # A connection of the time before the start leads to another process, whose
            # end has not become known here.
            return any(
                opened_at <= sent_at and sent_ms - (sent_at - opened_at) * 1000 >= since
                for opened_at in open_since
            )

        selected = self._select(
            left_since=(
                since
                if is_by_open_peer(self.left_at, self.left_ms)
                else born_ms + CLOCK_MARGIN_MS
            ),
            held_since=(
                since if is_by_open_peer(self.held_at, self.held_ms) else born_ms
            ),
        )
        if self.successor is not None:
            selected.merge(self.successor._select(left_since=since, held_since=since))
        return selected

    def _select(self, *, left_since: float, held_since: float) -> ProcessState:
        """Returns what was stated in answer to requests sent since two Unix times."""
        selected = ProcessState()
        if self.left_ms >= left_since:
            selected.is_leaving = True
            selected.left_ms, selected.left_at = self.left_ms, self.left_at
        if self.held_ms >= held_since:
            selected.held_until, selected.held_ms = self.held_until, self.held_ms
            selected.held_at, selected.is_returning = self.held_at, self.is_returning
        return selected

    @property
    def is_blank(self) -> bool:
        """Whether there is nothing to remember."""
        return (
            not self.is_leaving
            and not self.is_returning
            and self.refused_at == -math.inf
        )


class ReplicaStatements:
    """The states of processes that made a statement, also of those not listed now."""

    def __init__(self) -> None:
        self._states: OrderedDict[ReplicaProcess, ProcessState] = OrderedDict()

    def find(self, process: ReplicaProcess) -> ProcessState:
        """Returns the state of a process; a new one if it has stated nothing."""
        return self._states.get(process) or ProcessState()

    def find_before(self, replica_id: ReplicaId, incarnation: int) -> ProcessState:
        """Returns the state of the last process of a replica before an incarnation."""
        earlier = [
            process
            for process in self._states
            if process.replica_id == replica_id
            and 0 < process.incarnation < incarnation
        ]
        if not earlier:
            return ProcessState()
        return self._states[max(earlier, key=lambda process: process.incarnation)]

    def keep(self, process: ReplicaProcess, state: ProcessState) -> None:
        """Remembers the state of a process; the one kept longest ago yields."""
        self._states[process] = state
        self._states.move_to_end(process)
        while len(self._states) > MAX_REMEMBERED_PROCESSES:
            self._states.popitem(last=False)
