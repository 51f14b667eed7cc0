"""Names in the platform's wire formats: header fields, paths, tables and keys."""

from __future__ import annotations

REQUEST_ID = "x-attempt-id"
REMAINING_MS = "x-deadline-ms"
PROMPT_PARTS = "x-prompt-prefix"
TOKEN_COUNTS = "x-token-counts"
LENGTH_HINT = "x-length-hint"
LAST_EVENT_ID = "last-event-id"
ORGANISATION = "x-tenant"
EXPECTED_REPLICA = "x-expected-instance"
SIGNATURE = "x-server-signature"
LOAD = "x-server-load"
NOT_RUN = "x-not-executed"
LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
COLD_REMAINING_MS = "x-cold-remaining-ms"

READINESS_PATH = "/api/readiness"

# Header fields that only the fleet may set; they are dropped from callers' requests.
FLEET_FIELDS = frozenset(
    {
        b"x-deadline-ms",
        b"x-tenant",
        b"x-expected-instance",
        b"x-expected-version",
        b"x-cache-retention",
        b"x-pin-duration-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-server-load",
        b"x-server-signature",
        b"x-not-executed",
        b"x-instance-id",
        b"authorization",
    }
)

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"
UPSTREAM_TABLE = "servers"
