"""Prometheus metrics of a router."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LIMIT_ERROR_CODES = (
    "headers-too-large",
    "body-too-large",
    "request-timeout",
    "too-many-connections",
    "queue-full",
)


class Metrics:
    """Metrics of one router, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "sequoiamoor_calls",
            "Calls that received a complete answer.",
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
            "Second and later attempts by the error code of the attempt before.",
            ["code"],
            registry=self.registry,
        )
        # The refusals by limits of the caller interface are exported from the start, so
        # that a limit that was never reached shows as 0 and not as a missing series.
        for code in LIMIT_ERROR_CODES:
            self.refusals.labels(code)
        self.callers_gone = Counter(
            "sequoiamoor_callers_gone",
            "Calls whose caller closed the connection before the answer was complete.",
            registry=self.registry,
        )
        self.callers_slow = Counter(
            "sequoiamoor_callers_slow",
            "Calls whose caller read no data during the whole send timeout.",
            registry=self.registry,
        )
        self.attempts_cancelled = Counter(
            "sequoiamoor_attempts_cancelled",
            "Attempts whose late answer is dropped because the caller disconnected.",
            registry=self.registry,
        )
        self.mismatches = Counter(
            "sequoiamoor_answer_mismatches",
            "Upstream answers or parts of them that belong to no attempt in progress.",
            registry=self.registry,
        )
        self.pool_stale = Counter(
            "sequoiamoor_pool_stale_connections",
            "Idle upstream connections found closed, with unread bytes or too old.",
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
            "Repeated calls answered with the recorded answer of the first execution.",
            ["service", "organisation"],
            registry=self.registry,
        )
        self.record_ends = Counter(
            "sequoiamoor_record_ends",
            "At-most-once records by final state and whether it was written.",
            ["outcome"],
            registry=self.registry,
        )
        self.requests_cut = Counter(
            "sequoiamoor_requests_cut",
            "Requests in progress that a shutdown aborted, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.served = Counter(
            "sequoiamoor_served_units",
            "Work done, in service units.",
            ["service", "organisation"],
            registry=self.registry,
        )
        self.control_bytes = Counter(
            "sequoiamoor_control_bytes",
            "Bytes of messages between routers, without TCP and IP headers.",
            ["direction"],
            registry=self.registry,
        )
        self.control_messages = Counter(
            "sequoiamoor_control_messages",
            "Messages between routers.",
            ["direction"],
            registry=self.registry,
        )
        self.control_cpu = Counter(
            "sequoiamoor_control_cpu_seconds",
            "CPU time of the control tasks, in seconds.",
            registry=self.registry,
        )
        self.platform_operations = Counter(
            "sequoiamoor_platform_operations",
            "Operations at the platform by operation and result.",
            ["operation", "result"],
            registry=self.registry,
        )
        self.loop_lag = Gauge(
            "sequoiamoor_loop_lag_seconds",
            "Delay of the event loop in resuming a sleeping task, in seconds.",
            registry=self.registry,
        )
        self.members = Gauge(
            "sequoiamoor_members",
            "Routers that this router considers live, itself included.",
            registry=self.registry,
        )
        self.configurations_refused = Counter(
            "sequoiamoor_configurations_refused",
            "Configuration documents refused because they were invalid.",
            registry=self.registry,
        )
        self.control_protocol_errors = Counter(
            "sequoiamoor_control_protocol_errors",
            "Connections of routers closed because of an invalid message.",
            registry=self.registry,
        )
        self.task_failures = Counter(
            "sequoiamoor_task_failures",
            "Failures of background tasks, each of which is restarted.",
            ["task"],
            registry=self.registry,
        )
        self.fairness_gap_units = Gauge(
            "sequoiamoor_fairness_gap_units",
            "Largest difference in work done between two backlogged organisations.",
            ["service"],
            registry=self.registry,
        )
        self.fairness_gap_seconds = Gauge(
            "sequoiamoor_fairness_gap_seconds",
            "The fairness gap in seconds of the service's capacity.",
            ["service"],
            registry=self.registry,
        )
        self.utilisation = Gauge(
            "sequoiamoor_utilisation_ratio",
            "Fraction of the service's slots that is in use.",
            ["service"],
            registry=self.registry,
        )
        self.waiting = Gauge(
            "sequoiamoor_waiting_requests",
            "Requests that wait on this router.",
            registry=self.registry,
        )
        self.running = Gauge(
            "sequoiamoor_running_requests",
            "Requests with an attempt in progress.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "sequoiamoor_configuration_version",
            "Version of the configuration in force; 0 means none.",
            registry=self.registry,
        )
        self.first_token_seconds = Histogram(
            "sequoiamoor_first_token_seconds",
            "Time from arrival to the first part of the answer, in seconds.",
            ["class_name"],
            registry=self.registry,
        )

    def observe_platform(self, operation: str, result: str) -> None:
        """Counts an operation at the platform."""
        self.platform_operations.labels(operation, result).inc()
