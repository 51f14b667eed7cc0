"""Client of the platform: table and VM list."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..bounds import Host, Identifier, Name, Port, describe_invalid
from ..errors import PlatformUnavailableError, VersionConflictError
from ..types import Address, VmRole, VmState
from .http_client import exchange

_LOG = logging.getLogger(__name__)

MAX_TIME_SECONDS = 1e11

_RESULT_BY_STATUS = {200: "ok", 404: "absent", 409: "conflict", 429: "rate-limited"}


@dataclass(frozen=True, slots=True)
class TableEntry:
    """A value in the table and its version; version 0 means that the key is absent."""

    version: int
    value: Any


class Vm(BaseModel):
    """One entry of the platform's VM list."""

    model_config = ConfigDict(frozen=True)

    id: Identifier
    role: VmRole
    zone: Name
    address: Host
    port: Port
    control_port: Port | None = None
    service: Name | None = None
    state: VmState = VmState.LIVE

    def to_address(self) -> Address:
        """Returns the address at which the VM serves requests."""
        return Address(self.address, self.port)


class VmList(BaseModel):
    """The platform's list of live and leaving VMs, which lags behind their state."""

    as_of: float
    vms: tuple[Vm, ...]


class _RawVmList(BaseModel):
    """The list before its entries are checked one by one."""

    as_of: float = Field(ge=0, lt=MAX_TIME_SECONDS)
    vms: list[Any]


class PlatformClient:
    """Client of the platform; after every failure the effect is unknown.

    Attributes:
        reads: Number of reads that were started.
        writes: Number of writes that were started.
    """

    def __init__(
        self,
        address: Address,
        *,
        timeout: float,
        observe: Callable[[str, str], None] | None = None,
    ) -> None:
        """Initialises the client.

        Args:
            address: Address of the platform.
            timeout: Seconds after which a request fails.
            observe: Called after each request with the operation and its result.
        """
        self._address = address
        self._timeout = timeout
        self._observe = observe or (lambda operation, result: None)
        self.reads = 0
        self.writes = 0
        self._invalid_ids: Collection[str] = ()

    async def _send_request(
        self, operation: str, method: str, path: str, body: bytes = b""
    ) -> Any:
        try:
            response, data = await exchange(
                self._address, method, path, body=body, timeout=self._timeout
            )
        except OSError as err:
            self._observe(operation, "unavailable")
            raise PlatformUnavailableError(
                f"{method} {path} at {self._address}: {err}; read the value "
                "back before trying again"
            ) from err
        self._observe(operation, _RESULT_BY_STATUS.get(response.status, "unavailable"))
        return response.status, data

    async def read(self, key: str) -> TableEntry:
        """Reads a key; an absent key has version 0.

        Raises:
            PlatformUnavailableError: If the platform does not answer.
        """
        self.reads += 1
        status, data = await self._send_request(
            "table-read", "GET", f"/table/{quote(key)}"
        )
        if status == 404:
            return TableEntry(0, None)
        self._check_status(status, f"read of {key!r}")
        try:
            document = json.loads(data)
            return TableEntry(int(document["version"]), document["value"])
        except (
            ValueError,
            KeyError,
            TypeError,
            OverflowError,
            RecursionError,
        ) as err:
            raise PlatformUnavailableError(
                f"the answer to the read of {key!r} is invalid: {err!r}"
            ) from err

    async def write(self, key: str, value: Any, *, expected_version: int) -> int:
        """Writes a key if its version is the expected one (0: absent).

        Returns:
            The new version.

        Raises:
            PlatformUnavailableError: If the effect of the write is unknown.
            VersionConflictError: If the key has another version.
        """
        self.writes += 1
        body = json.dumps({"value": value, "expected_version": expected_version})
        status, data = await self._send_request(
            "table-write", "PUT", f"/table/{quote(key)}", body.encode()
        )
        if status == 409:
            document = json.loads(data)
            raise VersionConflictError(
                f"{key!r} has version {document['version']}, not "
                f"{expected_version}; read it and decide again",
                version=document["version"],
                value=document["value"],
            )
        self._check_status(status, f"write of {key!r}")
        version: int = json.loads(data)["version"]
        return version

    async def list_vms(self) -> VmList:
        """Reads the VM list.

        Raises:
            PlatformUnavailableError: If the platform does not answer, or its answer
                is not a valid list.
        """
        self.reads += 1
        status, data = await self._send_request("list-read", "GET", "/vms")
        self._check_status(status, "read of the VM list")
        try:
            raw_list = _RawVmList.model_validate(json.loads(data))
        except ValidationError as err:
            raise PlatformUnavailableError(
                f"the VM list is invalid: {describe_invalid(err)}"
            ) from err
        except (ValueError, RecursionError) as err:
            raise PlatformUnavailableError("the VM list is not JSON") from err
        vms = []
        invalid: dict[str, str] = {}
        for entry in raw_list.vms:
            try:
                vms.append(Vm.model_validate(entry))
            except ValidationError as err:
                key = entry.get("id") if isinstance(entry, dict) else None
                invalid[f"{key!r:.80}"] = describe_invalid(err)
        self._report_invalid(invalid)
        return VmList(as_of=raw_list.as_of, vms=tuple(vms))

    def _report_invalid(self, details: dict[str, str]) -> None:
        """Logs the first invalid entry when others are invalid than before."""
        if details and details.keys() != self._invalid_ids:
            name, detail = next(iter(details.items()))
            _LOG.warning(
                "invalid VM entries not used",
                extra={"upstream": name, "detail": detail, "left_out": len(details)},
            )
        self._invalid_ids = details.keys()

    def _check_status(self, status: int, description: str) -> None:
        if status != 200:
            raise PlatformUnavailableError(
                f"{description} at {self._address}: status {status}; try again later"
            )
