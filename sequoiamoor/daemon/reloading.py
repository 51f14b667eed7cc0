"""Settings files that change while the router runs."""

from __future__ import annotations

import logging
from pathlib import Path

from ..errors import SettingsError
from ..settings import RouterSettings, read_settings

_LOG = logging.getLogger(__name__)

FIXED_FIELDS = (
    "router_id",
    "zone",
    "http",
    "control",
    "platform",
    "peers",
    "policy",
    "seed",
    "fault_injection",
    "options",
)
"""Fields that a running router keeps; a change of them needs a restart."""

FIXED_GATEWAY_FIELDS = ("ready", "metrics", "connections")


class SettingsFile:
    """The settings file of a router, and the settings last read from it.

    Attributes:
        settings: The settings in force.
    """

    def __init__(self, path: Path, settings: RouterSettings) -> None:
        self._path = path
        self.settings = settings
        self._stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int, int] | None:
        """Returns what tells one state of the file from another, None without it."""
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def is_changed(self) -> bool:
        """Returns whether the file differs from the one that was read last."""
        return self._read_stamp() != self._stamp

    def reload(self, reason: str) -> RouterSettings | None:
        """Reads the file again.

        Fields that need a restart keep their values. A file that cannot be read
        changes nothing.

        Args:
            reason: What led to it, for the log.

        Returns:
            The new settings, or None if nothing is to be changed.
        """
        self._stamp = self._read_stamp()
        try:
            found = read_settings(self._path)
        except SettingsError as err:
            _LOG.error(
                "settings are invalid", extra={"reason": reason, "detail": str(err)}
            )
            return None
        merged, kept = _merge(self.settings, found)
        is_changed = merged != self.settings
        self.settings = merged
        detail = "settings in force changed" if is_changed else "nothing changed"
        if kept:
            detail += f"; a restart is needed for: {', '.join(kept)}"
        _LOG.info("settings file read", extra={"reason": reason, "detail": detail})
        return merged if is_changed else None


def _merge(
    old: RouterSettings, new: RouterSettings
) -> tuple[RouterSettings, list[str]]:
    """Returns the new settings with the fixed fields of the old ones, and their names.

    A router keeps the interface that it serves, so a gateway section that appears or
    goes counts as a fixed field.
    """
    kept = [name for name in FIXED_FIELDS if getattr(old, name) != getattr(new, name)]
    merged = new.model_copy(update={name: getattr(old, name) for name in kept})
    if old.gateway is None or new.gateway is None:
        if old.gateway != new.gateway:
            kept.append("gateway")
        return merged.model_copy(update={"gateway": old.gateway}), kept
    fixed = [
        name
        for name in FIXED_GATEWAY_FIELDS
        if getattr(old.gateway, name) != getattr(new.gateway, name)
    ]
    gateway = new.gateway.model_copy(
        update={name: getattr(old.gateway, name) for name in fixed}
    )
    kept += [f"gateway.{name}" for name in fixed]
    return merged.model_copy(update={"gateway": gateway}), kept
