"""Cost and age of served counters: reported to everyone, and along the tree.

Ledgers, sums, filters, the byte budget and the codec of the control side run in one
process without sockets. Heartbeats and demand, which still go to everyone, are not in
the figures of the tree.
"""

from __future__ import annotations

import gc
import time
from collections import deque
from collections.abc import Iterable
from typing import Annotated

import typer

from sequoiamoor.core.ledger import Ledger
from sequoiamoor.core.messages import CounterRow, Message, Report, Sum
from sequoiamoor.core.placement import find_tree_position
from sequoiamoor.core.reports import ByteBudget, ReportFilter, SumFilter
from sequoiamoor.core.sums import ReportSums
from sequoiamoor.net.decoder import Decoder
from sequoiamoor.net.encoder import Encoder
from sequoiamoor.options import Options
from sequoiamoor.types import RouterIdentity

ZONES = 9
INTERVAL_SECONDS = 0.2
UNITS_PER_INTERVAL = 10
SERVICES = 4
OPTIONS = Options.model_validate({})


class Connection:
    """Filters and codec of one direction between two routers."""

    def __init__(self) -> None:
        self.reports, self.sums = ReportFilter(), SumFilter()
        self.encoder, self.decoder = Encoder(), Decoder()

    def encode(self, message: Message, now: float, limit: int) -> bytes:
        """Returns what is sent; nothing for a sum that did not change."""
        if isinstance(message, Report):
            rows = self.reports.select(message.counters, now, limit=limit)
            message = Report(message.sequence, 1, False, rows)
        elif isinstance(message, Sum):
            changed = self.sums.select(message, limit=limit)
            if changed is None:
                return b""
            message = changed
        return b"".join(self.encoder.encode(message))


class CounterRouter:
    """One router's counters."""

    def __init__(self, number: int) -> None:
        zone = f"zone-{number % ZONES}"
        self.identity = RouterIdentity(f"router-{number:03}", 1, zone)
        self.ledger = Ledger(self.identity)
        self.sums = ReportSums(self.identity, self.ledger)
        self.budget = ByteBudget(OPTIONS)
        self.links: dict[RouterIdentity, Connection] = {}
        self.bytes = self.messages = 0
        self.cpu_seconds = 0.0


class Counters:
    """A fleet in which every router serves every organisation all the time."""

    def __init__(self, routers: int, organisations: int, *, is_tree: bool) -> None:
        self.routers = [CounterRouter(number) for number in range(routers)]
        self._by_identity = {one.identity: one for one in self.routers}
        self._live = set(self._by_identity)
        self._is_tree = is_tree
        # Without the tree all routers do the same; only what the first one sends and
        # receives is carried out.
        self.observed = self.routers if is_tree else self.routers[:1]
        self._places = {
            one: find_tree_position(one, self._live, fan_out=OPTIONS.fan_out)
            for one in (self._live if is_tree else ())
        }
        self._keys = [
            (f"model-{number % SERVICES}", f"organisation-{number // SERVICES:03}")
            for number in range(organisations * SERVICES)
        ]
        self.rounds = 0

    def run_interval(self) -> None:
        """Lets every router serve and report once."""
        self.rounds += 1
        for router in self.routers:
            for key in self._keys:
                router.ledger.charge(*key, UNITS_PER_INTERVAL)
            began = time.process_time()
            sent = list(self._build(router))
            self._send(router, sent, began)

    def _build(self, router: CounterRouter) -> Iterable[tuple[RouterIdentity, Message]]:
        rows = tuple(
            CounterRow(*key, int(router.ledger.served(*key)), 0, 1, 1, None)
            for key in self._keys
        )
        report = Report(self.rounds, 1, False, rows)
        if not self._is_tree:
            peers = self._live - {router.identity}
            is_first = router is self.routers[0]
            for to in peers if is_first else [self.routers[0].identity]:
                yield to, report
            return
        place = self._places[router.identity]
        router.sums.update(place, self._live)
        for to in place.counter_targets():
            yield to, report
        for to in place.neighbours():
            for one in router.sums.build(place, to, self.rounds):
                yield to, one

    def _send(
        self,
        router: CounterRouter,
        sent: list[tuple[RouterIdentity, Message]],
        began: float,
    ) -> None:
        now = 100.0 + self.rounds * INTERVAL_SECONDS
        router.budget.fill(now)
        share = len(sent) if self._is_tree else len(self.routers) - 1
        limit = router.budget.find_row_limit(share)
        parts: deque[tuple[RouterIdentity, Connection, bytes]] = deque()
        for to, message in sent:
            link = router.links.setdefault(to, Connection())
            data = link.encode(message, now, limit)
            if data:
                parts.append((to, link, data))
        size = sum(len(data) for _, _, data in parts)
        if not self._is_tree and router is not self.routers[0]:
            # The other connections of this router carry as much.
            size *= share
        router.budget.spend(size)
        router.cpu_seconds += time.process_time() - began
        for to, link, data in parts:
            peer = self._by_identity[to]
            began = time.process_time()
            for message in link.decoder.feed(data):
                if isinstance(message, Report):
                    peer.ledger.merge(router.identity, message.counters)
                elif isinstance(message, Sum):
                    peer.sums.take(router.identity, message)
            peer.cpu_seconds += time.process_time() - began
            for one in (router, peer):
                one.bytes += len(data)
                one.messages += 1

    def find_ages(self) -> list[float]:
        """Returns the age of the totals in seconds, for each observed router."""
        true = self.rounds * UNITS_PER_INTERVAL * len(self.routers)
        per_second = UNITS_PER_INTERVAL * len(self.routers) / INTERVAL_SECONDS
        return [
            max((true - one.ledger.total(*key)) / per_second for key in self._keys)
            for one in self.observed
        ]


def measure(
    routers: int, organisations: int, seconds: float, *, is_tree: bool
) -> dict[str, float]:
    """Returns the figures of one router per second, mean and largest."""
    fleet = Counters(routers, organisations, is_tree=is_tree)
    count = round(seconds / INTERVAL_SECONDS)
    for _ in range(count):
        fleet.run_interval()
    # A collection would be charged to whichever router it interrupts.
    gc.collect()
    gc.disable()
    for one in fleet.routers:
        one.bytes = one.messages = 0
        one.cpu_seconds = 0.0
    for _ in range(count):
        fleet.run_interval()
    gc.enable()
    observed = fleet.observed
    return {
        "bytes/s": sum(one.bytes for one in observed) / len(observed) / seconds,
        "most bytes/s": max(one.bytes for one in observed) / seconds,
        "messages/s": sum(one.messages for one in observed) / len(observed) / seconds,
        "cpu %": 100
        * sum(one.cpu_seconds for one in observed)
        / len(observed)
        / seconds,
        "most cpu %": 100 * max(one.cpu_seconds for one in observed) / seconds,
        "age s": max(fleet.find_ages()),
    }


def main(
    routers: Annotated[list[int] | None, typer.Option(help="Sizes of fleets.")] = None,
    organisations: Annotated[int, typer.Option(help="Backlogged ones.")] = 21,
    seconds: Annotated[float, typer.Option(help="Warm-up, and measured after.")] = 10.0,
    flat: Annotated[bool, typer.Option(help="Also without the tree.")] = True,
) -> None:
    """Prints the cost of the counters of one router and the age of its totals."""
    for size in routers or [8, 32, 64, 128, 350]:
        for is_tree in (False, True) if flat else (True,):
            row = measure(size, organisations, seconds, is_tree=is_tree)
            cells = "  ".join(f"{name} {value:,.2f}" for name, value in row.items())
            print(f"{size:>4} {'tree' if is_tree else 'flat'}  {cells}", flush=True)


if __name__ == "__main__":
    typer.run(main)
