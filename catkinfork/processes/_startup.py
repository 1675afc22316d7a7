"""Start of a process, and the fleet keys it reads again while it runs."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.processes._events import KEY_FILE_FAILED, KEYS_CHANGED, PROCESS_READY
from catkinfork.protocol import DocumentRequest, KeyFileError

KEY_FILE_INTERVAL_S = 2.0


async def become_ready(process):
    """Ask service and peers for a document, then take work."""
    asked = set()
    while process.configuration.view is None or wait_left(process) > 0:
        for address in set(process.list_routers()) - asked - {process.fleet.address}:
            asked.add(address)
            process.transport.send(address, DocumentRequest(0, ""))
        await anyio.sleep(min(0.05, max(wait_left(process), 0.01)))
    process.has_started = True
    view = process.configuration.view
    process.log.write(
        log_event(
            PROCESS_READY,
            role=process.role,
            version=view.version,
            digest=view.digest[:12],
            waited_s=time.monotonic() - process.started_at,
        )
    )


def wait_left(process):
    """Return the rest of the start-up wait, in seconds."""
    waited = time.monotonic() - process.started_at
    return process.settings.platform.startup_wait_s - waited


async def watch_keys(process):
    """Read the key file again when it changes."""
    while True:
        await anyio.sleep(KEY_FILE_INTERVAL_S)
        try:
            if process.keys.load():
                key_id = process.keys.keys[0].key_id.hex()
                event = log_event(
                    KEYS_CHANGED,
                    signing_key_id=key_id,
                    n_keys=len(process.keys.keys),
                )
                process.log.write(event)
        except KeyFileError as error:
            process.log.write(log_event(KEY_FILE_FAILED, detail=str(error)))
