"""Counters and latency histograms of a forwarder."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0)


class ForwarderMetrics:
    """Metrics that are counted while requests are served, and gauges at the scrape."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self.build(
            Counter, "requests_total", "Requests by service, workspace and outcome"
        )
        self.attempts = self.build(
            Counter, "attempts_ended_total", "Attempts by service and outcome"
        )
        self.waits = self.build_histogram(
            "wait_seconds", "Time until a request is placed"
        )
        self.firsts = self.build_histogram(
            "first_event_seconds", "Time until the first byte of the response body"
        )
        self.totals = self.build_histogram(
            "request_seconds", "Time until the response is complete"
        )
        self.gauges = {}

    def build(self, metric_type, name, text):
        """Return a new registered metric."""
        return metric_type(f"catkinfork_{name}", text, registry=self.registry)

    def build_histogram(self, name, text):
        """Return a new registered latency histogram."""
        return Histogram(
            f"catkinfork_{name}",
            text,
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )

    def note_attempt(self, service, outcome):
        """Count an attempt that has ended."""
        self.attempts.inc({"service": service, "outcome": outcome})

    def note_request(self, exchange, outcome, now):
        """Count a request that has ended."""
        job = exchange.job
        service = job.service if job else ""
        workspace = job.workspace if job else ""
        self.requests.inc(
            {
                "service": service,
                "workspace": workspace,
                "outcome": outcome,
                "status": str(exchange.status),
            }
        )
        if job is None:
            return
        labels = {"service": service}
        arrived_at = exchange.request.received_at
        self.totals.observe(labels, now - arrived_at)
        if exchange.placed_at is not None:
            self.waits.observe(labels, exchange.placed_at - arrived_at)
        if exchange.first_at is not None:
            self.firsts.observe(labels, exchange.first_at - arrived_at)

    def set_gauge(self, name, text, labels, value):
        """Set a gauge for the scrape that follows."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = self.build(Gauge, name, text)
        gauge.set(labels, value)

    def render(self, accepts):
        """Return body and headers of the exposition.

        :param accepts: values of the ``Accept`` header.
        """
        return render(self.registry, accepts)
