"""Measures the control connections of 8 busy routers with an artificial policy.

Run with ``python -m benchmarks.control_busy``. Each router is one process with the
control connections only. Its policy reports 16 organisations at 2 services, whose
counters all change, and the slots of 13 replicas, of which 40 are released per second.
It sends the grants that an arbiter of two replicas would send. Bytes are those of the
messages, in plus out; CPU time is that of the whole process, including the policy.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from random import Random

import curio

from sequoiamoor.core.actions import Action, Send, SendReport
from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.messages import CounterRow, GrantRow, Grants, SlotRow
from sequoiamoor.daemon.control import Control
from sequoiamoor.metrics import Metrics
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import RouterSettings
from sequoiamoor.standin.processes import find_free_port
from sequoiamoor.types import RouterIdentity

ROUTERS = 8
ORGANISATIONS = 16
SERVICES = ("lane-talk", "lane-desk")
REPLICAS = 13
RELEASES_PER_SECOND = 40.0
SETTLE_SECONDS = 3.0
HOST = "127.0.0.1"


class BusyPolicy(RoundRobinPolicy):
    """A policy whose counters all change between two reports.

    Attributes:
        released: Slots of each replica that were released so far.
    """

    def __init__(self, index: int) -> None:
        super().__init__(rng=Random(index))
        self._index = index
        self._served: dict[tuple[str, str], int] = {}
        self.released = [0] * REPLICAS
        self._granted = 0

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        """Returns counters that all differ from those of the last call."""
        rows = []
        for service in SERVICES:
            for number in range(ORGANISATIONS):
                key = (service, f"organisation-{number}")
                served = self._served.get(key, 0) + self._rng.randrange(1, 400)
                self._served[key] = served
                waiting = self._rng.randrange(0, 6)
                running = self._rng.randrange(0, 4)
                deadline = self._rng.randrange(-500, 30_000) if waiting else None
                rows.append(CounterRow(*key, served, 0, waiting, running, deadline))
        return tuple(rows)

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns the slots of all replicas."""
        return tuple(
            SlotRow(f"replica-{replica_number}", 1, 0, released, released * 7 % 3)
            for replica_number, released in enumerate(self.released)
        )

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Returns grants for each peer, as an arbiter of two replicas."""
        self._granted += 1
        rows = tuple(
            GrantRow(f"replica-{replica_number}", 1, self._granted, 0)
            for replica_number in range(REPLICAS)
            if replica_number % ROUTERS == self._index
        )
        return [Send(router_id, Grants(rows)) for router_id in board.members]


def run_router(index: int, ports: list[int], seconds: float) -> None:
    """Runs one router and prints its figures."""
    settings = RouterSettings.model_validate(
        {
            "router_id": f"router-{index}",
            "zone": f"zone-{index % 3}",
            "http": {"host": HOST, "port": 0},
            "control": {"host": HOST, "port": ports[index]},
            "platform": {"host": HOST, "port": 1},
            "peers": [{"host": HOST, "port": port} for port in ports],
        }
    )
    identity = RouterIdentity(settings.router_id, 1, settings.zone)
    board = create_blackboard(identity, settings.options)
    policy, metrics = BusyPolicy(index), Metrics()
    control = Control(board, policy, metrics, settings=settings, rng=Random(index))

    async def dispatch(service: str) -> None:
        return

    def read(name: str) -> float:
        return sum(
            metrics.registry.get_sample_value(name, {"direction": direction}) or 0.0
            for direction in ("in", "out")
        )

    async def release() -> None:
        rng = Random(index)
        while True:
            await curio.sleep(rng.expovariate(RELEASES_PER_SECOND))
            policy.released[rng.randrange(REPLICAS)] += 1
            control.perform([SendReport()])

    async def main() -> None:
        control.bind()
        await curio.spawn(control.run, dispatch, daemon=True)
        while len(board.members) < ROUTERS - 1:
            await curio.sleep(0.05)
        await curio.spawn(release, daemon=True)
        await curio.sleep(SETTLE_SECONDS)
        names = (
            "sequoiamoor_control_bytes_total",
            "sequoiamoor_control_messages_total",
        )
        before = [read(name) for name in names]
        cpu, started = time.process_time(), time.monotonic()
        await curio.sleep(seconds)
        elapsed = time.monotonic() - started
        figures = {
            "bytes_per_second": (read(names[0]) - before[0]) / elapsed,
            "messages_per_second": (read(names[1]) - before[1]) / elapsed,
            "cpu_share": (time.process_time() - cpu) / elapsed,
        }
        print(json.dumps(figures), flush=True)
        # Keeps the connections open while the other routers still measure.
        await curio.sleep(SETTLE_SECONDS)

    curio.run(main)


def main() -> None:
    """Runs all routers and prints the maximum and the mean of each figure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--node", type=int)
    parser.add_argument("--ports", type=json.loads)
    arguments = parser.parse_args()
    if arguments.node is not None:
        run_router(arguments.node, arguments.ports, arguments.seconds)
        return
    ports = json.dumps([find_free_port(HOST) for _ in range(ROUTERS)])
    command = [sys.executable, "-m", "benchmarks.control_busy", "--ports", ports]
    command += ["--seconds", str(arguments.seconds)]
    processes = [
        subprocess.Popen([*command, "--node", str(index)], stdout=subprocess.PIPE)
        for index in range(ROUTERS)
    ]
    limit = arguments.seconds + 60.0
    results = [
        json.loads(process.communicate(timeout=limit)[0]) for process in processes
    ]
    for name in results[0]:
        values = [result[name] for result in results]
        mean = sum(values) / len(values)
        print(f"{name:<22}max {max(values):>10.4f}  mean {mean:>10.4f}")


if __name__ == "__main__":
    main()
