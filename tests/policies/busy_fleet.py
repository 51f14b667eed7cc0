"""A large fleet in memory whose replicas run few requests at once, and queue others."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

from sequoiamoor.core.overload import Overload
from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.errors import RefusalError

from .flooded_fleet import FLOOD_START, ROUTE, TARGET_SECONDS, Fleet, Load, Router, Size

LARGE = Size(
    70,
    45,
    12,
    read_rate=150_000.0,
    report_seconds=0.9,
    is_staggered=True,
    token_rate=2_000_000,
    end=11,
)
MIN_QUEUED_REQUESTS = 8
SHARED_TOKENS, SHARED_PARTS = 4_000, 3


class BusyFleet(Fleet):
    """Routers that refuse requests in time, before replicas with a queue.

    Attributes:
        answered: Requests whose first event came, by organisation and second.
        late: Those whose first event came after their target.
        refused: Requests that no router started, by organisation and second.
        shared_fraction: Fraction of the requests with a prompt part that others share.
    """

    def __init__(
        self,
        loads: dict[str, Load],
        size: Size,
        *,
        seed: int,
        shared_fraction: float = 0.3,
    ) -> None:
        super().__init__(loads, size)
        self.answered: Counter[tuple[str, int]] = Counter()
        self.late: Counter[tuple[str, int]] = Counter()
        self.refused: Counter[tuple[str, int]] = Counter()
        self.shared_fraction = shared_fraction
        self._rng = Random(seed)
        self._active = [0] * size.replicas
        self._queues: list[deque[tuple[Router, RoutedCall]]] = [
            deque() for _ in range(size.replicas)
        ]
        self._overloads = {
            router.identity: Overload(router.board.options, MIN_QUEUED_REQUESTS)
            for router in self.routers
        }

    def _arrive(self, name: str, load: Load, index: int, now: float) -> None:
        numbers = load.routers or range(self.size.routers)
        router = self.routers[numbers[index % len(numbers)]]
        call_id, limit = f"c-{next(self._numbers)}", now + TARGET_SECONDS
        own = PromptPart(call_id, int(load.prompt * self._rng.uniform(0.3, 1.7)))
        parts: tuple[PromptPart, ...] = (own,)
        if self._rng.random() < self.shared_fraction:
            subject = f"{name}-{self._rng.randrange(SHARED_PARTS)}"
            parts = (PromptPart(subject, SHARED_TOKENS), own)
        call = RoutedCall(
            call_id, "q", name, "r", "talk", now, limit, limit, b"",
            route=ROUTE, ends_at=now + 9.0, parts=parts, output_tokens=load.output,
        )  # fmt: skip
        self.asked[name, int(now)] += call.prompt_tokens
        rate = load.early_rate if now < FLOOD_START else load.rate
        self._at(
            now + self._rng.expovariate(rate),
            lambda at: self._arrive(name, load, index + 1, at),
        )
        self._receive(router, call, now)

    def _receive(self, router: Router, call: RoutedCall, now: float) -> None:
        self._accept(router, call, now)

    def _accept(self, router: Router, call: RoutedCall, now: float) -> None:
        overload, queues = self._overloads[router.identity], router.board.queues
        call.wait_limit_at = now + (router.policy.find_wait_limit(call) or 0.0)
        waiting = queues.count("talk", call.organisation)
        try:
            overload.check_arrival(call, waiting, now)
        except RefusalError:
            self._refuse(router, call, now)
            return
        queues.add(call)
        overload.record_waiting(call, waiting + 1, now)

        def expire(at: float) -> None:
            if queues.remove(call.call_id) is not None:
                self._refuse(router, call, at)
                still_waiting = queues.count("talk", call.organisation)
                overload.record_waiting(call, still_waiting, at)

        self._at(call.wait_limit_at, expire)

    def _refuse(self, router: Router, call: RoutedCall, now: float) -> None:
        self.refused[call.organisation, int(now)] += 1

    def _start(
        self, router: Router, call: RoutedCall, replica_id: str, now: float
    ) -> None:
        waiting = router.board.queues.count("talk", call.organisation)
        self._overloads[router.identity].record_start(call, waiting, now)
        self._send(router, call, replica_id, now)

    def _send(
        self, router: Router, call: RoutedCall, replica_id: str, now: float
    ) -> None:
        self._count_begun(call, now)
        index = int(replica_id)
        if self._active[index] < self.size.slots:
            self._run(router, call, index, now)
        else:
            self._queues[index].append((router, call))

    def _run(self, router: Router, call: RoutedCall, index: int, now: float) -> None:
        self._active[index] += 1
        read_at = max(self._read_until[index], now)
        read_at += call.own_tokens / self.size.read_rate
        self._read_until[index] = read_at
        begin = self._build_first_event(router, call, str(index))

        def answer(at: float) -> None:
            self.answered[call.organisation, int(at)] += 1
            if at - call.arrival > TARGET_SECONDS:
                self.late[call.organisation, int(at)] += 1
            begin(at)
            end = at + self.loads[call.organisation].seconds
            self._at(end, lambda ended: self._free(index, ended))

        self._at(read_at, answer)

    def _free(self, index: int, now: float) -> None:
        self._active[index] -= 1
        if self._queues[index]:
            router, call = self._queues[index].popleft()
            self._run(router, call, index, now)

    def compute_distance(self, name: str) -> float:
        """Returns the tokens begun for an organisation, over half of those due to it.

        Below 1.0 it got too little of the window that begins a second after the flood.
        """
        seconds = range(FLOOD_START + 1, self.size.end)
        begun = {n: sum(self.begun[n, at] for at in seconds) for n in self.loads}
        asked = sum(self.asked[name, at] for at in seconds)
        return begun[name] / (min(asked, max(begun.values())) / 2)
