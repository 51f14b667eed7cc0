"""Control cost of one router: CPU time, bytes and memory per additional entry.

All measurements run the code of the daemon; those of fleets start real routers. The
slopes are written as JSON, from which ``python -m benchmarks.capacity`` makes the
tables of docs/CAPACITY.md.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

from sequoiamoor.core.arbiter import Arbiter
from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.ledger import Ledger
from sequoiamoor.core.membership import Membership
from sequoiamoor.core.messages import CounterRow, Report, SlotRow
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.net.decoder import Decoder
from sequoiamoor.net.encoder import Encoder
from sequoiamoor.options import Options
from sequoiamoor.types import Address, CallRequest, RouterIdentity

from .fleet import measure_fleet
from .measure import Line, fit_line, measure_cpu, measure_memory, print_line
from .measure import write_lines as write_result
from .mesh import measure_mesh

RESULT_PATH = Path(__file__).parent / "results" / "scale.json"
ROWS = (8, 32, 128, 512)
MEMBERS = (8, 32, 128, 350)
FLEETS = (8, 16, 32)
ZONES = 9
SLOTS = 64
SERVICE = "model-0"


def build_identity(number: int) -> RouterIdentity:
    """Returns the identity of a router in one of the zones."""
    return RouterIdentity(
        f"router-{number:03}", 1_800_000_000_000, f"z{number % ZONES}"
    )


def build_rows(count: int, round_number: int) -> tuple[CounterRow, ...]:
    """Returns counters that all differ from those of the previous round."""
    return tuple(
        CounterRow(
            f"model-{number % 4}",
            f"organisation-{number // 4:03}",
            served=1_000_000 + 250 * round_number,
            lift=0,
            waiting=3 + round_number % 2,
            running=5,
            deadline_ms=400,
        )
        for number in range(count)
    )


def measure_wire() -> list[Line]:
    """Measures encoding and decoding of reports."""
    encode, decode, sizes = [], [], []
    for count in ROWS:
        reports = [Report(n, 7, False, build_rows(count, n)) for n in range(64)]
        encoder = Encoder()
        encoder.encode(reports[0])
        parts = [b"".join(encoder.encode(report)) for report in reports[1:]]
        sizes.append((float(count), sum(map(len, parts)) / len(parts)))

        def encode_all(reports: list[Report] = reports) -> None:
            encoder = Encoder()
            for report in reports:
                encoder.encode(report)

        encoder = Encoder()
        data = [b"".join(encoder.encode(report)) for report in reports]

        def decode_all(data: list[bytes] = data) -> None:
            decoder = Decoder()
            for part in data:
                decoder.feed(part)

        encode.append((float(count), measure_cpu(encode_all, rounds=5) / len(reports)))
        decode.append((float(count), measure_cpu(decode_all, rounds=5) / len(reports)))
    return [
        fit_line("report bytes", sizes, unit="B", per="row"),
        fit_line("report encode", encode, unit="us", per="row"),
        fit_line("report decode", decode, unit="us", per="row"),
    ]


def measure_ledger() -> list[Line]:
    """Measures merging of reports and the memory of counters."""
    merge, memory = [], []
    for count in ROWS:
        rows = [build_rows(count, number) for number in range(64)]

        def merge_all(rows: list[tuple[CounterRow, ...]] = rows) -> None:
            ledger = Ledger(build_identity(0))
            for report_rows in rows:
                ledger.merge(build_identity(1), report_rows)

        merge.append((float(count), measure_cpu(merge_all, rounds=5) / len(rows)))
    for members in MEMBERS:

        def build(members: int = members) -> Ledger:
            ledger = Ledger(build_identity(0))
            for number in range(1, members + 1):
                ledger.merge(build_identity(number), build_rows(84, number))
            return ledger

        memory.append((float(members * 84), float(measure_memory(build))))
    return [
        fit_line("ledger merge", merge, unit="us", per="row"),
        fit_line("ledger memory", memory, unit="B", per="counter"),
    ]


def build_membership(count: int) -> Membership:
    """Returns a membership with live members."""
    membership = Membership(build_identity(0), Options.model_validate({}))
    for number in range(1, count + 1):
        address = Address(f"10.0.{number // 250}.{number % 250}", 7000)
        membership.hear(build_identity(number), 0.0, address=address)
    return membership


def measure_membership() -> list[Line]:
    """Measures the periodic step of the membership and its memory."""
    step, memory = [], []
    for count in MEMBERS:
        membership = build_membership(count)

        def run(membership: Membership = membership) -> None:
            membership.step(0.1)
            membership.live()
            membership.candidates()

        step.append((float(count), measure_cpu(run, rounds=50)))
        memory.append(
            (float(count), float(measure_memory(lambda n=count: build_membership(n))))
        )
    return [
        fit_line("membership step", step, unit="us", per="member"),
        fit_line("membership memory", memory, unit="B", per="member"),
    ]


def build_arbiter(members: int, replicas: int) -> Arbiter:
    """Returns an arbiter that has granted all slots."""
    arbiter = Arbiter(build_identity(0), Options.model_validate({}))
    identities = [build_identity(number) for number in range(members)]
    windows = {f"replica-{number:04}": SLOTS for number in range(replicas)}
    arbiter.set_replicas(windows, identities, 0.0)
    rows = arbiter.collect_rows(0.0)
    for identity in identities:
        arbiter.take_rows(
            identity,
            [
                SlotRow(row.replica_id, row.epoch, 0, 0, 0)
                for row in rows.get(identity, ())
            ],
            0.0,
        )
    for replica_id in windows:
        for number in range(arbiter.free(replica_id, 1.0)):
            arbiter.grant(replica_id, identities[number % members])
    arbiter.collect_rows(0.0)
    return arbiter


def measure_arbiter() -> list[Line]:
    """Measures an arbiter's periodic step and its memory."""
    step, memory = [], []
    members = 39
    identities = [build_identity(number) for number in range(members)]
    for count in (2, 4, 8, 16):
        arbiter = build_arbiter(members, count)
        windows = {f"replica-{number:04}": SLOTS for number in range(count)}

        def run(arbiter: Arbiter = arbiter, windows: dict[str, int] = windows) -> None:
            arbiter.set_replicas(windows, identities, 0.1)
            for replica_id in windows:
                arbiter.free(replica_id, 0.1)
            arbiter.collect_rows(0.1)

        pairs = float(count * members)
        step.append((pairs, measure_cpu(run, rounds=20)))
        memory.append(
            (pairs, float(measure_memory(lambda n=count: build_arbiter(members, n))))
        )
    return [
        fit_line("arbiter step", step, unit="us", per="replica-router"),
        fit_line("arbiter memory", memory, unit="B", per="replica-router"),
    ]


def build_board(members: int, replicas: int) -> Blackboard:
    """Returns a blackboard with peers and replicas."""
    board = create_blackboard(build_identity(0), Options.model_validate({}))
    for number in range(1, members):
        identity = build_identity(number)
        board.members[identity.router_id] = identity
    for number in range(replicas):
        replica_id = f"replica-{number:04}"
        replica = Replica(
            replica_id, SERVICE, f"z{number % ZONES}", Address("10.1.0.1", 1 + number)
        )
        replica.load = LoadReport(1, SLOTS, SLOTS // 2, 0, 2_600.0, False)
        board.upstreams.replicas[replica_id] = replica
    return board


def measure_policy() -> list[Line]:
    """Measures one busy router's decisions, encoding and decoding together."""
    sweeps: dict[str, list[tuple[int, int, int]]] = {
        "router": [(count, 10, 16) for count in (8, 12, 16, 24)],
        "replica": [(8, count, 16) for count in (10, 20, 40)],
        "organisation": [(8, 10, count) for count in (16, 32, 64)],
    }
    lines = []
    for position, (per, sizes) in enumerate(sweeps.items()):
        rows = [(float(size[position]), measure_mesh(*size)) for size in sizes]
        for name, unit in (
            ("cpu_percent", "%"),
            ("bytes_per_second", "B/s"),
            ("messages_per_second", "1/s"),
            ("used_slots", "of all"),
        ):
            points = [(size, row[name]) for size, row in rows]
            lines.append(fit_line(f"mesh {name} by {per}", points, unit=unit, per=per))
    return lines


def measure_state() -> list[Line]:
    """Measures the memory of replicas and waiting requests."""
    replicas, requests = [], []
    for count in (100, 400, 1_500):
        replicas.append(
            (float(count), float(measure_memory(lambda n=count: build_board(1, n))))
        )
    for count in (100, 400, 1_600):

        def build(count: int = count) -> Blackboard:
            options = Options.model_validate({"queue_limit_per_organisation": count})
            board = create_blackboard(build_identity(0), options)
            for number in range(count):
                board.queues.add(
                    CallRequest(
                        call_id=f"router-000.1.{number}",
                        request_id=f"request-{number}",
                        organisation="organisation-000",
                        class_name="chat",
                        service=SERVICE,
                        arrival=float(number),
                        deadline=float(number),
                        wait_limit_at=float(number) + 30,
                        body=bytes(1_024),
                    )
                )
            return board

        requests.append((float(count), float(measure_memory(build))))
    return [
        fit_line("replica memory", replicas, unit="B", per="replica"),
        fit_line("waiting request memory", requests, unit="B", per="request"),
    ]


def measure_fleets(seconds: float) -> tuple[list[Line], list[dict[str, Any]]]:
    """Measures control traffic and CPU of real idle routers."""
    rows = [measure_fleet(routers, seconds=seconds) for routers in FLEETS]
    lines = [
        fit_line(
            f"fleet {name}",
            [(float(row["routers"] - 1), row[name]) for row in rows],
            unit=unit,
            per="peer",
        )
        for name, unit in (
            ("bytes_per_second", "B/s"),
            ("messages_per_second", "1/s"),
            ("cpu_percent", "%"),
        )
    ]
    return lines, rows


def main(
    seconds: Annotated[float, typer.Option(help="Seconds per real fleet.")] = 10.0,
    fleets: Annotated[bool, typer.Option(help="Start real routers too.")] = True,
) -> None:
    """Measures all slopes and writes them as JSON."""
    measurements: list[Callable[[], list[Line]]] = [
        measure_wire,
        measure_ledger,
        measure_membership,
        measure_arbiter,
        measure_policy,
        measure_state,
    ]
    lines = []
    for measure_lines in measurements:
        for line in measure_lines():
            print_line(line)
            lines.append(line)
    fleet_figures: list[dict[str, Any]] = []
    if fleets:
        fleet_lines, fleet_figures = measure_fleets(seconds)
        for line in fleet_lines:
            print_line(line)
        lines += fleet_lines
    write_result(
        RESULT_PATH,
        lines,
        {
            "fleets": fleet_figures,
            "measured_at": time.strftime("%Y-%m-%d", time.gmtime()),
        },
    )
    print(f"written to {RESULT_PATH.relative_to(Path.cwd())}")


if __name__ == "__main__":
    typer.run(main)
