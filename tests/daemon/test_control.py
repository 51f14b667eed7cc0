"""Tests of the exchange of state between routers in one process."""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

import curio
import msgpack
import pytest

from sequoiamoor.core.actions import Action, Send, SendReport
from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.messages import (
    CounterRow,
    GrantRow,
    Grants,
    Hello,
    OriginCounters,
    Report,
    SlotRow,
    Snapshot,
)
from sequoiamoor.core.upstreams import ListedUpstream, LoadReport
from sequoiamoor.daemon.control import Control
from sequoiamoor.metrics import Metrics
from sequoiamoor.net.encoder import Encoder
from sequoiamoor.net.outbox import Outbox
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import RouterSettings
from sequoiamoor.types import Address, CallRequest, RouterIdentity

from ..listener_harness import DECLARATION

WAIT_SECONDS = 10.0


class RecordingPolicy(RoundRobinPolicy):
    """Records what it receives and returns the actions that a test sets.

    Attributes:
        next_actions: Actions to return once, by the name of the method.
    """

    def __init__(self) -> None:
        super().__init__(rng=Random(1))
        self.counters: tuple[CounterRow, ...] = ()
        self.slots: tuple[SlotRow, ...] = ()
        self.snapshot = Snapshot(())
        self.reports: list[tuple[str, Report]] = []
        self.grants: list[tuple[str, Grants]] = []
        self.snapshots: list[Snapshot] = []
        self.next_actions: dict[str, list[Action]] = {}

    def _take_actions(self, method: str) -> list[Action]:
        return self.next_actions.pop(method, [])

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: str, now: float
    ) -> list[Action]:
        return self._take_actions("finish")

    def step(self, board: Blackboard, now: float) -> list[Action]:
        return self._take_actions("step")

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        board.is_report_due = False
        return self.counters

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        return self.slots

    def build_snapshot(self, board: Blackboard) -> Snapshot:
        return self.snapshot

    def apply_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        self.reports.append((origin.router_id, report))
        return self._take_actions("apply_report")

    def apply_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        self.grants.append((sender.router_id, grants))
        return self._take_actions("apply_grants")

    def merge_snapshot(self, board: Blackboard, snapshot: Snapshot) -> None:
        self.snapshots.append(snapshot)


class Node:
    """A router without its connections to callers and upstreams."""

    def __init__(
        self, name: str, *peers: Address, fleet: str | None = None, **options: float
    ) -> None:
        settings = RouterSettings.model_validate(
            {
                "router_id": name,
                "zone": "zone-a",
                "http": {"host": "127.0.0.1", "port": 0},
                "control": {"host": "127.0.0.1", "port": 0},
                "platform": {"host": "127.0.0.1", "port": 1},
                "fleet": fleet,
                "peers": [{"host": peer.host, "port": peer.port} for peer in peers],
                "options": options,
            }
        )
        identity = RouterIdentity(name, 1, "zone-a")
        self.board = create_blackboard(identity, settings.options)
        self.policy = RecordingPolicy()
        self.metrics = Metrics()
        self.control = Control(
            self.board, self.policy, self.metrics, settings=settings, rng=Random(1)
        )
        self.dispatched: list[str] = []
        self.task: Any = None

    async def dispatch(self, service: str) -> None:
        self.dispatched.append(service)

    async def start(self) -> Address:
        address = self.control.bind()
        self.task = await curio.spawn(self.control.run, self.dispatch, daemon=True)
        return address

    def read(self, name: str, **labels: str) -> float:
        return self.metrics.registry.get_sample_value(name, labels) or 0.0


async def wait_until(is_done: Callable[[], bool]) -> None:
    end = time.monotonic() + WAIT_SECONDS
    while not is_done():
        assert time.monotonic() < end, (
            "the condition did not hold within the wait limit"
        )
        await curio.sleep(0.01)


async def start_pair(**options: float) -> tuple[Node, Node]:
    first = Node("router-1", **options)
    second = Node("router-2", await first.start(), **options)
    await second.start()
    await wait_until(lambda: bool(first.board.members and second.board.members))
    return first, second


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        # The kernel cancels the tasks that the test leaves behind.
        await test()

    curio.run(main)


def build_call() -> CallRequest:
    return CallRequest(
        "c", "r", "a", "chat", "talk", 0.0, 1.0, time.monotonic() + 60, b""
    )


def build_row(served: int, *, waiting: int = 0) -> CounterRow:
    return CounterRow("talk", "a", served, 0, waiting, 0, None)


def test_actions_reach_the_peer_and_its_policy() -> None:
    """Guards against policy actions that never reach the peer or its policy."""

    async def test() -> None:
        # The long interval leaves time without scheduled reports after the first one.
        first, second = await start_pair(report_interval=5.0)
        grants = Grants((GrantRow("talk-0", 3, 2, 0),))
        count = len(second.policy.reports)
        first.policy.next_actions["finish"] = [Send("router-2", grants), SendReport()]
        finish = first.policy.finish(first.board, build_call(), "talk-0", 0.0)
        first.control.perform(finish)
        await wait_until(lambda: second.policy.grants == [("router-1", grants)])
        await wait_until(lambda: len(second.policy.reports) > count)
        answer = Grants((GrantRow("talk-1", 1, 1, 0),))
        second.policy.next_actions["apply_grants"] = [Send("router-1", answer)]
        first.control.perform([Send("router-2", grants)])
        await wait_until(lambda: first.policy.grants == [("router-2", answer)])

    run(test)


def test_counters_are_sent_only_when_changed() -> None:
    """Guards against control traffic that grows with the number of organisations."""

    async def test() -> None:
        first, second = await start_pair(report_interval=0.02)
        first.policy.counters = (build_row(5), CounterRow("talk", "b", 1, 0, 0, 0, 7))
        reports = second.policy.reports

        def received() -> list[CounterRow]:
            return [row for _, report in reports for row in report.counters]

        await wait_until(lambda: len(received()) >= 2)
        first.policy.counters = (build_row(9), first.policy.counters[1])
        await wait_until(lambda: build_row(9) in received())
        count = len(reports)
        await wait_until(lambda: len(reports) > count + 5)
        served = [row.served for row in received() if row.organisation == "a"]
        assert served == [5, 9]

    run(test)


def test_due_report_is_sent_without_delay_and_only_once() -> None:
    """Guards against a report for each request of a backlogged organisation."""

    async def test() -> None:
        first, second = await start_pair(report_interval=5.0)
        count = len(second.policy.reports)
        first.board.is_report_due = True
        first.control.perform(())
        await wait_until(lambda: len(second.policy.reports) > count)
        sent = first.read("sequoiamoor_control_messages_total", direction="out")
        for _ in range(20):
            first.control.perform(())
            await curio.sleep(0.005)
        sent_later = first.read("sequoiamoor_control_messages_total", direction="out")
        assert sent_later == sent

    run(test)


def test_early_report_of_a_freed_slot_goes_only_to_its_arbiter() -> None:
    """Guards against a report to all routers for each freed slot."""

    async def test() -> None:
        first, second = await start_pair(report_interval=5.0)
        third = Node("router-3", await own_address(first), await own_address(second))
        await third.start()
        nodes = (first, second, third)
        await wait_until(lambda: all(len(node.board.members) == 2 for node in nodes))
        first.policy.slots = (SlotRow("talk-0", 1, 0, 1, 7),)
        counts = [len(node.policy.reports) for node in nodes]
        first.control.perform([SendReport("router-2")])
        await wait_until(lambda: len(second.policy.reports) > counts[1])
        origins = [name for name, _ in third.policy.reports[counts[2] :]]
        assert "router-1" not in origins

    run(test)


async def own_address(node: Node) -> Address:
    address = node.control.membership.own_address
    assert address is not None
    return address


def test_new_peer_gets_the_snapshot_and_work_is_dispatched() -> None:
    """Guards against a restarted router whose totals start from zero.

    The first messages on a new connection carry a snapshot of the totals.
    """

    async def test() -> None:
        first = Node("router-1")
        address = await first.start()
        origin = RouterIdentity("router-9", 4, "zone-b")
        first.policy.snapshot = Snapshot(
            (OriginCounters(origin, (build_row(70), build_row(80))),)
        )
        first.policy.slots = (SlotRow("talk-0", 1, 0, 4, 2),)
        second = Node("router-2", address)
        entry = ListedUpstream("talk-0", "talk", "zone-a", Address("127.0.0.1", 9))
        second.board.upstreams.apply_vm_list([entry], made_at_ms=1, now=0.0)
        second.board.queues.add(build_call())
        await second.start()
        await wait_until(lambda: first.policy.snapshot in second.policy.snapshots)
        await wait_until(lambda: "talk" in second.dispatched)
        # The slots are complete in each report, although only changes are sent.
        await wait_until(lambda: len(second.policy.reports) > 3)
        assert all(
            report.slots == first.policy.slots for _, report in second.policy.reports
        )

    run(test)


def test_reports_that_arrive_together_are_dispatched_once() -> None:
    """Guards against a decision for each report, and two for a whole one.

    Routers of a large fleet then spend most of their processor time on decisions.
    """

    async def test() -> None:
        node = Node("router-1", report_interval=5.0)
        await node.start()
        await wait_until(lambda: node.board.report_sequence == 1)
        entry = ListedUpstream("talk-0", "talk", "zone-a", Address("127.0.0.1", 9))
        node.board.upstreams.apply_vm_list([entry], made_at_ms=1, now=0.0)
        node.board.queues.add(build_call())
        slots = (SlotRow("talk-0", 1, 0, 4, 2),)
        for number in range(3):
            peer = RouterIdentity(f"router-{2 + number}", 1, "zone-a")
            report = Report(1, 0, False, (build_row(70),), slots)
            await node.control.receive(peer, report)
        assert [len(node.policy.reports), *node.dispatched] == [3]
        await wait_until(lambda: bool(node.dispatched))
        await curio.sleep(0.05)
        assert node.dispatched == ["talk"]

    run(test)


def test_loads_and_lists_reach_peers() -> None:
    """Guards against routers that know a replica only from their own polls."""

    async def test() -> None:
        first, second = await start_pair()
        entry = ListedUpstream("talk-0", "talk", "zone-a", Address("127.0.0.1", 9))
        first.control.apply_vm_list([entry], made_at_ms=1, source="platform")
        upstreams = second.board.upstreams
        await wait_until(lambda: "talk-0" in upstreams.replicas)
        load = LoadReport(7, 8, 3, 0, 120.0, False)
        first.control.share_load("talk-0", load)
        await wait_until(lambda: upstreams.replicas["talk-0"].load == load)
        leaving = LoadReport(7, 8, 3, 0, 120.0, True)
        replica = first.board.upstreams.replicas["talk-0"]
        first.board.upstreams.record_load("talk-0", leaving, time.monotonic())
        first.control.announce_leaving([replica])
        await wait_until(lambda: upstreams.replicas["talk-0"].is_leaving)

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        msgpack.packb([99]),
        # A report before Hello.
        b"".join(Encoder().encode(Report(1, 1, False))),
        # Hello a second time.
        2 * b"".join(Encoder().encode(Hello(RouterIdentity("x", 1, "z"), 1, None))),
    ],
)
def test_bad_message_closes_only_its_connection(data: bytes) -> None:
    """Guards against a faulty peer whose messages affect other connections."""

    async def test() -> None:
        first, second = await start_pair()
        address = first.control.membership.own_address
        assert address is not None
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(data)
        async with curio.timeout_after(WAIT_SECONDS):
            assert await sock.recv(1) == b""
        await sock.close()
        assert first.read("sequoiamoor_control_protocol_errors_total") == 1
        count = len(first.policy.reports)
        await wait_until(lambda: len(first.policy.reports) > count + 2)
        assert second.board.identity.router_id in first.board.members

    run(test)


def test_end_of_a_router_is_found_out_without_the_delay_of_its_link() -> None:
    """Guards against an ended router that is only suspected.

    Its links waited long for it to start, or it ended soon after its start.
    """

    async def test() -> None:
        delays = {"reconnect_base_delay": 60.0, "reconnect_max_delay": 60.0}
        first, second = await start_pair(**delays)
        assert first.control.membership.ended() == frozenset()
        await second.task.cancel()
        await wait_until(lambda: bool(first.control.membership.ended()))

    run(test)


def test_nothing_is_taken_from_a_router_of_another_fleet() -> None:
    """Guards against an ended fleet's routers that call addresses of a new one.

    They would bring their configuration of a higher version, replicas and members.
    """

    async def test() -> None:
        first, second = await start_pair()
        known = first.control.membership.candidates()
        foreign = Node("router-3", *known, fleet="other")
        entry = ListedUpstream("talk-0", "talk", "zone-a", Address("127.0.0.1", 9))
        foreign.control.apply_vm_list([entry], made_at_ms=1, source="platform")
        foreign.control.offer_configuration(9, {"document": DECLARATION}, "platform")
        assert foreign.board.configuration.version == 9
        await foreign.start()
        name = "sequoiamoor_control_foreign_routers_total"
        await wait_until(lambda: second.read(name) >= 2)
        assert foreign.board.identity.router_id not in second.control.membership.members
        assert not second.board.upstreams.replicas
        assert second.board.configuration.version != 9
        assert set(second.board.members) == {"router-1"}

    run(test)


def test_buffer_for_a_peer_that_does_not_read_is_bounded() -> None:
    """Guards against a router that blocks on a slow peer, or buffers without limit.

    One peer never reads, while the router sends it over a thousand large reports.
    """

    async def test() -> None:
        first = Node(
            "router-1",
            report_interval=0.02,
            control_bytes_per_second=1e9,
        )
        address = await first.start()
        server = curio.network.tcp_server_socket("127.0.0.1", 0)
        server.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_RCVBUF, 4_096)
        port = server.getsockname()[1]
        slow = await curio.open_connection(address.host, address.port)
        hello = Hello(RouterIdentity("slow", 1, "z"), 0, Address("127.0.0.1", port))
        for part in Encoder().encode(hello):
            await slow.sendall(part)
        accepted, _ = await server.accept()
        second = Node("router-2", address)
        await second.start()
        rows = [
            tuple(
                CounterRow("talk", f"o{number}", served, 0, 0, 0, None)
                for number in range(900)
            )
            for served in range(1, 1_200)
        ]
        max_unsent_bytes = 0
        for counters in rows:
            first.policy.counters = counters
            first.control.perform([SendReport()])
            await curio.sleep(0.001)
            max_unsent_bytes = max(max_unsent_bytes, first.control.unsent_bytes)
        # The socket buffers are full; at most one report is kept beyond them.
        assert 0 < max_unsent_bytes < 32_768
        await wait_until(lambda: rows[-1][0] in _find_last_counters(second))
        await accepted.close()
        await slow.close()
        await server.close()

    run(test)


def _find_last_counters(node: Node) -> tuple[CounterRow, ...]:
    for _, report in reversed(node.policy.reports):
        if report.counters:
            return report.counters
    return ()


def test_outbox_keeps_only_the_latest_message_of_each_kind() -> None:
    """Guards against a buffer that grows while a peer does not read."""
    outbox = Outbox()
    for number in range(1_000):
        outbox.put(Report(number, 1, False))
        outbox.put(Grants((GrantRow(f"talk-{number % 3}", 1, number, 0),)))
    messages = outbox.take()
    assert outbox.is_empty
    assert [
        message.sequence for message in messages if isinstance(message, Report)
    ] == [999]
    (grants,) = [message for message in messages if isinstance(message, Grants)]
    assert sorted(row.granted for row in grants.rows) == [997, 998, 999]
