"""Sequoiamoor: a fleet of request routers that shares upstreams fairly."""

from __future__ import annotations

from .declaration import (
    ClassDeclaration,
    Declaration,
    OrganisationDeclaration,
    ServiceDeclaration,
    parse_declaration,
    read_declaration,
)
from .errors import RefusalError, SequoiamoorError, SettingsError
from .options import Options
from .settings import RouterSettings, read_settings
from .types import Address, Execution, ServiceKind

__all__ = [
    "Address",
    "ClassDeclaration",
    "Declaration",
    "Execution",
    "Options",
    "OrganisationDeclaration",
    "RefusalError",
    "RouterSettings",
    "SequoiamoorError",
    "ServiceDeclaration",
    "ServiceKind",
    "SettingsError",
    "parse_declaration",
    "read_declaration",
    "read_settings",
]
