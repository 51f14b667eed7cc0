"""Failure tests of control traffic, configuration and membership on real routers.

The limits on the waits are the bounds that the design documentation states.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import time
from pathlib import Path
from random import Random

import pytest

from benchmarks.usage import read_series
from sequoiamoor.standin.client import fetch, is_ready, put_configuration, put_vms
from sequoiamoor.standin.launcher import Fleet, run_fleet
from sequoiamoor.standin.processes import read_listening

from .fleets import (
    DECLARATION,
    READY_TIMEOUT_SECONDS,
    block,
    build_plan,
    call,
    read_status,
    restart,
    set_outage,
    wait_fleet,
    wait_members,
    wait_until,
    wait_version,
    write_configuration,
    write_document,
)

pytestmark = pytest.mark.processes

CONFIGURATION_LIMIT_SECONDS = 5.0
RECOVERY_LIMIT_SECONDS = 10.0
LEAVING_NOTICE_SECONDS = 3.0
DEAD_DETECTION_SECONDS = 5.0
LONG_START_SECONDS = 5.0
PLATFORM_POLL_LIMIT_SECONDS = 20.0


def test_configuration_reaches_a_zone_cut_from_the_platform() -> None:
    """Guards against routers that take a configuration only from the platform.

    Also guards against an invalid document that keeps later ones from being adopted.
    """
    with run_fleet(build_plan(("zone-a", "zone-b", "zone-c"))) as fleet:
        wait_fleet(fleet)
        block(fleet.routers["router-0"], "127.0.0.")
        version = write_configuration(fleet, expected=1, title="second")
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)
        version = write_document(fleet, {"organisations": 1}, expected=version)
        wait_until(
            lambda: all(
                read_series(
                    fleet.routers[name], "sequoiamoor_configurations_refused_total"
                )
                for name in ("router-1", "router-2")
            ),
            limit=CONFIGURATION_LIMIT_SECONDS,
            what="the invalid document is reported",
        )
        for address in fleet.routers.values():
            assert read_status(address)["configuration_version"] == version - 1
        version = write_configuration(fleet, expected=version, title="fourth")
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)


def test_restarted_router_takes_the_configuration_from_peers() -> None:
    """Guards against a router that cannot restart during a platform outage."""
    with run_fleet(build_plan(("zone-a", "zone-a", "zone-b"))) as fleet:
        wait_fleet(fleet)
        version = write_configuration(fleet, expected=1, title="second")
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)
        set_outage(fleet, outage=True)
        restart(fleet, "router-1")
        wait_fleet(fleet)
        address = fleet.routers["router-1"]
        assert read_status(address)["configuration_version"] == version
        wait_until(
            lambda: call(address, "first")[0] == 200,
            limit=RECOVERY_LIMIT_SECONDS,
            what="a call at an upstream whose address only the peers know",
        )


def test_router_alone_without_platform_is_not_ready() -> None:
    """Guards against a router that reports ready without any configuration."""
    with run_fleet(build_plan(("zone-a",), replicas=1)) as fleet:
        wait_fleet(fleet)
        set_outage(fleet, outage=True)
        restart(fleet, "router-0")
        address = fleet.routers["router-0"]
        wait_until(
            lambda: _count_failed_reads(fleet) >= 3, limit=30.0, what="failed reads"
        )
        assert fetch(address, "GET", "/healthz")[0] == 200
        assert fetch(address, "GET", "/readyz")[0] == 503
        set_outage(fleet, outage=False)
        wait_fleet(fleet)


def _count_failed_reads(fleet: Fleet) -> float:
    try:
        return read_series(
            fleet.routers["router-0"],
            "sequoiamoor_platform_operations_total",
            operation="table-read",
            result="unavailable",
        )
    except OSError:
        return 0.0


def test_version_does_not_go_back_with_the_platform() -> None:
    """Guards against adopting an older version from a platform that lost its data."""
    with run_fleet(build_plan(("zone-a", "zone-b"))) as fleet:
        wait_fleet(fleet)
        version = write_configuration(fleet, expected=1, title="second")
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)
        restart(fleet, "platform", "--port", str(fleet.platform.port))
        assert read_listening(fleet.processes["platform"]) == fleet.platform
        put_configuration(fleet.platform, DECLARATION)
        wait_until(
            lambda: (
                fetch(fleet.platform, "GET", "/admin/counts")[1].get("table_reads", 0)
                >= 4
            ),
            limit=PLATFORM_POLL_LIMIT_SECONDS,
            what="reads of the new table",
        )
        for address in fleet.routers.values():
            assert read_status(address)["configuration_version"] == version
            assert len(read_status(address)["upstreams"]) == 2


def test_partition_between_zones_heals() -> None:
    """Guards against zones that do not become members of each other after a partition.

    Also guards against invalid data on the control port that disturbs other
    connections.
    """
    zones = ("zone-a", "zone-a", "zone-b", "zone-b")
    with run_fleet(build_plan(zones)) as fleet:
        wait_fleet(fleet)
        for name in ("router-0", "router-1"):
            block(fleet.routers[name], "127.0.2.")
        wait_members(fleet, fleet.routers, 2, limit=RECOVERY_LIMIT_SECONDS)
        time.sleep(DEAD_DETECTION_SECONDS)
        for name in ("router-0", "router-1"):
            block(fleet.routers[name])
        wait_members(fleet, fleet.routers, 4, limit=RECOVERY_LIMIT_SECONDS)
        _send_invalid_data(fleet, "router-0")
        wait_members(fleet, fleet.routers, 4, limit=RECOVERY_LIMIT_SECONDS)


def test_cut_zones_serve_while_the_platform_is_out_and_a_router_dies() -> None:
    """Guards against failures that a fleet survives alone but not in combination.

    Zones are partitioned and a router restarts during a platform outage.
    """
    zones = ("zone-a", "zone-a", "zone-b", "zone-b")
    with run_fleet(build_plan(zones, replicas=4)) as fleet:
        wait_fleet(fleet)
        set_outage(fleet, outage=True)
        for name in ("router-0", "router-1"):
            block(fleet.routers[name], "127.0.2.")
        for name in ("router-2", "router-3"):
            block(fleet.routers[name], "127.0.1.")
        restart(fleet, "router-3")
        wait_until(
            lambda: is_ready(fleet.routers["router-3"]),
            limit=READY_TIMEOUT_SECONDS,
            what="the restarted router is ready through its peer",
        )
        block(fleet.routers["router-3"], "127.0.1.")
        wait_members(fleet, fleet.routers, 2, limit=RECOVERY_LIMIT_SECONDS)
        for name, address in fleet.routers.items():
            assert call(address, f"cut-{name}")[0] == 200
        for address in fleet.routers.values():
            block(address)
        set_outage(fleet, outage=False)
        wait_members(fleet, fleet.routers, 4, limit=RECOVERY_LIMIT_SECONDS)
        version = write_configuration(fleet, expected=1, title="after")
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)
        for name, address in fleet.routers.items():
            assert call(address, f"healed-{name}")[0] == 200


def _send_invalid_data(fleet: Fleet, name: str) -> None:
    series = "sequoiamoor_control_protocol_errors_total"
    vms = fetch(fleet.platform, "GET", "/vms")[1]["vms"]
    (vm,) = [one for one in vms if one["id"] == name]
    for data in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xc1",
        b"\x91\x63",
        Random(1).randbytes(512),
    ):
        count = read_series(fleet.routers[name], series)
        with socket.create_connection((vm["address"], vm["control_port"])) as sock:
            sock.settimeout(RECOVERY_LIMIT_SECONDS)
            sock.sendall(data)
            # Closing a connection that has unread bytes resets it.
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
        assert read_series(fleet.routers[name], series) == count + 1


def test_leaving_upstream_gets_no_new_starts() -> None:
    """Guards against routers that learn of a leaving upstream only by polling."""
    with run_fleet(build_plan(("zone-a", "zone-a", "zone-b", "zone-b"))) as fleet:
        wait_fleet(fleet)
        vms = fetch(fleet.platform, "GET", "/vms")[1]["vms"]
        for vm in vms:
            if vm["id"] == "desk-0":
                vm["state"] = "leaving"
        put_vms(fleet.platform, vms)
        time.sleep(LEAVING_NOTICE_SECONDS)
        replicas = set()
        for number in range(16):
            for name, address in fleet.routers.items():
                status, replica = call(address, f"{name}-{number}")
                assert status == 200
                replicas.add(replica)
        assert replicas == {"desk-1"}


def test_paused_router_is_a_member_again() -> None:
    """Guards against a router that is lost or harms others after a long pause."""
    with run_fleet(build_plan(("zone-a", "zone-b", "zone-c"))) as fleet:
        wait_fleet(fleet)
        process = fleet.processes["router-1"]
        others = ("router-0", "router-2")
        process.send_signal(signal.SIGSTOP)
        try:
            wait_members(fleet, others, 2, limit=RECOVERY_LIMIT_SECONDS)
            version = write_configuration(fleet, expected=1, title="second")
            time.sleep(DEAD_DETECTION_SECONDS)
        finally:
            process.send_signal(signal.SIGCONT)
        wait_members(fleet, fleet.routers, 3, limit=RECOVERY_LIMIT_SECONDS)
        wait_version(fleet, fleet.routers, version, limit=CONFIGURATION_LIMIT_SECONDS)
        for name, address in fleet.routers.items():
            assert call(address, f"after-{name}")[0] == 200
        assert process.poll() is None


@pytest.mark.parametrize(
    ("number", "status", "down_seconds"),
    [
        (signal.SIGTERM, 0, 0.0),
        (signal.SIGKILL, -signal.SIGKILL, 0.0),
        (signal.SIGKILL, -signal.SIGKILL, LONG_START_SECONDS),
    ],
)
def test_end_of_a_router_is_known_without_suspicion(
    number: signal.Signals, status: int, down_seconds: float
) -> None:
    """Guards against grants to an ended router until a timeout makes it suspect.

    Also if it ends right after a start that took long, on a VM that is short of
    processor time.
    """
    with run_fleet(build_plan(("zone-a", "zone-b"), replicas=1)) as fleet:
        wait_fleet(fleet)
        if down_seconds:
            fleet.kill("router-1")
            time.sleep(down_seconds)
            fleet.start_router("router-1")
            wait_fleet(fleet)
        process = fleet.processes["router-1"]
        process.send_signal(number)
        assert process.wait(RECOVERY_LIMIT_SECONDS) == status
        wait_members(fleet, ["router-0"], 1, limit=RECOVERY_LIMIT_SECONDS)
        log = Path(_read_settings_path(fleet, "router-0")).with_suffix(".log")
        records = [json.loads(line) for line in log.read_text().splitlines()]
        states = [
            record["reason"]
            for record in records
            if record["event"] == "router changed state"
        ]
        if down_seconds:
            last_start = len(states) - states[::-1].index("alive")
            states = states[last_start:]
        assert "dead" in states
        assert "suspect" not in states


def test_routers_of_two_fleets_serve_beside_each_other() -> None:
    """Guards against routers that join any fleet whose addresses they call."""
    with run_fleet(build_plan(("zone-a", "zone-b"), replicas=1)) as fleet:
        wait_fleet(fleet)
        path = Path(_read_settings_path(fleet, "router-1"))
        path.write_text(json.dumps(json.loads(path.read_text()) | {"fleet": "other"}))
        restart(fleet, "router-1")
        series = "sequoiamoor_control_foreign_routers_total"
        wait_until(
            lambda: all(
                is_ready(address) and read_series(address, series) >= 2
                for address in fleet.routers.values()
            ),
            limit=READY_TIMEOUT_SECONDS,
            what="two refused connections at each router",
        )
        wait_members(fleet, fleet.routers, 1, limit=RECOVERY_LIMIT_SECONDS)
        for name, address in fleet.routers.items():
            assert call(address, f"beside-{name}")[0] == 200


def _read_settings_path(fleet: Fleet, name: str) -> str:
    arguments = fleet.processes[name].args
    assert isinstance(arguments, list)
    path = arguments[-1]
    assert isinstance(path, str)
    return path


def _read_totals(fleet: Fleet) -> list[float]:
    return [
        sum(row["total"] for row in read_status(address)["organisations"])
        for address in fleet.routers.values()
    ]


def test_shares_are_counted_over_a_tree_that_loses_an_aggregator() -> None:
    """Guards against routers above the flat limit that count shares differently.

    Also guards against counts of served work that are lost with the router that
    aggregates a zone.
    """
    zones = tuple(f"zone-{'abc'[number % 3]}" for number in range(9))
    plan = build_plan(zones, replicas=3)
    plan.router_settings["options"] = {"flat_limit": 4, "fan_out": 3}
    with run_fleet(plan) as fleet:
        wait_fleet(fleet)
        for name, address in fleet.routers.items():
            for number in range(3):
                assert call(address, f"{name}-{number}", work_ms=20)[0] == 200
        _wait_same_totals(fleet, at_least=9 * 3 * 20)
        before = max(_read_totals(fleet))
        name = next(one for one in fleet.routers if _is_zone_aggregator(fleet, one))
        process = fleet.processes[name]
        process.kill()
        process.wait()
        del fleet.routers[name]
        wait_members(fleet, fleet.routers, 8, limit=RECOVERY_LIMIT_SECONDS)
        for name, address in fleet.routers.items():
            assert call(address, f"after-{name}", work_ms=20)[0] == 200
        _wait_same_totals(fleet, at_least=before + 8 * 20)


def _is_zone_aggregator(fleet: Fleet, name: str) -> bool:
    status = read_status(fleet.routers[name])
    rows = status["tree"]
    assert 0 < len(rows) <= 4
    own_zone_roles = {row["role"] for row in rows if row["zone"] == status["zone"]}
    return own_zone_roles == {"child"}


def _wait_same_totals(fleet: Fleet, *, at_least: int) -> None:
    def is_same() -> bool:
        totals = _read_totals(fleet)
        # Sums are sent as whole units, so totals may differ by rounding.
        return min(totals) >= at_least and max(totals) - min(totals) <= len(totals)

    wait_until(
        is_same, limit=RECOVERY_LIMIT_SECONDS, what=f"totals of at least {at_least}"
    )
    for address in fleet.routers.values():
        assert not read_series(address, "sequoiamoor_control_protocol_errors_total")
