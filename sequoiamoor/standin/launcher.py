"""Starts and ends a small fleet of processes on loopback addresses."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

from ..types import Address
from . import client
from .processes import end_processes, read_listening, reserve_port, start_process

LOG_TAIL_BYTES = 4_000


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """One upstream process to start.

    Attributes:
        replica: Identifier of the replica.
        service: Service that it serves.
        zone: Availability zone in the VM list.
        kind: ``engine`` or ``service``, the command of the stand-in.
        slots: Requests that it runs at once.
        options: Further options of the command.
    """

    replica: str
    service: str
    zone: str
    kind: str
    slots: int
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The routers, upstreams and configuration of a fleet.

    Attributes:
        zones: Availability zone of each router.
        upstreams: Upstreams to start.
        declaration: Configuration written into the table of the platform.
        router_settings: Fields merged into the settings of each router.
    """

    zones: tuple[str, ...]
    upstreams: tuple[UpstreamPlan, ...]
    declaration: dict[str, Any]
    router_settings: dict[str, Any] = field(default_factory=dict)


class LaunchError(Exception):
    """A process of the fleet did not start; the message contains the end of its log."""


class SignalGuard:
    """Turns SIGINT and SIGTERM into SystemExit, and defers them on demand.

    Without it, SIGTERM would end the launcher before it has ended its processes. A
    signal between the start of a process and its registration would leak the process.
    """

    def __init__(self) -> None:
        self._is_deferring = False
        self._received: int | None = None
        self._previous: dict[signal.Signals, Any] = {}

    def __enter__(self) -> SignalGuard:
        # Only the main thread may set signal handlers.
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGINT, signal.SIGTERM):
                self._previous[number] = signal.signal(number, self._handle)
        return self

    def __exit__(self, *_: object) -> None:
        for number, handler in self._previous.items():
            signal.signal(number, handler)

    def _handle(self, number: int, _: FrameType | None) -> None:
        self._received = number
        if not self._is_deferring:
            raise SystemExit(128 + number)

    @contextlib.contextmanager
    def defer(self) -> Iterator[None]:
        """Defers signals to the end of a ``with`` block."""
        self._is_deferring = True
        try:
            yield
        finally:
            self._is_deferring = False
        if self._received is not None:
            raise SystemExit(128 + self._received)


class Fleet:
    """The processes of a fleet, each ended by its own handle.

    Attributes:
        platform: Address of the platform.
        routers: HTTP address of each router.
        upstreams: Address of each upstream.
        processes: Started processes by name.
    """

    def __init__(
        self, plan: FleetPlan, work_directory: Path, guard: SignalGuard
    ) -> None:
        self._plan = plan
        self._work_directory = work_directory
        self._guard = guard
        self._zones = sorted(
            set(plan.zones) | {upstream.zone for upstream in plan.upstreams}
        )
        self._reserved: list[socket.socket] = []
        self.platform = Address("", 0)
        self.routers: dict[str, Address] = {}
        self.upstreams: dict[str, Address] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def find_address_prefix(self, zone: str) -> str:
        """Returns the prefix of the loopback addresses of a zone."""
        return f"127.0.{self._zones.index(zone) + 1}."

    def read_log(self, name: str) -> str:
        """Returns the end of the log of a process."""
        path = self._work_directory / f"{name}.log"
        data = path.read_bytes() if path.exists() else b""
        return data[-LOG_TAIL_BYTES:].decode("utf-8", "replace").strip()

    def start(self) -> None:
        """Starts all processes; returns before the routers are ready.

        Raises:
            LaunchError: If a stand-in does not start.
        """
        self._start("platform", ["stand-in", "platform", "--list-lag", "0.2"])
        for upstream in self._plan.upstreams:
            arguments = ["stand-in", upstream.kind, "--replica", upstream.replica]
            arguments += ["--host", self.find_address_prefix(upstream.zone) + "1"]
            arguments += ["--slots", str(upstream.slots), *upstream.options]
            self._start(upstream.replica, arguments)
        self.platform = self._read_listening("platform")
        for upstream in self._plan.upstreams:
            address = self._read_listening(upstream.replica)
            self.upstreams[upstream.replica] = address
        vms = [self._describe_upstream(upstream) for upstream in self._plan.upstreams]
        for number, zone in enumerate(self._plan.zones):
            vms.append(self._prepare_router(f"router-{number}", zone))
        client.put_vms(self.platform, vms)
        client.put_configuration(self.platform, self._plan.declaration)
        for router_id in self.routers:
            self.start_router(router_id)

    def start_router(self, router_id: str) -> None:
        """Starts a router, or restarts one whose process has ended."""
        settings = self._work_directory / f"{router_id}.json"
        self._start(router_id, ["router", "--settings", str(settings)])

    def wait_ready(self, *, timeout: float) -> None:
        """Waits until all routers are ready for requests.

        Raises:
            LaunchError: If a router ended or is not ready after ``timeout`` seconds.
        """
        end = time.monotonic() + timeout
        for router_id, address in self.routers.items():
            while not client.is_ready(address):
                status = self.processes[router_id].poll()
                if status is None and time.monotonic() < end:
                    time.sleep(client.READY_POLL_SECONDS)
                    continue
                state = "is not ready" if status is None else f"ended with {status}"
                raise LaunchError(
                    f"{router_id} {state}; its log ends with:\n"
                    f"{self.read_log(router_id)}"
                )

    def kill(self, name: str) -> None:
        """Kills one process, without a chance to drain."""
        process = self.processes[name]
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def end(self) -> None:
        """Ends all processes, the routers before the stand-ins that they depend on."""
        routers = [name for name in self.processes if name in self.routers]
        others = [name for name in self.processes if name not in self.routers]
        for names in (routers, others):
            end_processes([self.processes[name] for name in names])
        for sock in self._reserved:
            sock.close()

    def _start(self, name: str, arguments: list[str]) -> None:
        with self._guard.defer():
            log = self._work_directory / f"{name}.log"
            self.processes[name] = start_process(arguments, log)

    def _read_listening(self, name: str) -> Address:
        try:
            return read_listening(self.processes[name])
        except RuntimeError as err:
            raise LaunchError(
                f"{name} does not listen; its log ends with:\n{self.read_log(name)}"
            ) from err

    def _reserve_port(self, host: str) -> int:
        # The port stays reserved while the fleet runs, even while its router is down.
        sock = reserve_port(host)
        self._reserved.append(sock)
        port: int = sock.getsockname()[1]
        return port

    def _prepare_router(self, router_id: str, zone: str) -> dict[str, Any]:
        host = self.find_address_prefix(zone) + "1"
        address = Address(host, self._reserve_port(host))
        control_port = self._reserve_port(host)
        settings = {
            "router_id": router_id,
            "zone": zone,
            "http": {"host": host, "port": address.port},
            "control": {"host": host, "port": control_port},
            "platform": {"host": self.platform.host, "port": self.platform.port},
            **self._plan.router_settings,
        }
        path = self._work_directory / f"{router_id}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.routers[router_id] = address
        return {
            "id": router_id,
            "role": "router",
            "zone": zone,
            "address": host,
            "port": address.port,
            "control_port": control_port,
            "state": "live",
        }

    def _describe_upstream(self, upstream: UpstreamPlan) -> dict[str, Any]:
        address = self.upstreams[upstream.replica]
        return {
            "id": upstream.replica,
            "role": "upstream",
            "zone": upstream.zone,
            "address": address.host,
            "port": address.port,
            "service": upstream.service,
            "state": "live",
        }


@contextlib.contextmanager
def run_fleet(plan: FleetPlan) -> Iterator[Fleet]:
    """Runs a fleet for the duration of a ``with`` block.

    SIGINT and SIGTERM raise SystemExit in the block, and the fleet is ended in order.

    Raises:
        LaunchError: If a stand-in does not start.
    """
    with (
        SignalGuard() as guard,
        tempfile.TemporaryDirectory(prefix="sequoiamoor-") as name,
    ):
        fleet = Fleet(plan, Path(name), guard)
        try:
            fleet.start()
            yield fleet
        finally:
            with guard.defer():
                fleet.end()
