"""Timings and limits of a router's decisions, with their units."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field


class Options(BaseModel):
    """Timings and limits of the decisions of one router.

    All durations are in seconds unless the name says otherwise.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    report_interval: float = Field(0.2, gt=0, le=10)
    longest_report_interval: float = Field(
        0.5,
        gt=0,
        description="bound of the report interval, which grows with the fleet",
    )
    flush_interval: float = Field(0.02, gt=0, le=1)
    control_bytes_per_second: float = Field(
        4_300.0, gt=0, description="bytes sent per second to all other routers together"
    )
    early_message_rate: float = Field(
        25.0,
        ge=0,
        description="messages per second that may be sent before the interval ends",
    )
    early_message_burst: float = Field(30.0, ge=0, description="messages")
    grant_refresh_interval: float = Field(1.0, gt=0)
    grant_expiry: float = Field(2.0, gt=0)
    router_reclaim_after: float = Field(4.0, gt=0)
    suspect_after: float = Field(1.5, gt=0)
    dead_after: float = Field(5.0, gt=0)
    pause_limit: float = Field(
        1.0,
        gt=0,
        description="gap between steps above which this router counts as paused",
    )
    forget_router_after: float = Field(600.0, gt=0)
    forget_upstream_after: float = Field(60.0, gt=0)
    reconnect_base_delay: float = Field(0.1, gt=0)
    reconnect_max_delay: float = Field(2.0, gt=0)
    platform_poll_interval: float = Field(2.0, gt=0)
    platform_poll_interval_others: float = Field(20.0, gt=0)
    platform_timeout: float = Field(2.0, gt=0)
    load_poll_interval: float = Field(1.0, gt=0)
    idle_before_lift: float = Field(1.0, ge=0)
    allowed_gap_seconds: float = Field(
        0.1,
        ge=0,
        description="allowed fairness gap in seconds of the service's capacity",
    )
    slot_cap_factor: float = Field(1.5, ge=1)
    slot_floor_factor: float = Field(0.5, ge=0, le=1)
    slot_average_time: float = Field(5.0, gt=0)
    max_attempts: int = Field(3, ge=1, le=10)
    retry_budget_fraction: float = Field(0.1, ge=0, le=1)
    retry_budget_limit: float = Field(20.0, ge=0)
    exclusion_time: float = Field(
        0.5, ge=0, description="time for which retries avoid a replica that failed"
    )
    retry_base_delay: float = Field(0.05, gt=0)
    retry_max_delay: float = Field(1.0, gt=0)
    claim_lifetime: float = Field(2.0, gt=0)
    claim_timeout: float = Field(
        1.0,
        gt=0,
        description="longest time that a call holds a slot while it claims its record",
    )
    table_timeout: float = Field(
        0.4, gt=0, description="time for one operation on a record"
    )
    record_retry_time: float = Field(
        30.0,
        ge=0,
        description="time for retrying to write a record after the call ended",
    )
    table_pause: float = Field(
        1.0,
        ge=0,
        description="time after a table failure in which calls are refused untried",
    )
    kept_answer_bytes: int = Field(16_384, ge=0)
    queue_limit_per_organisation: int = Field(200, ge=1)
    overload_averaging_time: float = Field(5.0, gt=0)
    overload_observation_time: float = Field(
        1.0, gt=0, description="waiting time observed before requests are refused early"
    )
    drain_limit: float = Field(120.0, gt=0)
    drain_announce_time: float = Field(
        0.4,
        ge=0,
        description="shortest time between SIGTERM and the end of the process",
    )
    drain_record_time: float = Field(
        3.0, ge=0, description="time for writing records after the last answer"
    )
    drain_cut_time: float = Field(
        1.0,
        ge=0,
        description="time for informing callers that their request was aborted",
    )
    flat_limit: int = Field(16, ge=2, description="largest fleet without a report tree")
    fan_out: int = Field(6, ge=3, description="most children in the report tree")
    connect_timeout: float = Field(1.0, gt=0)
    upstream_idle_timeout: float = Field(15.0, gt=0)
    answer_limit_bytes: int = Field(
        16_777_216, ge=1, description="largest answer that is buffered as a whole"
    )
    upstream_connections: int = Field(
        800, ge=1, description="connections to upstreams, idle and in use"
    )
    pool_limit: int = Field(1_024, ge=0, description="idle connections to upstreams")
    pool_limit_per_replica: int = Field(64, ge=0)
    pool_idle_time: float = Field(30.0, gt=0)
    probe_base_delay: float = Field(0.25, gt=0)
    probe_max_delay: float = Field(5.0, gt=0)
