"""Metrics of a process in the Prometheus exposition format."""

import time

from aioprometheus import Gauge, Registry, render


class MetricsRenderer:
    """Renders the metrics of a process with their values at the time of the scrape.

    :param process: process whose ``list_metrics`` yields
        ``(name, help, labels, value)``.
    """

    def __init__(self, process):
        self.process = process

    def render(self, accepts):
        """Return the body and headers of the response to a scrape.

        :param accepts: values of the ``Accept`` header.
        """
        registry = Registry()
        gauges = {}
        for name, text, labels, value in self.process.list_metrics():
            if name not in gauges:
                gauges[name] = Gauge(name, text, registry=registry)
            gauges[name].set(labels, value)
        return render(registry, accepts)


def list_common_metrics(process):
    """Yield ``(name, help, labels, value)`` of the metrics common to all processes.

    :param process: :class:`BaseProcess`.
    """
    for entry in process.transport.list_traffic():
        labels = {"message": entry.message, "direction": entry.direction}
        yield (
            "catkinfork_messages",
            "Inner messages since the start, by type",
            labels,
            entry.n_messages,
        )
        yield (
            "catkinfork_messages_bytes",
            "Bytes of inner messages since the start, by type",
            labels,
            entry.n_bytes,
        )
    yield (
        "catkinfork_messages_dropped",
        "Inner messages dropped at the sender since the start",
        {},
        process.transport.n_dropped,
    )
    identity = process.build_sender()
    yield (
        "catkinfork_document_version",
        "Version of the document in force",
        {"digest": identity.digest[:12]},
        identity.version,
    )
    yield (
        "catkinfork_ready",
        "Whether the process takes work",
        {},
        int(process.is_ready()),
    )
    yield (
        "catkinfork_processor_seconds",
        "Processor time since the start in seconds",
        {},
        time.process_time(),
    )
    for number, count in sorted(process.log.n_events.items()):
        yield (
            "catkinfork_events",
            "Log events since the start, by number",
            {"event": str(number)},
            count,
        )
