"""Metrics of a process, rendered by aioprometheus."""

from aioprometheus import Gauge, Registry, render


class MetricSet:
    """Gauges that are filled when they are read.

    :param process: process whose ``list_metrics`` yields
        ``(name, help, labels, value)``.
    """

    def __init__(self, process):
        self.process = process

    def render(self, accepts):
        """Return body and headers of the exposition.

        :param accepts: values of the ``Accept`` header.
        """
        registry = Registry()
        gauges = {}
        for name, text, labels, value in self.process.list_metrics():
            if name not in gauges:
                gauges[name] = Gauge(name, text, registry=registry)
            gauges[name].set(labels, value)
        return render(registry, accepts)
