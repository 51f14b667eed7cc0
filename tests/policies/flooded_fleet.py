"""A fleet in memory whose organisations flood it, before replicas that read prompts."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random

from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.messages import CounterRow, Report
from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.core.routes import Route
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.options import Options
from sequoiamoor.policies.shared_load import SharedLoadPolicy
from sequoiamoor.types import Address, RouteKind, RouterIdentity

TARGET_SECONDS = 0.4
DISPATCH_SECONDS = 0.02
FLOOD_START, WINDOW_SECONDS = 6, 6
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, True, True, 9.0, TARGET_SECONDS, 0.25, 2,
    (("talk", 1.0),),
)  # fmt: skip
DECLARATION = {
    "organisations": {},
    "classes": {},
    "services": {"talk": {"kind": "engine"}},
    "routes": {
        "r": {"host": "h", "prefix": "/", "kind": "stream", "timeout_ms": 9_000,
              "target_ms": TARGET_SECONDS * 1_000, "services": [("talk", 1.0)]},
    },
}  # fmt: skip


@dataclass(frozen=True)
class Size:
    """Routers and replicas of a fleet.

    Attributes:
        slots: Slots of a replica.
        read_rate: Prompt tokens that a replica reads per second.
        report_seconds: Time between two reports of a router.
        is_staggered: Whether the routers report one after the other in that time.
        token_rate: Declared tokens per second of the service.
        end: End of the play, in seconds.
    """

    routers: int = 5
    replicas: int = 4
    slots: int = 64
    read_rate: float = 50_000.0
    report_seconds: float = 0.1
    is_staggered: bool = False
    token_rate: int = 100_000
    end: int = 18


SMALL = Size()


@dataclass(frozen=True)
class Load:
    """Requests per second of an organisation before and in the flood, and their size.

    They arrive at the routers in turn, at all of them if none is named; ``seconds`` is
    the duration of a stream.
    """

    early_rate: float = 2.0
    rate: float = 4.0
    prompt: int = 3_000
    output: int = 100
    seconds: float = 1.0
    routers: tuple[int, ...] = ()


class Router:
    """A policy, its board and the replicas as this router knows them."""

    def __init__(self, number: int, size: Size) -> None:
        self.identity = RouterIdentity(f"router-{number}", 1, "zone")
        options = Options(
            slot_cap_factor=1_000.0,
            slot_floor_factor=0.0,
            queue_limit_per_organisation=1_000,
        )
        self.board = create_blackboard(self.identity, options)
        self.board.configuration.declaration = parse_declaration(
            DECLARATION | {"limits": {"tokens_per_second": size.token_rate}}
        )
        self.policy = SharedLoadPolicy(rng=Random(number))
        for index in range(size.replicas):
            address = Address("10.0.0.1", 1 + index)
            replica = Replica(str(index), "talk", "zone", address)
            replica.load = LoadReport(1, size.slots, 0, 0, 0.0, False)
            self.board.upstreams.replicas[replica.replica_id] = replica


class Fleet:
    """Routers before replicas that read prompts one after the other.

    ``begun`` and ``asked`` count prompt tokens by organisation and second.
    """

    def __init__(self, loads: dict[str, Load], size: Size) -> None:
        self.loads = loads
        self.size = size
        self.routers = [Router(number, size) for number in range(size.routers)]
        for router in self.routers:
            router.board.members.update(
                {other.identity.router_id: other.identity for other in self.routers}
            )
            del router.board.members[router.identity.router_id]
        self.begun: Counter[tuple[str, int]] = Counter()
        self.asked: Counter[tuple[str, int]] = Counter()
        self._read_until = [0.0] * size.replicas
        self._numbers = count(1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def play(self) -> None:
        for name, load in self.loads.items():
            self._at(0.0, lambda now, n=name, own=load: self._arrive(n, own, 0, now))
        for number, router in enumerate(self.routers):
            first = 0.0
            if self.size.is_staggered:
                first = self.size.report_seconds * number / len(self.routers)
            self._at(first, lambda now, own=router: self._step(own, now))
        self._at(0.0, self._dispatch_all)
        while self._events[0][0] < self.size.end:
            now, _, work = heapq.heappop(self._events)
            work(now)

    def _at(self, when: float, work: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), work))

    def _arrive(self, name: str, load: Load, index: int, now: float) -> None:
        numbers = load.routers or range(self.size.routers)
        router = self.routers[numbers[index % len(numbers)]]
        call_id, limit = f"c-{next(self._numbers)}", now + TARGET_SECONDS
        parts = (PromptPart(call_id, load.prompt),)
        call = RoutedCall(
            call_id, "q", name, "r", "talk", now, limit, limit, b"",
            route=ROUTE, ends_at=now + 9.0, parts=parts, output_tokens=load.output,
        )  # fmt: skip
        self.asked[name, int(now)] += load.prompt
        router.board.queues.add(call)
        self._at(limit, lambda _: router.board.queues.remove(call_id) and None)
        rate = load.early_rate if now < FLOOD_START else load.rate
        self._at(now + 1 / rate, lambda at: self._arrive(name, load, index + 1, at))

    def _dispatch_all(self, now: float) -> None:
        for router in self.routers:
            self._dispatch(router, now)
            if router.board.is_report_due:
                self._report(router, now)
        self._at(now + DISPATCH_SECONDS, self._dispatch_all)

    def _dispatch(self, router: Router, now: float) -> None:
        board, policy = router.board, router.policy
        while start := policy.choose_start(board, "talk", now):
            call = board.queues.remove(start.call_id)
            assert isinstance(call, RoutedCall)
            call.started_at = now
            board.upstreams.replicas[start.replica_id].in_use += 1
            self._start(router, call, start.replica_id, now)

    def _count_begun(self, call: RoutedCall, now: float) -> None:
        self.begun[call.organisation, int(now)] += call.prompt_tokens

    def _start(
        self, router: Router, call: RoutedCall, replica_id: str, now: float
    ) -> None:
        self._count_begun(call, now)
        index = int(replica_id)
        read_at = max(self._read_until[index], now)
        read_at += call.prompt_tokens / self.size.read_rate
        self._read_until[index] = read_at
        self._at(read_at, self._build_first_event(router, call, replica_id))

    def _build_first_event(
        self, router: Router, call: RoutedCall, replica_id: str
    ) -> Callable[[float], None]:
        def begin(now: float) -> None:
            units = call.prepay(2.0)
            router.board.ledger.charge("talk", call.organisation, units)
            call.charged += units
            call.events, call.first_event_at = 1, now
            router.policy.record_first_event(router.board, call, now)
            self._at(now + self.loads[call.organisation].seconds, end)

        def end(now: float) -> None:
            call.last_event_at = now
            router.board.upstreams.replicas[replica_id].in_use -= 1
            router.policy.finish(router.board, call, replica_id, now)

        return begin

    def _step(self, router: Router, now: float) -> None:
        router.policy.step(router.board, now)
        self._report(router, now)
        self._at(now + self.size.report_seconds, lambda at: self._step(router, at))

    def _report(self, router: Router, now: float) -> None:
        counters = self._build_counters(router, now)
        slots = router.policy.build_slots(router.board, now)
        report = Report(next(self._numbers), 1, False, counters, slots)
        for peer in self.routers:
            if peer is not router:
                peer.policy.apply_report(peer.board, router.identity, report, now)

    def _build_counters(self, router: Router, now: float) -> tuple[CounterRow, ...]:
        return router.policy.build_counters(router.board, now)

    def find_unfair_windows(self) -> list[str]:
        """Returns the windows in which an organisation got less than its half."""
        unfair = []
        for first in range(FLOOD_START, self.size.end - WINDOW_SECONDS + 1):
            seconds = range(first, first + WINDOW_SECONDS)
            begun = {n: sum(self.begun[n, at] for at in seconds) for n in self.loads}
            for name, tokens in begun.items():
                asked = sum(self.asked[name, at] for at in seconds)
                due = min(asked, max(begun.values())) / 2 - 3 * self.loads[name].prompt
                if tokens < due:
                    unfair.append(f"{first} s: {name} began {tokens}, due are {due}")
        return unfair


def make_loads(number: int, load: Load) -> dict[str, Load]:
    return {f"{load.rate}-{index}": load for index in range(number)}
