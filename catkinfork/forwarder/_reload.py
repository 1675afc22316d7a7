"""Reloading of the settings file at run time."""

import os

import anyio

from catkinfork.forwarding import SETTINGS_RELOADED
from catkinfork.observability import log_event
from catkinfork.settings import ForwarderSettings, read_settings

# Interval between checks of the settings file, which may change without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsFile:
    """A settings file that is watched for changes.

    :param path: path of the file.
    """

    def __init__(self, path):
        self.path = path
        self.last_stat = self.read_file_stat()

    def read_file_stat(self):
        """Return modification time, size and inode, or None if there is no file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def has_changed(self):
        """Return whether the file has changed since the last call."""
        file_stat = self.read_file_stat()
        if file_stat == self.last_stat:
            return False
        self.last_stat = file_stat
        return file_stat is not None


async def reload_on_change(process):
    """Reload the settings when the file changes."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        if process.settings_file.has_changed():
            reload_settings(process)


def reload_settings(process):
    """Read the settings and apply them, unless they are invalid."""
    result = read_settings(process.settings_file.path, ForwarderSettings)
    faults = result.err() or []
    changed = []
    if result.is_ok():
        before = process.settings
        changed = [
            name
            for name, section in result.ok_value._asdict().items()
            if section != getattr(before, name)
        ]
        process.apply_settings(result.ok_value)
    process.log.write(
        log_event(
            SETTINGS_RELOADED,
            n_faults=len(faults),
            first_fault=faults[0].describe() if faults else "",
            changed=",".join(changed),
        )
    )
