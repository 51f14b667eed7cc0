"""A busy fleet in memory whose routers have a processor of limited capacity."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from sequoiamoor.core.handoffs import HandoffLimit, HandoffTargets
from sequoiamoor.core.loop_use import LoopUse
from sequoiamoor.core.routed_call import RoutedCall

from .busy_fleet import BusyFleet
from .flooded_fleet import DISPATCH_SECONDS, Load, Router, Size

ZONES = 2
LARGE_ROUTERS_PER_ZONE = 2
SMALL_CORES, LARGE_CORES = 0.516, 2.15

ACCEPT_SECONDS = 0.00005
READ_SECONDS = 0.0003
REFUSE_SECONDS = 0.0001
START_SECONDS = 0.0019
EVENT_SECONDS = 0.000054
CONTROL_SECONDS = 0.0006
COPY_EVENT_SECONDS = 0.000042
"""Processor time, in seconds of one core: to accept a connection, to read a request, to
refuse it, to choose a start, send it and end it, to relay an event, for control between
two dispatches, and to copy the bytes of an event unread."""

EVENTS, EVENT_GROUPS = 12, 3
TIME_LIMIT_SECONDS = 2.5

TWO_ZONES = Size(
    24,
    40,
    12,
    read_rate=150_000.0,
    report_seconds=0.9,
    is_staggered=True,
    token_rate=6_000_000,
    end=11,
)


@dataclass(slots=True)
class Processor:
    """Processor of one router, which does its work in the order of arrival.

    Attributes:
        use: Part of the time for which it has work, as its event loop measures it.
    """

    cores: float
    free_at: float = 0.0
    used: float = 0.0
    use: LoopUse = field(default_factory=LoopUse)

    def spend(self, seconds: float, now: float) -> float:
        """Returns the time at which work is done that takes a core ``seconds``."""
        self.use.note_wait(min(self.free_at, now), now)
        self.free_at = max(self.free_at, now) + seconds / self.cores
        self.used += seconds
        return self.free_at


class LimitedFleet(BusyFleet):
    """Routers of two zones, two large ones in each, whose work takes processor time.

    A caller leaves without an answer after ``TIME_LIMIT_SECONDS``. A run that has begun
    goes on to its end.

    Attributes:
        left: Requests whose callers left before their run began, by organisation and
            second.
        handed_off: Connections that were handed to another router, by entry router.
        used: Processor time by router and second, in seconds of one core.
    """

    def __init__(
        self,
        loads: dict[str, Load],
        size: Size,
        *,
        seed: int,
        limit: HandoffLimit | None = None,
        cores: float | None = None,
    ) -> None:
        super().__init__(loads, size, seed=seed)
        self.left: Counter[tuple[str, int]] = Counter()
        self.handed_off: Counter[int] = Counter()
        self.used: Counter[tuple[int, int]] = Counter()
        self._limit = limit
        self._processors = [
            Processor(cores or self._find_cores(number))
            for number in range(size.routers)
        ]
        self._targets = [HandoffTargets(self._rng) for _ in range(size.routers)]
        self._numbers_by_identity = {
            router.identity: number for number, router in enumerate(self.routers)
        }
        self._leave_at: dict[str, float] = {}
        self._entries: dict[str, int] = {}

    def find_zone(self, number: int) -> int:
        return number * ZONES // self.size.routers

    def _find_cores(self, number: int) -> float:
        first = self.find_zone(number) * self.size.routers // ZONES
        is_large = number - first < LARGE_ROUTERS_PER_ZONE
        return LARGE_CORES if is_large else SMALL_CORES

    def _spend(
        self, number: int, seconds: float, now: float, work: Callable[[float], None]
    ) -> None:
        self.used[number, int(now)] += seconds
        self._at(self._processors[number].spend(seconds, now), work)

    def _receive(self, router: Router, call: RoutedCall, now: float) -> None:
        entry = self._numbers_by_identity[router.identity]
        self._leave_at[call.call_id] = now + TIME_LIMIT_SECONDS
        self._entries[call.call_id] = entry
        self._spend(entry, ACCEPT_SECONDS, now, lambda at: self._route(entry, call, at))

    def _route(self, entry: int, call: RoutedCall, now: float) -> None:
        chosen = self._choose_router(entry, now)
        number, seconds = entry, READ_SECONDS
        if chosen is not None:
            self.handed_off[entry] += 1
            number, seconds = chosen, ACCEPT_SECONDS + READ_SECONDS
        self._spend(number, seconds, now, lambda at: self._read(number, call, at))

    def _choose_router(self, entry: int, now: float) -> int | None:
        """Returns the router that takes a connection over; None if it is kept."""
        limit, use = self._limit, self._processors[entry].use.fraction
        if limit is None or self._rng.random() >= limit.find_probability(use):
            return None
        zone = self.find_zone(entry)
        names = {
            router.identity.router_id: number
            for number, router in enumerate(self.routers)
            if number != entry and self.find_zone(number) == zone
        }
        for name in self._targets[entry].choose(names, now):
            if limit.may_take_over(self._processors[names[name]].use.fraction):
                return names[name]
            self._targets[entry].record_refused(name, now)
        return None

    def _read(self, number: int, call: RoutedCall, now: float) -> None:
        if not self._note_if_left(call, now):
            late = now - call.arrival
            call.arrival += late
            call.deadline += late
            call.ends_at += late
            self._accept(self.routers[number], call, now)

    def _note_if_left(self, call: RoutedCall, now: float) -> bool:
        if now < self._leave_at[call.call_id]:
            return False
        self.left[call.organisation, int(now)] += 1
        return True

    def _refuse(self, router: Router, call: RoutedCall, now: float) -> None:
        super()._refuse(router, call, now)
        number = self._numbers_by_identity[router.identity]
        self._spend(number, REFUSE_SECONDS, now, lambda _: None)

    def _send(
        self, router: Router, call: RoutedCall, replica_id: str, now: float
    ) -> None:
        send = super()._send

        def send_unless_left(at: float) -> None:
            if self._note_if_left(call, at):
                router.board.upstreams.replicas[replica_id].in_use -= 1
                router.policy.finish(router.board, call, replica_id, at)
            else:
                send(router, call, replica_id, at)

        number = self._numbers_by_identity[router.identity]
        self._spend(number, START_SECONDS, now, send_unless_left)

    def _build_first_event(
        self, router: Router, call: RoutedCall, replica_id: str
    ) -> Callable[[float], None]:
        begin = super()._build_first_event(router, call, replica_id)
        number = self._numbers_by_identity[router.identity]
        seconds = self.loads[call.organisation].seconds

        def relay(now: float) -> None:
            self._relay(number, call, now, begin)
            for group in range(1, EVENT_GROUPS):
                self._at(
                    now + seconds * group / EVENT_GROUPS,
                    lambda at: self._relay(number, call, at, lambda _: None),
                )

        return relay

    def _relay(
        self, number: int, call: RoutedCall, now: float, work: Callable[[float], None]
    ) -> None:
        events = EVENTS / EVENT_GROUPS
        self._spend(number, events * EVENT_SECONDS, now, work)
        entry = self._entries[call.call_id]
        if entry != number:
            self._spend(entry, events * COPY_EVENT_SECONDS, now, lambda _: None)

    def _dispatch_all(self, now: float) -> None:
        for number in range(self.size.routers):
            self._begin_dispatch(number, now)

    def _begin_dispatch(self, number: int, now: float) -> None:
        def dispatch(at: float) -> None:
            router = self.routers[number]
            self._dispatch(router, at)
            if router.board.is_report_due:
                self._report(router, at)
            again = at + DISPATCH_SECONDS
            self._at(again, lambda then: self._begin_dispatch(number, then))

        self._spend(number, CONTROL_SECONDS, now, dispatch)

    def compute_use(self, number: int, seconds: range) -> float:
        """Returns the fraction of its processor that a router got work for."""
        used = sum(self.used[number, at] for at in seconds)
        return used / (self._processors[number].cores * len(seconds))
