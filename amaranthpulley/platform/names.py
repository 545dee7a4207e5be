"""The platform's names on the wire: headers, paths, store keys and values."""

from typing import Final

from amaranthpulley.protocol.forwarding import header_names

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = "AMARANTHPULLEY_BOOT"

HEADERS: Final = header_names.HeaderNames(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    signature=b"x-response-stamp",
    wanted_leaf=b"x-target-instance",
    load=b"x-server-load",
    not_run=b"x-not-executed",
    leaf=b"x-instance-id",
    part_signatures=b"x-part-stamps",
    missing_parts=b"x-missing-parts",
    retry_after=b"retry-after",
    limit=b"server-limit",
    leaving=b"server-leaving",
    key=b"x-key",
    account=b"x-tenant",
)

READY_PATH: Final = b"/api/ready"

RANGE_PATH: Final = "/api/kv-range"
WATCH_PATH: Final = "/api/kv-watch"
TRANSACTION_PATH: Final = "/api/kv-txn"
LEASE_PATH: Final = "/api/kv-lease"
RENEW_PATH: Final = "/api/kv-keep/"
END_LEASE_PATH: Final = "/api/kv-lease-end/"

# Header of the store's answers: a number that rises when it comes back from a copy.
ERA_HEADER: Final = "Store-Era"

CONFIGURATION_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
ROLLOUT_ORDER_PREFIX: Final = "op/rollout/"
LEAF_PREFIX: Final = "servers/"
# Written by this system; operators and leaves write the other keys.
DAEMON_PREFIX: Final = "amaranthpulley/daemons/"
LOSS_PREFIX: Final = "amaranthpulley/losses/"
ROLLOUT_STEP_PREFIX: Final = "amaranthpulley/rollouts/"
# Read by operators.
ROLLOUT_STATUS_PREFIX: Final = "status/rollout/"

IDEMPOTENT: Final = "idempotent"
DRAINING: Final = "draining"
