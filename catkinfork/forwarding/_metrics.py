"""Counters and latency histograms of a forwarder."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0)


class ForwarderMetrics:
    """Counters and histograms of requests, and gauges that are set at each scrape."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self.build(
            Counter, "requests_total", "Requests by service, workspace and outcome"
        )
        self.attempts = self.build(
            Counter, "attempts_ended_total", "Attempts by service and outcome"
        )
        self.wait_times = self.build_histogram(
            "wait_seconds", "Time until a request is placed"
        )
        self.first_data_times = self.build_histogram(
            "first_event_seconds", "Time until the first byte of the response body"
        )
        self.request_times = self.build_histogram(
            "request_seconds", "Time until the response is complete"
        )
        self.gauges = {}

    def build(self, metric_type, name, help_text):
        """Create and register a metric."""
        return metric_type(f"catkinfork_{name}", help_text, registry=self.registry)

    def build_histogram(self, name, help_text):
        """Create and register a latency histogram."""
        return Histogram(
            f"catkinfork_{name}",
            help_text,
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )

    def record_attempt(self, service, outcome):
        """Record the outcome of an attempt."""
        self.attempts.inc({"service": service, "outcome": outcome})

    def record_request(self, exchange, outcome, now):
        """Record the outcome and the latencies of a request."""
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
        self.request_times.observe(labels, now - arrived_at)
        if exchange.placed_at is not None:
            self.wait_times.observe(labels, exchange.placed_at - arrived_at)
        if exchange.first_data_at is not None:
            self.first_data_times.observe(labels, exchange.first_data_at - arrived_at)

    def set_gauge(self, name, help_text, labels, value):
        """Set a gauge before a scrape."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = self.build(Gauge, name, help_text)
        gauge.set(labels, value)

    def clear_gauge(self, name):
        """Remove the values of a gauge, whose labels name what may be gone by now."""
        if name in self.gauges:
            self.gauges[name].values.clear()

    def render(self, accepts):
        """Return the body and the headers of the exposition.

        :param accepts: values of the ``Accept`` header.
        """
        return render(self.registry, accepts)
