"""Cost and age of served counters, sent to all routers or along the tree.

Ledgers, sums, filters, the byte budget and the codec of the control connections run
in one process without sockets. The figures of the tree leave out heartbeats and
demand, which still go to all routers.
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
from sequoiamoor.core.placement import find_place
from sequoiamoor.core.reports import ByteBudget, ReportFilter, SumFilter
from sequoiamoor.core.sums import ReportSums
from sequoiamoor.net.decoder import Decoder
from sequoiamoor.net.encoder import Encoder
from sequoiamoor.options import Options
from sequoiamoor.types import RouterIdentity

ZONES = 9
REPORT_INTERVAL_SECONDS = 0.2
UNITS_PER_INTERVAL = 10
SERVICES = 4
OPTIONS = Options.model_validate({})


class Connection:
    """Filters and codec of one direction of a connection between two routers."""

    def __init__(self) -> None:
        self.reports, self.sums = ReportFilter(), SumFilter()
        self.encoder, self.decoder = Encoder(), Decoder()

    def encode(self, message: Message, now: float, limit: int) -> bytes:
        """Returns the encoded message; empty for a sum that did not change.

        Args:
            message: The message, with all rows.
            now: Time in seconds.
            limit: Most rows that the message may carry.
        """
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
    """The counters of one router, and the cost of reporting them.

    Attributes:
        identity: The router.
        ledger: Its own counters and those of its peers.
        sums: Sums that it reports along the tree.
        budget: Byte budget of its messages.
        connections: Outgoing connections by peer.
        bytes: Bytes sent and received.
        messages: Messages sent and received.
        cpu_seconds: CPU time of building, sending and receiving messages.
    """

    def __init__(self, number: int) -> None:
        zone = f"zone-{number % ZONES}"
        self.identity = RouterIdentity(f"router-{number:03}", 1, zone)
        self.ledger = Ledger(self.identity)
        self.sums = ReportSums(self.identity, self.ledger)
        self.budget = ByteBudget(OPTIONS)
        self.connections: dict[RouterIdentity, Connection] = {}
        self.bytes = self.messages = 0
        self.cpu_seconds = 0.0


class CounterFleet:
    """A fleet in which every router serves every organisation all the time.

    Attributes:
        routers: All routers.
        observed: Routers whose figures are complete.
        rounds: Report intervals that have been run.
    """

    def __init__(self, routers: int, organisations: int, *, is_tree: bool) -> None:
        self.routers = [CounterRouter(number) for number in range(routers)]
        self._by_identity = {router.identity: router for router in self.routers}
        self._live = set(self._by_identity)
        self._is_tree = is_tree
        # Without the tree all routers do the same work, so only the messages that the
        # first one sends or receives are processed.
        self.observed = self.routers if is_tree else self.routers[:1]
        self._places = {
            identity: find_place(identity, self._live, fan_out=OPTIONS.fan_out)
            for identity in (self._live if is_tree else ())
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
            outgoing = list(self._build_messages(router))
            self._send(router, outgoing, began)

    def _build_messages(
        self, router: CounterRouter
    ) -> Iterable[tuple[RouterIdentity, Message]]:
        rows = tuple(
            CounterRow(*key, int(router.ledger.served(*key)), 0, 1, 1, None)
            for key in self._keys
        )
        report = Report(self.rounds, 1, False, rows)
        if not self._is_tree:
            peers = self._live - {router.identity}
            is_first = router is self.routers[0]
            for receiver in peers if is_first else [self.routers[0].identity]:
                yield receiver, report
            return
        place = self._places[router.identity]
        router.sums.update(place, self._live)
        for receiver in place.counter_targets():
            yield receiver, report
        for receiver in place.neighbours():
            for sum_message in router.sums.build(place, receiver, self.rounds):
                yield receiver, sum_message

    def _send(
        self,
        router: CounterRouter,
        outgoing: list[tuple[RouterIdentity, Message]],
        began: float,
    ) -> None:
        now = 100.0 + self.rounds * REPORT_INTERVAL_SECONDS
        router.budget.fill(now)
        message_count = len(outgoing) if self._is_tree else len(self.routers) - 1
        limit = router.budget.find_row_limit(message_count)
        encoded_messages: deque[tuple[RouterIdentity, Connection, bytes]] = deque()
        for receiver, message in outgoing:
            connection = router.connections.setdefault(receiver, Connection())
            data = connection.encode(message, now, limit)
            if data:
                encoded_messages.append((receiver, connection, data))
        size = sum(len(data) for _, _, data in encoded_messages)
        if not self._is_tree and router is not self.routers[0]:
            # The router's other connections, which are not simulated, carry as much.
            size *= message_count
        router.budget.spend(size)
        router.cpu_seconds += time.process_time() - began
        for receiver, connection, data in encoded_messages:
            peer = self._by_identity[receiver]
            began = time.process_time()
            for message in connection.decoder.feed(data):
                if isinstance(message, Report):
                    peer.ledger.merge(router.identity, message.counters)
                elif isinstance(message, Sum):
                    peer.sums.take(router.identity, message)
            peer.cpu_seconds += time.process_time() - began
            for endpoint in (router, peer):
                endpoint.bytes += len(data)
                endpoint.messages += 1

    def compute_total_ages(self) -> list[float]:
        """Returns the age in seconds of the oldest total of each observed router."""
        current_total = self.rounds * UNITS_PER_INTERVAL * len(self.routers)
        units_per_second = (
            UNITS_PER_INTERVAL * len(self.routers) / REPORT_INTERVAL_SECONDS
        )
        return [
            max(
                (current_total - router.ledger.total(*key)) / units_per_second
                for key in self._keys
            )
            for router in self.observed
        ]


def measure(
    routers: int, organisations: int, seconds: float, *, is_tree: bool
) -> dict[str, float]:
    """Returns the figures of one router, mean and largest.

    Args:
        routers: Number of routers.
        organisations: Number of organisations.
        seconds: Simulated time of the warm-up, and as much of the measurement.
        is_tree: Whether counters are sent along the tree.
    """
    fleet = CounterFleet(routers, organisations, is_tree=is_tree)
    intervals = round(seconds / REPORT_INTERVAL_SECONDS)
    for _ in range(intervals):
        fleet.run_interval()
    # A collection would be charged to whichever router it interrupts.
    gc.collect()
    gc.disable()
    for router in fleet.routers:
        router.bytes = router.messages = 0
        router.cpu_seconds = 0.0
    for _ in range(intervals):
        fleet.run_interval()
    gc.enable()
    observed = fleet.observed
    return {
        "bytes/s": sum(router.bytes for router in observed) / len(observed) / seconds,
        "most bytes/s": max(router.bytes for router in observed) / seconds,
        "messages/s": sum(router.messages for router in observed)
        / len(observed)
        / seconds,
        "cpu %": 100
        * sum(router.cpu_seconds for router in observed)
        / len(observed)
        / seconds,
        "most cpu %": 100 * max(router.cpu_seconds for router in observed) / seconds,
        "age s": max(fleet.compute_total_ages()),
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
