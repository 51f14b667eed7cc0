"""Settings files that change while the router runs."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel

from ..errors import SettingsError
from ..settings import RouterSettings, read_settings

_LOG = logging.getLogger(__name__)
_M = TypeVar("_M", bound=BaseModel)

RELOADED_FIELDS = frozenset({"limits", "log_level"})
"""Fields that a running router takes up; a change of any other one needs a restart."""

RELOADED_GATEWAY_FIELDS = frozenset(
    {"repeats", "revocation_limit", "leaving_bound", "configuration_bound", "grace"}
)


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
    """Returns the old settings with the fields that can change, and the other changes.

    A router keeps the interface that it serves, so a gateway section that appears or
    goes needs a restart.
    """
    if old.gateway is None or new.gateway is None:
        return _take(old, new, RELOADED_FIELDS)
    gateway, kept = _take(old.gateway, new.gateway, RELOADED_GATEWAY_FIELDS)
    merged, kept_above = _take(
        old, new.model_copy(update={"gateway": gateway}), RELOADED_FIELDS | {"gateway"}
    )
    return merged, kept_above + [f"gateway.{name}" for name in kept]


def _take(old: _M, new: _M, names: frozenset[str]) -> tuple[_M, list[str]]:
    """Returns a copy of the old model with some fields of the new one.

    The names of other fields that differ come with it.
    """
    changed = [
        name
        for name in type(old).model_fields
        if getattr(old, name) != getattr(new, name)
    ]
    taken = {name: getattr(new, name) for name in changed if name in names}
    kept = [name for name in changed if name not in names]
    return old.model_copy(update=taken), kept
