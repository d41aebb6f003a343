"""Reloads the platform's settings file, on a signal or when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs

from dotterelpitch.errors import SettingsError
from dotterelpitch.platform.vm_settings import read_vm_settings
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.vm_settings import VmSettings

# Fields that a running process can apply; the others take effect at the next start.
RELOADABLE_FIELDS = frozenset({"seeds", "store_address", "promises"})

# A file may just be written as a process starts, so it has this long to be valid.
START_SECONDS = 1.0
START_POLL_SECONDS = 0.05

ApplySettings = Callable[[VmSettings], None]


class SettingsFile:
    """The settings file, and its content when it was last read.

    The content is compared, since neither the size nor the time of a file need change
    with it.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._content = b""

    def read(self) -> VmSettings:
        """Return the settings; raises SettingsError if the file is invalid."""
        # First, so that a change in between counts as one after the read.
        self._content = self._read_content()
        return read_vm_settings(self._path)

    async def read_at_start(self) -> VmSettings:
        """Return the settings once the file is valid.

        Raises SettingsError if it still isn't after ``START_SECONDS``.
        """
        for _ in range(int(START_SECONDS / START_POLL_SECONDS)):
            try:
                return self.read()
            except SettingsError:
                await asyncio.sleep(START_POLL_SECONDS)
        return self.read()

    def has_changed(self) -> bool:
        """Return whether the content has changed since the settings were read."""
        return self._read_content() != self._content

    def _read_content(self) -> bytes:
        """Return the bytes of the file; none if it can't be read."""
        try:
            return Path(self._path).read_bytes()
        except OSError:
            return b""


class SettingsReloader:
    """Passes changed settings to ``apply``; an invalid file changes nothing."""

    def __init__(
        self, file: SettingsFile, current: VmSettings, apply: ApplySettings
    ) -> None:
        self._file = file
        self._current = current
        self._apply = apply

    def check(self) -> None:
        """Reload the file if it has changed since it was last read."""
        if self._file.has_changed():
            self.reload()

    def reload(self) -> None:
        """Read the file and apply it; log the fields that need a restart."""
        try:
            new = self._file.read()
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


def _changed_fields(old: VmSettings, new: VmSettings) -> set[str]:
    names = [field.name for field in attrs.fields(VmSettings)]
    return {name for name in names if getattr(old, name) != getattr(new, name)}
