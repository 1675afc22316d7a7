"""Start-up of a process, and reloading of the fleet keys while it runs."""

import time

import anyio

from catkinfork.observability import log_event
from catkinfork.processes._events import KEY_FILE_FAILED, KEYS_CHANGED, PROCESS_READY
from catkinfork.protocol import DocumentRequest, KeyFileError

KEY_FILE_INTERVAL_S = 2.0
MAX_PEERS_PER_ROUND = 3
DOCUMENT_REQUEST_INTERVAL_S = 0.3


async def become_ready(process):
    """Request the document from peers, then mark the process as started.

    Peers are contacted at least once, and further ones while no document is in force.
    The process is marked as started when the start-up wait is over and a document,
    from a peer or from the configuration service, is in force.
    """
    contacted = set()
    last_request_at = float("-inf")
    while process.configuration.view is None or compute_remaining_wait(process) > 0:
        is_due = time.monotonic() - last_request_at >= DOCUMENT_REQUEST_INTERVAL_S
        if is_due and (process.configuration.view is None or not contacted):
            chosen = choose_peers(process, contacted)
            contacted.update(chosen)
            last_request_at = time.monotonic() if chosen else last_request_at
            request = DocumentRequest(*process.configuration.identity)
            for address in chosen:
                process.transport.send(address, request)
        await anyio.sleep(min(0.05, max(compute_remaining_wait(process), 0.01)))
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


def choose_peers(process, contacted):
    """Return a random sample of the routers that have not been contacted yet.

    A document may have 1 MB, so requesting it from all routers at once would transfer
    hundreds of megabytes at each start.
    """
    routers = set(process.list_routers()) - contacted - {process.fleet.address}
    return process.rng.sample(sorted(routers), min(MAX_PEERS_PER_ROUND, len(routers)))


def compute_remaining_wait(process):
    """Return the remaining start-up wait in seconds."""
    waited = time.monotonic() - process.started_at
    return process.settings.platform.startup_wait_s - waited


async def watch_keys(process):
    """Reload the key file when it changes."""
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
