"""Descriptor budget of a router: from its settings and the limit of its process."""

from __future__ import annotations

import logging
import resource
import sys

from ..core.descriptors import (
    DescriptorBudget,
    build_wanted_budget,
    describe_remedy,
    fit_budget,
)
from ..settings import RouterSettings

_LOG = logging.getLogger(__name__)


def find_descriptor_limit(settings: RouterSettings) -> int:
    """Returns how many descriptors the process may open.

    The limit of the settings counts if it is lower than that of the process.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = sys.maxsize
    return min(soft_limit, settings.descriptors or sys.maxsize)


def build_budgets(settings: RouterSettings) -> tuple[DescriptorBudget, int]:
    """Returns the budget that the settings ask for, and the limit.

    The budget may be over the limit.
    """
    gateway = settings.gateway
    wanted = build_wanted_budget(
        callers=settings.limits.connections if gateway is None else gateway.connections,
        upstreams=settings.options.upstream_connections,
        is_on_platform=gateway is not None,
    )
    return wanted, find_descriptor_limit(settings)


def describe_budget(settings: RouterSettings) -> str:
    """Returns the sum of the descriptors, and the remedy if the limit is too low.

    Raises:
        SettingsError: If a router would not start with them.
    """
    wanted, limit = build_budgets(settings)
    budget = fit_budget(wanted, limit)
    if budget == wanted:
        return f"descriptors: {budget}, limit {limit}"
    return (
        f"descriptors: {budget}, limit {limit}: connections are reduced; "
        f"{describe_remedy(wanted)}"
    )


def fit_settings(settings: RouterSettings) -> tuple[RouterSettings, DescriptorBudget]:
    """Reduces the connections in the settings to the descriptors that there are.

    Returns:
        The settings and the budget.

    Raises:
        SettingsError: If too little would be left for callers or upstreams.
    """
    wanted, limit = build_budgets(settings)
    budget = fit_budget(wanted, limit)
    if budget != wanted:
        _LOG.warning(
            "descriptor limit reduces connections",
            extra={"detail": f"limit {limit}: {budget}; {describe_remedy(wanted)}"},
        )
    callers = {"connections": budget.callers}
    updates: dict[str, object] = {
        "limits": settings.limits.model_copy(update=callers),
        "options": settings.options.model_copy(
            update={"upstream_connections": budget.upstreams}
        ),
    }
    if settings.gateway is not None:
        updates["gateway"] = settings.gateway.model_copy(update=callers)
    return settings.model_copy(update=updates), budget
