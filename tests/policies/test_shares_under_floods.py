"""Tests of the shares that organisations get from a fleet while some flood it."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count
from random import Random

import pytest

from sequoiamoor.core.blackboard import create_blackboard
from sequoiamoor.core.messages import Report
from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.core.routes import Route
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.options import Options
from sequoiamoor.policies.shared_load import SharedLoadPolicy
from sequoiamoor.types import Address, RouteKind, RouterIdentity

ROUTERS, REPLICAS, SLOTS = 5, 4, 64
TARGET_SECONDS = 0.4
READ_TOKENS_PER_SECOND = 50_000.0
DISPATCH_SECONDS, REPORT_SECONDS = 0.02, 0.1
FLOOD_START, END, WINDOW_SECONDS = 6, 18, 6
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
    "limits": {"tokens_per_second": 100_000},
}  # fmt: skip


@dataclass(frozen=True)
class Load:
    """Requests per second of an organisation before and in the flood, and their size.

    They arrive at the routers in turn; ``seconds`` is the duration of a stream.
    """

    early_rate: float = 2.0
    rate: float = 4.0
    prompt: int = 3_000
    output: int = 100
    seconds: float = 1.0
    routers: tuple[int, ...] = tuple(range(ROUTERS))


class Router:
    """A policy, its board and the replicas as this router knows them."""

    def __init__(self, number: int) -> None:
        self.identity = RouterIdentity(f"router-{number}", 1, "zone")
        options = Options(slot_cap_factor=1_000.0, slot_floor_factor=0.0)
        self.board = create_blackboard(self.identity, options)
        self.board.configuration.declaration = parse_declaration(DECLARATION)
        self.policy = SharedLoadPolicy(rng=Random(number))
        for index in range(REPLICAS):
            address = Address("10.0.0.1", 1 + index)
            replica = Replica(str(index), "talk", "zone", address)
            replica.load = LoadReport(1, SLOTS, 0, 0, 0.0, False)
            self.board.upstreams.replicas[replica.replica_id] = replica


class Fleet:
    """Routers before replicas that read prompts one after the other.

    ``begun`` and ``asked`` count prompt tokens by organisation and second.
    """

    def __init__(self, loads: dict[str, Load]) -> None:
        self.loads = loads
        self.routers = [Router(number) for number in range(ROUTERS)]
        for router in self.routers:
            router.board.members.update(
                {other.identity.router_id: other.identity for other in self.routers}
            )
            del router.board.members[router.identity.router_id]
        self.begun: Counter[tuple[str, int]] = Counter()
        self.asked: Counter[tuple[str, int]] = Counter()
        self._read_until = [0.0] * REPLICAS
        self._numbers = count(1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def play(self) -> None:
        for name, load in self.loads.items():
            self._at(0.0, lambda now, n=name, own=load: self._arrive(n, own, 0, now))
        self._at(0.0, self._step_all)
        self._at(0.0, self._dispatch_all)
        while self._events[0][0] < END:
            now, _, work = heapq.heappop(self._events)
            work(now)

    def _at(self, when: float, work: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), work))

    def _arrive(self, name: str, load: Load, index: int, now: float) -> None:
        router = self.routers[load.routers[index % len(load.routers)]]
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
            board.upstreams.replicas[start.replica_id].in_use += 1
            self.begun[call.organisation, int(now)] += call.prompt_tokens
            index = int(start.replica_id)
            read_at = max(self._read_until[index], now)
            read_at += call.prompt_tokens / READ_TOKENS_PER_SECOND
            self._read_until[index] = read_at
            self._at(read_at, self._build_first_event(router, call, start.replica_id))

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

    def _step_all(self, now: float) -> None:
        for router in self.routers:
            router.policy.step(router.board, now)
            self._report(router, now)
        self._at(now + REPORT_SECONDS, self._step_all)

    def _report(self, router: Router, now: float) -> None:
        counters = router.policy.build_counters(router.board, now)
        slots = router.policy.build_slots(router.board, now)
        report = Report(next(self._numbers), 1, False, counters, slots)
        for peer in self.routers:
            if peer is not router:
                peer.policy.apply_report(peer.board, router.identity, report, now)

    def find_unfair_windows(self) -> list[str]:
        """Returns the windows in which an organisation got less than its half."""
        unfair = []
        for first in range(FLOOD_START, END - WINDOW_SECONDS + 1):
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


LONG = Load(rate=40.0, output=400, seconds=6.0)
SHORT = Load(rate=60.0, prompt=2_000, seconds=0.1)
EARLY = Load(early_rate=60.0, rate=60.0)
EARLY_LONG = Load(early_rate=50.0, rate=60.0, output=400, seconds=4.0)
UNEVEN = Load(early_rate=15.0, rate=40.0, routers=(1, 2))
FLOOD = Load(early_rate=10.0, rate=250.0, output=300, seconds=4.0)
AT_ONE_LATE = replace(FLOOD, early_rate=4.0, rate=60.0, routers=(0,))
AT_ONE = Load(early_rate=30.0, rate=60.0, output=300, seconds=4.0, routers=(0,))


@pytest.mark.parametrize(
    "loads",
    [
        pytest.param(
            {"early": EARLY, **make_loads(6, Load(rate=20.0))}, id="lead on idle slots"
        ),
        pytest.param(
            {"long": LONG, **make_loads(2, SHORT)}, id="few long and many short"
        ),
        pytest.param(
            {"uneven": AT_ONE, **make_loads(5, Load(rate=21.0, seconds=0.3))},
            id="uneven landing",
        ),
        pytest.param(
            {"early": EARLY_LONG, "uneven": UNEVEN, **make_loads(4, Load(rate=15.0))},
            id="lead, long streams and uneven landing",
        ),
        pytest.param(
            {
                "flood": FLOOD,
                "one": AT_ONE_LATE,
                **make_loads(12, Load(rate=3.0, prompt=2_000)),
            },
            id="floods at one router and at all, beside little work of many",
        ),
    ],
)
def test_flooding_organisations_get_half_of_the_best_served_one(
    loads: dict[str, Load],
) -> None:
    """Guards against an organisation that starts nothing for seconds while others do.

    Neither what it used before other work waited, nor the length of its streams, nor
    the routers at which its requests arrive may hold it back.
    """
    fleet = Fleet({**loads, **make_loads(6, Load())})
    fleet.play()
    assert fleet.find_unfair_windows() == []
