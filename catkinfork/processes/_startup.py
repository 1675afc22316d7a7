"""Start of a process, and the fleet keys it reads again while it runs."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.processes._events import KEY_FILE_FAILED, KEYS_CHANGED, PROCESS_READY
from catkinfork.protocol import DocumentRequest, KeyFileError

KEY_FILE_INTERVAL_S = 2.0
N_ASKED_AT_ONCE = 3
ASK_INTERVAL_S = 0.3


async def become_ready(process):
    """Ask service and peers for a document, then take work."""
    asked = set()
    asked_at = float("-inf")
    while process.configuration.view is None or wait_left(process) > 0:
        is_due = time.monotonic() - asked_at >= ASK_INTERVAL_S
        if is_due and (process.configuration.view is None or not asked):
            chosen = choose_peers(process, asked)
            asked.update(chosen)
            asked_at = time.monotonic() if chosen else asked_at
            request = DocumentRequest(*process.configuration.identity)
            for address in chosen:
                process.transport.send(address, request)
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


def choose_peers(process, asked):
    """Return a few routers that have not been asked for the document yet.

    A document may have 1 MB, so that asking all routers would cost hundreds of
    megabytes at each start.
    """
    routers = set(process.list_routers()) - asked - {process.fleet.address}
    return process.rng.sample(sorted(routers), min(N_ASKED_AT_ONCE, len(routers)))


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
