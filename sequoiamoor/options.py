"""Timings and limits of the decisions, with their units."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field


class Options(BaseModel):
    """Timings and limits of the decisions of one router.

    All durations are in seconds unless the name says otherwise.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    report_interval: float = Field(0.2, gt=0, le=10)
    flush_interval: float = Field(0.02, gt=0, le=1)
    early_message_rate: float = Field(
        25.0, ge=0, description="messages per second that may precede the interval"
    )
    early_message_burst: float = Field(30.0, ge=0, description="messages")
    grant_refresh_interval: float = Field(1.0, gt=0)
    grant_expiry: float = Field(2.0, gt=0)
    router_reclaim_after: float = Field(4.0, gt=0)
    suspect_after: float = Field(1.5, gt=0)
    dead_after: float = Field(5.0, gt=0)
    platform_poll_interval: float = Field(2.0, gt=0)
    platform_poll_interval_others: float = Field(20.0, gt=0)
    platform_timeout: float = Field(2.0, gt=0)
    load_poll_interval: float = Field(1.0, gt=0)
    idle_before_lift: float = Field(1.0, ge=0)
    allowed_gap_seconds: float = Field(
        0.1, ge=0, description="allowed gap in seconds of the service's capacity"
    )
    slot_cap_factor: float = Field(1.5, ge=1)
    slot_floor_factor: float = Field(0.5, ge=0, le=1)
    slot_average_time: float = Field(5.0, gt=0)
    hint_trust_factor: float = Field(4.0, ge=1)
    max_attempts: int = Field(3, ge=1, le=10)
    retry_budget_fraction: float = Field(0.1, ge=0, le=1)
    retry_budget_limit: float = Field(20.0, ge=0)
    retry_base_delay: float = Field(0.05, gt=0)
    retry_max_delay: float = Field(1.0, gt=0)
    claim_lifetime: float = Field(2.0, gt=0)
    kept_answer_bytes: int = Field(16_384, ge=0)
    queue_limit_per_organisation: int = Field(200, ge=1)
    drain_limit: float = Field(120.0, gt=0)
    flat_limit: int = Field(16, ge=2, description="largest fleet without a report tree")
    connect_timeout: float = Field(1.0, gt=0)
    upstream_idle_timeout: float = Field(15.0, gt=0)
    probe_base_delay: float = Field(0.25, gt=0)
    probe_max_delay: float = Field(5.0, gt=0)
