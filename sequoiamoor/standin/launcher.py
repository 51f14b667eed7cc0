"""Starts a small fleet of processes on loopback addresses and ends it again."""

from __future__ import annotations

import contextlib
import json
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..types import Address

END_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """One upstream process to start."""

    replica: str
    service: str
    zone: str
    kind: str
    slots: int


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a fleet consists of.

    Attributes:
        zones: Availability zone of each router.
        upstreams: Upstreams to start.
        declaration: Configuration put into the platform's table.
        router_settings: Fields added to the settings of each router.
    """

    zones: tuple[str, ...]
    upstreams: tuple[UpstreamPlan, ...]
    declaration: dict[str, Any]
    router_settings: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Fleet:
    """The processes of a running fleet."""

    platform: Address
    routers: dict[str, Address] = field(default_factory=dict)
    upstreams: dict[str, Address] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)


def zone_host(zones: list[str], zone: str) -> str:
    """Returns the loopback address of a zone; each zone has its own prefix."""
    return f"127.0.{zones.index(zone) + 1}.1"


def find_free_port(host: str) -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def start_process(arguments: list[str], log: Path) -> subprocess.Popen[bytes]:
    """Starts one ``sequoiamoor`` process with its standard error in ``log``."""
    with log.open("ab") as stream:
        return subprocess.Popen(
            [sys.executable, "-m", "sequoiamoor", *arguments],
            stdout=subprocess.PIPE,
            stderr=stream,
            start_new_session=True,
        )


def read_listening(process: subprocess.Popen[bytes]) -> Address:
    """Reads the line in which a stand-in tells its address."""
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError("a stand-in ended before it was listening")
    host, port = json.loads(line)["listening"]
    return Address(host, port)


def end_processes(processes: list[subprocess.Popen[bytes]]) -> None:
    """Ends processes by id, politely first."""
    for process in processes:
        if process.poll() is None:
            process.terminate()
    for process in processes:
        try:
            process.wait(END_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        if process.stdout is not None:
            process.stdout.close()


@contextlib.contextmanager
def run_fleet(plan: FleetPlan) -> Iterator[Fleet]:
    """Runs a fleet for the duration of a ``with`` block."""
    from .client import put_configuration, put_vms

    processes: dict[str, subprocess.Popen[bytes]] = {}
    with tempfile.TemporaryDirectory(prefix="sequoiamoor-") as name:
        folder = Path(name)
        try:
            fleet = _start_stand_ins(plan, folder, processes)
            _write_settings(plan, fleet, folder)
            put_vms(fleet.platform, _list_vms(plan, fleet, folder))
            put_configuration(fleet.platform, plan.declaration)
            for router_id in fleet.routers:
                path = folder / f"{router_id}.json"
                processes[router_id] = start_process(
                    ["router", "--settings", str(path)], folder / f"{router_id}.log"
                )
            fleet.processes = processes
            yield fleet
        finally:
            end_processes(list(processes.values()))


def _start_stand_ins(
    plan: FleetPlan, folder: Path, processes: dict[str, subprocess.Popen[bytes]]
) -> Fleet:
    zones = sorted(set(plan.zones))
    log = folder / "stand-ins.log"
    processes["platform"] = start_process(
        ["stand-in", "platform", "--host", "127.0.0.1", "--list-lag", "0.2"], log
    )
    for upstream in plan.upstreams:
        processes[upstream.replica] = start_process(
            [
                "stand-in",
                upstream.kind,
                "--host",
                zone_host(zones, upstream.zone),
                "--replica",
                upstream.replica,
                *(["--slots", str(upstream.slots)]),
            ],
            log,
        )
    fleet = Fleet(read_listening(processes["platform"]))
    for upstream in plan.upstreams:
        fleet.upstreams[upstream.replica] = read_listening(processes[upstream.replica])
    for number, zone in enumerate(plan.zones):
        host = zone_host(zones, zone)
        fleet.routers[f"router-{number}"] = Address(host, find_free_port(host))
    return fleet


def _write_settings(plan: FleetPlan, fleet: Fleet, folder: Path) -> None:
    for zone, (router_id, address) in zip(
        plan.zones, fleet.routers.items(), strict=True
    ):
        settings = {
            "router_id": router_id,
            "zone": zone,
            "http": {"host": address.host, "port": address.port},
            "control": {"host": address.host, "port": find_free_port(address.host)},
            "platform": {
                "host": fleet.platform.host,
                "port": fleet.platform.port,
            },
            **plan.router_settings,
        }
        path = folder / f"{router_id}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")


def _list_vms(plan: FleetPlan, fleet: Fleet, folder: Path) -> list[dict[str, Any]]:
    vms: list[dict[str, Any]] = []
    for upstream in plan.upstreams:
        address = fleet.upstreams[upstream.replica]
        vms.append(
            {
                "id": upstream.replica,
                "role": "upstream",
                "zone": upstream.zone,
                "address": address.host,
                "port": address.port,
                "service": upstream.service,
                "state": "live",
            }
        )
    for zone, router_id in zip(plan.zones, fleet.routers, strict=True):
        settings = json.loads((folder / f"{router_id}.json").read_text("utf-8"))
        vms.append(
            {
                "id": router_id,
                "role": "router",
                "zone": zone,
                "address": settings["http"]["host"],
                "port": settings["http"]["port"],
                "control_port": settings["control"]["port"],
                "state": "live",
            }
        )
    return vms
