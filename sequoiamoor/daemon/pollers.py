"""Periodic polls: configuration and VM list of the platform, load reports."""

from __future__ import annotations

import json
import logging
import time
from random import Random

import curio
from pydantic import BaseModel, Field

from ..bounds import INTEGER_LIMIT, MAX_SLOTS, Count
from ..core.blackboard import Blackboard
from ..core.rendezvous import choose_router
from ..core.upstreams import ListedUpstream, LoadReport, Replica
from ..errors import PlatformUnavailableError
from ..net.http_client import exchange
from ..net.platform import PlatformClient, Vm, VmList
from ..types import Address, ReplicaId, VmRole, VmState, ZoneName
from .control import Control

_LOG = logging.getLogger(__name__)

# Longest delay until a change of the responsible router or of the configuration shows
# in the polls.
_CHECK_INTERVAL_SECONDS = 0.25


class _LoadDocument(BaseModel):
    """Load report of an upstream."""

    incarnation: Count
    slots: int = Field(ge=0, le=MAX_SLOTS)
    running: Count
    queued: Count
    token_rate: float = Field(ge=0, lt=INTEGER_LIMIT, allow_inf_nan=False)
    leaving: bool


class Pollers:
    """Keeps configuration, VM list and load reports on the blackboard up to date."""

    def __init__(
        self,
        board: Blackboard,
        platform: PlatformClient,
        control: Control,
        *,
        rng: Random,
    ) -> None:
        self._board = board
        self._platform = platform
        self._control = control
        self._options = board.options
        self._rng = rng
        self._is_platform_reachable = True
        self._active_polls: set[ReplicaId] = set()

    def _is_responsible(self, key: str, zone: ZoneName) -> bool:
        board = self._board
        routers = [board.identity, *board.members.values()]
        return choose_router(key, zone, routers) == board.identity

    async def poll_platform(self) -> None:
        """Polls configuration and VM list until cancelled."""
        polled_at = float("-inf")
        failures = 0
        jitter = 1.0
        while True:
            now = time.monotonic()
            if now - polled_at >= self._find_interval(failures) * jitter:
                polled_at = now
                jitter = self._rng.uniform(0.8, 1.0)
                is_successful = await self._poll_platform_once()
                has_configuration = self._board.configuration.declaration is not None
                failures = 0 if is_successful and has_configuration else failures + 1
            await curio.sleep(_CHECK_INTERVAL_SECONDS)

    def _find_interval(self, failures: int) -> float:
        options = self._options
        if self._board.configuration.declaration is None:
            # Backs off so that a fleet without a configuration, which polls more often,
            # does not overload the platform.
            delay = options.platform_poll_interval / 4
            return min(delay * 2.0 ** min(failures, 16), options.platform_poll_interval)
        if self._is_responsible("platform", self._board.identity.zone):
            return options.platform_poll_interval
        return options.platform_poll_interval_others

    async def _poll_platform_once(self) -> bool:
        async with curio.TaskGroup(wait=all) as tasks:
            configuration_task = await tasks.spawn(self._read_configuration)
            vm_list_task = await tasks.spawn(self._read_vm_list)
        is_successful = bool(configuration_task.result and vm_list_task.result)
        if is_successful and not self._is_platform_reachable:
            _LOG.info("platform available again")
        self._is_platform_reachable = is_successful
        return is_successful

    def _log_unavailable(self, err: PlatformUnavailableError) -> None:
        level = logging.WARNING if self._is_platform_reachable else logging.DEBUG
        _LOG.log(level, "platform unavailable", extra={"reason": str(err)})

    async def _read_configuration(self) -> bool:
        try:
            entry = await self._platform.read("configuration")
        except PlatformUnavailableError as err:
            self._log_unavailable(err)
            return False
        self._control.offer_configuration(entry.version, entry.value, "platform")
        return True

    async def _read_vm_list(self) -> bool:
        try:
            vms = await self._platform.list_vms()
        except PlatformUnavailableError as err:
            self._log_unavailable(err)
            return False
        self._apply_vm_list(vms)
        return True

    def _apply_vm_list(self, vms: VmList) -> None:
        routers = [
            (vm.id, Address(vm.address, vm.control_port))
            for vm in vms.vms
            if vm.role is VmRole.ROUTER and vm.control_port
        ]
        if routers:
            self._control.membership.apply_router_addresses(routers)
        self._control.apply_vm_list(
            [
                to_listed_upstream(vm, vm.service)
                for vm in vms.vms
                if vm.role is VmRole.UPSTREAM and vm.service is not None
            ],
            made_at_ms=int(vms.as_of * 1000),
            source="platform",
        )

    async def poll_loads(self) -> None:
        """Polls the replicas that this router is responsible for until cancelled."""
        due_at: dict[ReplicaId, float] = {}
        failures: dict[ReplicaId, int] = {}
        while True:
            now = time.monotonic()
            replicas = self._board.upstreams.replicas
            for replica in list(replicas.values()):
                replica_id = replica.replica_id
                if (
                    replica_id in self._active_polls
                    or now < due_at.get(replica_id, 0.0)
                    or not self._is_responsible(replica_id, replica.zone)
                ):
                    continue
                delay = self._find_load_delay(failures.get(replica_id, 0))
                due_at[replica_id] = now + delay
                self._active_polls.add(replica_id)
                # The task ends at the latest with the timeout of the request.
                await curio.spawn(self._poll_load, replica, failures, daemon=True)
            for replica_id in due_at.keys() - replicas.keys():
                del due_at[replica_id]
                failures.pop(replica_id, None)
            await curio.sleep(_CHECK_INTERVAL_SECONDS)

    def _find_load_delay(self, failures: int) -> float:
        interval = self._options.load_poll_interval
        if not failures:
            return interval
        delay = min(
            interval * 2.0 ** min(failures - 1, 16), self._options.probe_max_delay
        )
        return delay * self._rng.uniform(0.5, 1.0)

    async def _poll_load(
        self, replica: Replica, failures: dict[ReplicaId, int]
    ) -> None:
        replica_id, address = replica.replica_id, replica.address
        try:
            load = await self._read_load(address)
        except (OSError, ValueError, RecursionError) as err:
            failures[replica_id] = failures.get(replica_id, 0) + 1
            _LOG.debug("reading the load report of %s failed: %s", replica_id, err)
            return
        except Exception:
            failures[replica_id] = failures.get(replica_id, 0) + 1
            _LOG.exception("load report not read", extra={"upstream": replica_id})
            return
        finally:
            self._active_polls.discard(replica_id)
        failures.pop(replica_id, None)
        upstreams = self._board.upstreams
        if replica.address != address or replica_id not in upstreams.replicas:
            # The VM list changed the address or dropped the replica during the read.
            return
        if upstreams.record_load(replica_id, load, time.monotonic()):
            self._control.announce_leaving([replica])
        self._control.share_load(replica_id, load)

    async def _read_load(self, address: Address) -> LoadReport:
        response, body = await exchange(
            address, "GET", "/v1/load", timeout=self._options.connect_timeout
        )
        if response.status != 200:
            raise ValueError(f"the upstream answered with status {response.status}")
        document = _LoadDocument.model_validate(json.loads(body))
        return LoadReport(
            incarnation=document.incarnation,
            slots=document.slots,
            running=document.running,
            queued=document.queued,
            token_rate=document.token_rate,
            is_leaving=document.leaving,
        )


def to_listed_upstream(vm: Vm, service: str) -> ListedUpstream:
    """Converts an upstream VM of the platform's list."""
    return ListedUpstream(
        vm.id, service, vm.zone, vm.to_address(), vm.state is VmState.LEAVING
    )
