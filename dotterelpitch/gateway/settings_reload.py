"""Reloads the platform's settings file, on a signal or when it changes."""

import os
from collections.abc import Callable

import attrs

from dotterelpitch.errors import SettingsError
from dotterelpitch.platform.vm_settings import read_vm_settings
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.vm_settings import VmSettings

# Fields that a running process can apply; the others take effect at the next start.
RELOADABLE_FIELDS = frozenset({"seeds", "store_address", "promises"})

ApplySettings = Callable[[VmSettings], None]


class SettingsReloader:
    """Passes changed settings to ``apply``; an invalid file changes nothing."""

    def __init__(self, path: str, current: VmSettings, apply: ApplySettings) -> None:
        self._path = path
        self._current = current
        self._apply = apply
        self._file_version = self._read_file_version()

    def check(self) -> None:
        """Reload the file if it has changed since it was last read."""
        if self._read_file_version() != self._file_version:
            self.reload()

    def reload(self) -> None:
        """Read the file and apply it; log the fields that need a restart."""
        self._file_version = self._read_file_version()
        try:
            new = read_vm_settings(self._path)
        except SettingsError as error:
            log_event(Event.SETTINGS_KEPT, reason=str(error))
            return
        changed = _changed_fields(self._current, new)
        self._current = new
        self._apply(new)
        log_event(
            Event.SETTINGS_RELOADED,
            changed=sorted(changed),
            needs_restart=sorted(changed - RELOADABLE_FIELDS),
        )

    def _read_file_version(self) -> tuple[int, int] | None:
        """Return the modification time and size of the file; None if it is missing."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def _changed_fields(old: VmSettings, new: VmSettings) -> set[str]:
    names = [field.name for field in attrs.fields(VmSettings)]
    return {name for name in names if getattr(old, name) != getattr(new, name)}
