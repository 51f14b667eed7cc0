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


UPSTREAM_STATEMENTS = ("leaving", "turned-away", "unusable-time")


class Metrics:
    """Metrics of one router, in their own registry."""

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
        # The refusals by limits of the caller interface are exported from the start, so
        # that a limit that was never reached shows as 0 and not as a missing series.
        for code in LIMIT_ERROR_CODES:
            self.refusals.labels(code)
        self.callers_gone = Counter(
            "sequoiamoor_callers_gone",
            "Calls whose caller closed the connection before the answer was whole.",
            registry=self.registry,
        )
        self.caller_connections_ended = Counter(
            "sequoiamoor_caller_connections_ended",
            "Connections of callers that ended, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.caller_connections_cut = Counter(
            "sequoiamoor_caller_connections_cut",
            "Connections closed by this side, or failed, with a request in them, by "
            "reason.",
            ["reason"],
            registry=self.registry,
        )
        self.caller_connections_failed = Counter(
            "sequoiamoor_caller_connections_failed",
            "Connections of callers that failed, by error.",
            ["error"],
            registry=self.registry,
        )
        self.callers_slow = Counter(
            "sequoiamoor_callers_slow",
            "Calls whose caller read nothing for the send timeout.",
            registry=self.registry,
        )
        self.attempts_cancelled = Counter(
            "sequoiamoor_attempts_cancelled",
            "Attempts whose late answer is dropped because the caller is gone.",
            registry=self.registry,
        )
        self.exchanges_given_up = Counter(
            "sequoiamoor_exchanges_given_up",
            "Attempts that ended after the send and before the end of the answer.",
            ["connection"],
            registry=self.registry,
        )
        self.mismatches = Counter(
            "sequoiamoor_answer_mismatches",
            "Upstream answers or parts of them that belong to no present attempt.",
            registry=self.registry,
        )
        self.pool_stale = Counter(
            "sequoiamoor_pool_stale_connections",
            "Idle upstream connections found closed, with unread bytes or full.",
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
            "CPU time of control, in seconds.",
            registry=self.registry,
        )
        self.platform_operations = Counter(
            "sequoiamoor_platform_operations",
            "Operations at the platform by kind and result.",
            ["operation", "result"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "sequoiamoor_store_calls",
            "Calls to the platform's store by table and kind, answered or not.",
            ["table", "kind"],
            registry=self.registry,
        )
        self.loop_lag = Gauge(
            "sequoiamoor_loop_lag_seconds",
            "How late the loop came to a task that slept.",
            registry=self.registry,
        )
        self.upstream_view_age = Histogram(
            "sequoiamoor_upstream_view_age_seconds",
            "Time for which the list of upstreams may have been outdated at a send.",
            buckets=(0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 5.0),
            registry=self.registry,
        )
        self.start_to_send = Histogram(
            "sequoiamoor_start_to_send_seconds",
            "Time from the choice of an upstream to the send of the request.",
            buckets=(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0),
            registry=self.registry,
        )
        self.load_age = Histogram(
            "sequoiamoor_load_age_seconds",
            "At each send, age of the load of the upstream that its choice relied on.",
            ["source"],
            buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0),
            registry=self.registry,
        )
        self.load_reports = Counter(
            "sequoiamoor_load_reports",
            "Load reports of replicas: in answers, from peers, and sent to peers.",
            ["source"],
            registry=self.registry,
        )
        self.upstream_statements = Counter(
            "sequoiamoor_upstream_statements",
            "Statements of replicas about new requests, in their answers.",
            ["statement"],
            registry=self.registry,
        )
        for statement in UPSTREAM_STATEMENTS:
            self.upstream_statements.labels(statement)
        self.upstreams_out = Gauge(
            "sequoiamoor_upstreams_out",
            "Replicas that get no new requests since they or others said so.",
            ["reason"],
            registry=self.registry,
        )
        self.store_reader = Gauge(
            "sequoiamoor_store_reader",
            "Whether this router follows the store closely.",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "sequoiamoor_store_era",
            "Era that the store stated last; it rises with each restore from a copy.",
            registry=self.registry,
        )
        self.members = Gauge(
            "sequoiamoor_members",
            "Live routers that this router sees, itself included.",
            registry=self.registry,
        )
        self.configurations_refused = Counter(
            "sequoiamoor_configurations_refused",
            "Configuration documents that were invalid.",
            registry=self.registry,
        )
        self.replica_ends = Counter(
            "sequoiamoor_replica_ends",
            "Answers that the end of a replica's process broke off at their begin.",
            ["service"],
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            "sequoiamoor_quarantine_refusals",
            "Requests refused because of a prompt part under which replicas end.",
            ["service"],
            registry=self.registry,
        )
        self.quarantined_parts = Gauge(
            "sequoiamoor_quarantined_parts",
            "Prompt parts in quarantine that this router knows.",
            registry=self.registry,
        )
        self.control_protocol_errors = Counter(
            "sequoiamoor_control_protocol_errors",
            "Connections of routers that were closed because of a bad message.",
            registry=self.registry,
        )
        self.control_foreign_routers = Counter(
            "sequoiamoor_control_foreign_routers",
            "Connections of routers that were closed because they name another fleet.",
            registry=self.registry,
        )
        self.task_failures = Counter(
            "sequoiamoor_task_failures",
            "Faults of periodic tasks, which start again.",
            ["task"],
            registry=self.registry,
        )
        self.descriptors = Gauge(
            "sequoiamoor_descriptors",
            "Connections in use, by part of the descriptor budget.",
            ["use"],
            registry=self.registry,
        )
        self.descriptor_budget = Gauge(
            "sequoiamoor_descriptor_budget",
            "File descriptors that each use may take.",
            ["use"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "sequoiamoor_held_bytes",
            "Bytes held by kind; also the limits and peaks of their sums.",
            ["kind"],
            registry=self.registry,
        )
        self.held_bytes_refused = Gauge(
            "sequoiamoor_held_bytes_refused",
            "Requests and answers that found no room since the start.",
            ["kind"],
            registry=self.registry,
        )
        self.slow_readers_ended = Counter(
            "sequoiamoor_slow_readers_ended",
            "Streams that were ended to make room because their callers read slowly.",
            registry=self.registry,
        )
        self.accept_errors = Counter(
            "sequoiamoor_accept_errors",
            "Connections that could not be accepted, by error.",
            ["listener", "error"],
            registry=self.registry,
        )
        self.accept_pauses = Counter(
            "sequoiamoor_accept_pauses",
            "Times at which a listener accepted nothing because it was full.",
            ["listener"],
            registry=self.registry,
        )
        self.handoffs = Counter(
            "sequoiamoor_handoffs",
            "Callers' connections handed to another router of the zone, by their end.",
            ["end"],
            registry=self.registry,
        )
        self.handoffs_taken_over = Counter(
            "sequoiamoor_handoffs_taken_over",
            "Connections of other routers' callers that this router serves.",
            registry=self.registry,
        )
        self.loop_use = Gauge(
            "sequoiamoor_loop_use",
            "Part of the time for which the event loop has work.",
            registry=self.registry,
        )
        self.connections_displaced = Counter(
            "sequoiamoor_connections_displaced",
            "Idle connections of callers that were closed to make room for new ones.",
            registry=self.registry,
        )
        self.connection_failures = Counter(
            "sequoiamoor_connection_failures",
            "Accepted connections that an unexpected exception ended.",
            ["listener"],
            registry=self.registry,
        )
        self.fairness_gap_units = Gauge(
            "sequoiamoor_fairness_gap_units",
            "Largest difference in service between two backlogged organisations.",
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
            "Part of the service's slots that is in use.",
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
            "Requests with an attempt under way.",
            registry=self.registry,
        )
        self.choices = Gauge(
            "sequoiamoor_choices",
            "Work done to choose starts since the start, and its outcomes.",
            ["kind"],
            registry=self.registry,
        )
        self.cold_replicas = Gauge(
            "sequoiamoor_cold_replicas",
            "Replicas that this router takes to be cold.",
            registry=self.registry,
        )
        self.cold_starts = Counter(
            "sequoiamoor_cold_starts",
            "Requests sent to cold replicas.",
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "sequoiamoor_evacuated_zones",
            "Availability zones that this router knows to be evacuated.",
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

    def count_accept_error(self, listener: str, error: str) -> None:
        """Counts a failed accept by its error name."""
        self.accept_errors.labels(listener, error).inc()

    def count_connection_failure(self, listener: str) -> None:
        """Counts a connection whose task ended with an unexpected exception."""
        self.connection_failures.labels(listener).inc()

    def count_accept_pause(self, listener: str) -> None:
        """Counts a time for which a listener accepted nothing because it was full."""
        self.accept_pauses.labels(listener).inc()

    def count_platform_operation(self, operation: str, result: str) -> None:
        """Counts an operation at the platform."""
        self.platform_operations.labels(operation, result).inc()

    def count_store_call(self, table: str, kind: str) -> None:
        """Counts a call to the platform's store."""
        self.store_calls.labels(table, kind).inc()
