"""Fault injection over HTTP, enabled by the setting ``fault_injection``."""

from __future__ import annotations

import json
import logging

from pydantic import BaseModel, ConfigDict, ValidationError

from ..net.http import Request
from ..net.http_server import ServerConnection
from ..net.reachability import REACHABILITY

_LOG = logging.getLogger(__name__)
_PATH = "/debug/partition"


class PartitionRequest(BaseModel):
    """Body of a request that sets the blocked address prefixes.

    Attributes:
        prefixes: Prefixes of the addresses that the router must not reach.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    prefixes: tuple[str, ...]


class DebugPages:
    """Handles requests for fault injection."""

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        if is_enabled:
            REACHABILITY.enable()

    def __contains__(self, path: object) -> bool:
        return self._is_enabled and path == _PATH

    async def send(self, connection: ServerConnection, request: Request) -> None:
        """Blocks exactly the prefixes in the request; an empty list unblocks all."""
        try:
            wanted = PartitionRequest.model_validate_json(request.body)
        except ValidationError as err:
            body = json.dumps({"code": "request-malformed", "message": str(err)})
            await connection.send_response(
                400, {"content-type": "application/json"}, body.encode()
            )
            return
        REACHABILITY.block(wanted.prefixes)
        _LOG.warning(
            "blocked address prefixes set by fault injection",
            extra={"reason": ",".join(wanted.prefixes)},
        )
        body = json.dumps({"prefixes": wanted.prefixes})
        await connection.send_response(
            200, {"content-type": "application/json"}, body.encode()
        )
