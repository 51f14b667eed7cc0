"""Periodic reads: configuration and VM list of the platform, load reports."""

from __future__ import annotations

import json
import logging
import time

import curio

from ..core.blackboard import Blackboard
from ..core.upstreams import LoadReport, Replica
from ..declaration import parse_declaration
from ..errors import PlatformUnavailableError, SettingsError
from ..net.http import exchange
from ..net.platform import PlatformClient, Vm
from ..types import Address, ReplicaId, VmRole, VmState

_LOG = logging.getLogger(__name__)


class Pollers:
    """Keeps configuration, VM list and load reports on the blackboard fresh."""

    def __init__(self, board: Blackboard, platform: PlatformClient) -> None:
        self._board = board
        self._platform = platform
        self._options = board.options

    async def poll_platform(self) -> None:
        """Reads configuration and VM list until cancelled."""
        while True:
            try:
                await self._read_configuration()
                self._take_vms((await self._platform.list_vms()).vms)
            except PlatformUnavailableError as err:
                _LOG.warning("platform unavailable", extra={"reason": str(err)})
            is_known = self._board.configuration.declaration is not None
            interval = self._options.platform_poll_interval
            await curio.sleep(interval if is_known else interval / 4)

    async def _read_configuration(self) -> None:
        entry = await self._platform.read("configuration")
        state = self._board.configuration
        if entry.version <= state.version:
            return
        try:
            state.declaration = parse_declaration(entry.value["document"])
        except (SettingsError, KeyError, TypeError) as err:
            _LOG.error(
                "configuration is invalid",
                extra={"version": entry.version, "reason": str(err)},
            )
            return
        state.version = entry.version
        state.document = entry.value
        _LOG.info("configuration in force", extra={"version": entry.version})

    def _take_vms(self, vms: tuple[Vm, ...]) -> None:
        replicas = self._board.upstreams.replicas
        for vm in vms:
            if vm.role is not VmRole.UPSTREAM or vm.service is None:
                continue
            replica = replicas.get(vm.id)
            if replica is None or replica.address != vm.to_address():
                replica = Replica(vm.id, vm.service, vm.zone, vm.to_address())
                replicas[vm.id] = replica
            replica.is_leaving = replica.is_leaving or vm.state is VmState.LEAVING

    async def poll_loads(self) -> None:
        """Reads load reports until cancelled."""
        while True:
            for replica in list(self._board.upstreams.replicas.values()):
                await self._poll_load(replica.replica_id, replica.address)
            await curio.sleep(self._options.load_poll_interval)

    async def _poll_load(self, replica_id: ReplicaId, address: Address) -> None:
        now = time.monotonic()
        try:
            _, body = await exchange(
                address, "GET", "/v1/load", timeout=self._options.connect_timeout
            )
            document = json.loads(body)
            load = LoadReport(
                incarnation=int(document["incarnation"]),
                slots=int(document["slots"]),
                running=int(document["running"]),
                queued=int(document["queued"]),
                token_rate=float(document["token_rate"]),
                is_leaving=bool(document["leaving"]),
            )
        except (OSError, ValueError, KeyError, TypeError) as err:
            _LOG.debug("load report of %s failed: %s", replica_id, err)
            return
        self._board.upstreams.record_load(replica_id, load, now)
