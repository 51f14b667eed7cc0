"""Sequoiamoor: a fleet of request routers that shares upstreams fairly."""

from __future__ import annotations

from .core.blackboard import Blackboard, create_blackboard
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
from .policies import Policy, create_policy
from .settings import RouterSettings, read_settings
from .types import Address, CallRequest, Execution, RouterIdentity, ServiceKind

__all__ = [
    "Address",
    "Blackboard",
    "CallRequest",
    "ClassDeclaration",
    "Declaration",
    "Execution",
    "Options",
    "OrganisationDeclaration",
    "Policy",
    "RefusalError",
    "RouterIdentity",
    "RouterSettings",
    "SequoiamoorError",
    "ServiceDeclaration",
    "ServiceKind",
    "SettingsError",
    "create_blackboard",
    "create_policy",
    "parse_declaration",
    "read_declaration",
    "read_settings",
]
