"""Reloading of the settings file while the router runs."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel

from ..errors import SettingsError
from ..settings import RouterSettings, read_settings

_LOG = logging.getLogger(__name__)
_ModelT = TypeVar("_ModelT", bound=BaseModel)

RELOADED_FIELDS = frozenset({"limits", "log_level"})
"""Settings that take effect on reload; a change of any other one needs a restart."""

RELOADED_GATEWAY_FIELDS = frozenset(
    {
        "repeats",
        "revocation_limit",
        "leaving_bound",
        "configuration_bound",
        "grace",
        "busy_fraction",
    }
)
"""Gateway settings that take effect on reload."""


class SettingsFile:
    """The settings file of a router and the settings in force.

    Attributes:
        settings: Settings in force: those last read, without changes that need a
            restart.
    """

    def __init__(self, path: Path, settings: RouterSettings) -> None:
        self._path = path
        self.settings = settings
        self._fingerprint = self._read_fingerprint()

    def _read_fingerprint(self) -> tuple[int, int, int] | None:
        """Returns modification time, size and inode, or None if there is no file."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def is_changed(self) -> bool:
        """Returns whether the file has changed since it was last read."""
        return self._read_fingerprint() != self._fingerprint

    def reload(self, reason: str) -> RouterSettings | None:
        """Reads the file again.

        Fields that need a restart keep their values. An unreadable or invalid file
        changes nothing.

        Args:
            reason: What triggered the reload, for the log.

        Returns:
            The new settings in force, or None if they are unchanged.
        """
        self._fingerprint = self._read_fingerprint()
        try:
            new_settings = read_settings(self._path)
        except SettingsError as err:
            _LOG.error(
                "invalid settings file ignored",
                extra={"reason": reason, "detail": str(err)},
            )
            return None
        merged, restart_fields = _merge_settings(self.settings, new_settings)
        is_changed = merged != self.settings
        self.settings = merged
        detail = "new settings applied" if is_changed else "no setting changed"
        if restart_fields:
            detail += f"; a restart is needed to change: {', '.join(restart_fields)}"
        _LOG.info("settings file reloaded", extra={"reason": reason, "detail": detail})
        return merged if is_changed else None


def _merge_settings(
    old: RouterSettings, new: RouterSettings
) -> tuple[RouterSettings, list[str]]:
    """Merges the reloadable fields of the new settings into the old ones.

    A router keeps the interface that it serves, so adding or removing the gateway
    section needs a restart.

    Returns:
        The merged settings, and the names of the changed fields that need a restart.
    """
    if old.gateway is None or new.gateway is None:
        return _merge_fields(old, new, RELOADED_FIELDS)
    gateway, restart_fields = _merge_fields(
        old.gateway, new.gateway, RELOADED_GATEWAY_FIELDS
    )
    merged, outer_restart_fields = _merge_fields(
        old, new.model_copy(update={"gateway": gateway}), RELOADED_FIELDS | {"gateway"}
    )
    return merged, outer_restart_fields + [f"gateway.{name}" for name in restart_fields]


def _merge_fields(
    old: _ModelT, new: _ModelT, names: frozenset[str]
) -> tuple[_ModelT, list[str]]:
    """Copies the named fields of the new model into a copy of the old one.

    Returns:
        The copy, and the names of the other fields that differ.
    """
    changed = [
        name
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    ]
    updates = {name: getattr(new, name) for name in changed if name in names}
    restart_fields = [name for name in changed if name not in names]
    return old.model_copy(update=updates), restart_fields
