"""Changes of the settings file while the process runs."""

import os
import signal

import anyio

from catkinfork.forwarding import SETTINGS_RELOADED
from catkinfork.observability import log_event
from catkinfork.settings import ForwarderSettings, read_settings

# The file may change without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsFile:
    """The settings file of a process.

    :param path: its path.
    """

    def __init__(self, path):
        self.path = path
        self.seen = self.read_mark()

    def read_mark(self):
        """Return what changes whenever the file is written, or None without a file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def has_changed(self):
        """Return whether the file has been written since the last call."""
        mark = self.read_mark()
        if mark == self.seen:
            return False
        self.seen = mark
        return mark is not None


async def watch_hangups(process):
    """Read the settings again on SIGHUP."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            process.settings_file.has_changed()
            reload_settings(process)


async def watch_file(process):
    """Read the settings again when the file has changed."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        if process.settings_file.has_changed():
            reload_settings(process)


def reload_settings(process):
    """Read the settings and take up what may change; faults change nothing."""
    read = read_settings(process.settings_file.path, ForwarderSettings)
    faults = read.err() or []
    changed = []
    if read.is_ok():
        before = process.settings
        changed = [
            name
            for name, section in read.ok_value._asdict().items()
            if section != getattr(before, name)
        ]
        process.take_settings(read.ok_value)
    process.log.write(
        log_event(
            SETTINGS_RELOADED,
            n_faults=len(faults),
            first_fault=faults[0].describe() if faults else "",
            changed=",".join(changed),
        )
    )
