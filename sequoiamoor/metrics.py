"""Every Prometheus series of a router."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


class Metrics:
    """The series of one router, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "sequoiamoor_calls",
            "Calls that got a whole answer.",
            ["service", "organisation"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "sequoiamoor_refusals",
            "Refused requests by error code.",
            ["code"],
            registry=self.registry,
        )
        self.retries = Counter(
            "sequoiamoor_retries",
            "Second and later attempts by the code of the failure before.",
            ["code"],
            registry=self.registry,
        )
        self.retries_refused = Counter(
            "sequoiamoor_retries_refused",
            "Failed attempts that were not tried again, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.replays = Counter(
            "sequoiamoor_replayed_answers",
            "Repeated calls that got the kept answer of the first execution.",
            ["service", "organisation"],
            registry=self.registry,
        )
        self.record_ends = Counter(
            "sequoiamoor_record_ends",
            "At-most-once records by the end that was written or given up.",
            ["outcome"],
            registry=self.registry,
        )
        self.requests_cut = Counter(
            "sequoiamoor_requests_cut",
            "Requests under way that a shutdown cut, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.served = Counter(
            "sequoiamoor_served_units",
            "Work done, in service units.",
            ["service", "organisation"],
            registry=self.registry,
        )
        self.waiting = Gauge(
            "sequoiamoor_waiting_requests",
            "Requests that wait on this router.",
            registry=self.registry,
        )
        self.running = Gauge(
            "sequoiamoor_running_requests",
            "Requests with an attempt under way.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "sequoiamoor_configuration_version",
            "Version of the configuration in force; 0 means none.",
            registry=self.registry,
        )
        self.first_token_seconds = Histogram(
            "sequoiamoor_first_token_seconds",
            "Time from arrival to the first part of the answer.",
            ["class_name"],
            registry=self.registry,
        )
