"""The catalogue of log events; docs/EVENTS.md documents each one."""

import enum
from typing import Final, NamedTuple


class Level(enum.IntEnum):
    """Severities, with the values that `logging` gives them."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class LogEvent(NamedTuple):
    """One kind of log event.

    Attributes
    ----------
    number : int
        Stable number, never reused for another event.
    name : str
        Stable name in lower case with underscores.
    level : Level
        Severity.
    """

    number: int
    name: str
    level: Level


DAEMON_STARTED: Final = LogEvent(100, "daemon_started", Level.INFO)
DAEMON_LISTENING: Final = LogEvent(101, "daemon_listening", Level.INFO)
LOG_LINES_DROPPED: Final = LogEvent(103, "log_lines_dropped", Level.WARNING)
DAEMON_STOPPED: Final = LogEvent(102, "daemon_stopped", Level.INFO)
INTERNAL_ERROR: Final = LogEvent(199, "internal_error", Level.ERROR)
REQUEST_RECEIVED: Final = LogEvent(200, "request_received", Level.DEBUG)
REQUEST_ANSWERED: Final = LogEvent(201, "request_answered", Level.INFO)
REQUEST_REFUSED: Final = LogEvent(202, "request_refused", Level.WARNING)
ATTEMPT_SENT: Final = LogEvent(300, "attempt_sent", Level.DEBUG)
ATTEMPT_ANSWERED: Final = LogEvent(301, "attempt_answered", Level.DEBUG)
ATTEMPT_FAILED: Final = LogEvent(302, "attempt_failed", Level.INFO)
ANSWER_DISCARDED: Final = LogEvent(303, "answer_discarded", Level.DEBUG)
SEARCH_RESTARTED: Final = LogEvent(304, "search_restarted", Level.INFO)
TARGET_COLD: Final = LogEvent(305, "target_cold", Level.WARNING)
TARGET_WARM: Final = LogEvent(306, "target_warm", Level.INFO)
FORWARD_ENDED: Final = LogEvent(210, "forward_ended", Level.INFO)
FORWARD_REFUSED: Final = LogEvent(211, "forward_refused", Level.WARNING)
FORWARD_DECIDED: Final = LogEvent(212, "forward_decided", Level.INFO)
CLIENTS_CUT: Final = LogEvent(230, "clients_cut", Level.WARNING)
LEAF_STANDING_CHANGED: Final = LogEvent(310, "leaf_standing_changed", Level.INFO)
LEAF_ANSWER_OVERSIZED: Final = LogEvent(311, "leaf_answer_oversized", Level.WARNING)
DELEGATE_SUSPECTED: Final = LogEvent(312, "delegate_suspected", Level.WARNING)
LEAF_DEMAND_CHANGED: Final = LogEvent(313, "leaf_demand_changed", Level.INFO)
REQUEST_LOST_LEAF: Final = LogEvent(314, "request_lost_leaf", Level.WARNING)
REQUEST_CLEARED: Final = LogEvent(315, "request_cleared", Level.INFO)
LEAF_PACE_CHANGED: Final = LogEvent(316, "leaf_pace_changed", Level.INFO)
CLAIM_BATCH_REPEATED: Final = LogEvent(350, "claim_batch_repeated", Level.INFO)
ORDER_OUTCOME_UNKNOWN: Final = LogEvent(351, "order_outcome_unknown", Level.WARNING)
ORDER_GIVEN_UP: Final = LogEvent(352, "order_given_up", Level.INFO)
ORDER_OUTCOME_DROPPED: Final = LogEvent(353, "order_outcome_dropped", Level.ERROR)
TARGET_DIED: Final = LogEvent(360, "target_died", Level.WARNING)
REQUEST_BLAMED: Final = LogEvent(361, "request_blamed", Level.ERROR)
TICKET_IN_FORCE: Final = LogEvent(400, "ticket_in_force", Level.INFO)
CONFIGURATION_CONFIRMED: Final = LogEvent(401, "configuration_confirmed", Level.INFO)
CONFIGURATION_UNCONFIRMED: Final = LogEvent(
    402, "configuration_unconfirmed", Level.ERROR
)
PAUSE_NOTICED: Final = LogEvent(403, "pause_noticed", Level.WARNING)
LEASE_HELD: Final = LogEvent(410, "lease_held", Level.INFO)
MEMBER_CHANGED: Final = LogEvent(420, "member_changed", Level.INFO)
SUSPICION_DENIED: Final = LogEvent(421, "suspicion_denied", Level.WARNING)
PEER_MESSAGE_REFUSED: Final = LogEvent(422, "peer_message_refused", Level.WARNING)
DRAIN_STARTED: Final = LogEvent(430, "drain_started", Level.INFO)
DRAIN_CUT_SHORT: Final = LogEvent(431, "drain_cut_short", Level.ERROR)
CONFIGURATION_IN_FORCE: Final = LogEvent(440, "configuration_in_force", Level.INFO)
DIRECTORY_LISTED: Final = LogEvent(441, "directory_listed", Level.INFO)
FAILURE_DOMAIN_OUT: Final = LogEvent(442, "failure_domain_out", Level.WARNING)
STORE_LOST: Final = LogEvent(443, "store_lost", Level.WARNING)
STORE_REGAINED: Final = LogEvent(444, "store_regained", Level.INFO)
SETTINGS_RELOADED: Final = LogEvent(445, "settings_reloaded", Level.INFO)
STORE_READ_FAILED: Final = LogEvent(446, "store_read_failed", Level.WARNING)
LOSS_WRITE_FAILED: Final = LogEvent(447, "loss_write_failed", Level.WARNING)
STORE_RESTORED: Final = LogEvent(448, "store_restored", Level.WARNING)
CLIENT_ACCOUNTS_IN_FORCE: Final = LogEvent(450, "client_accounts_in_force", Level.INFO)
CLIENT_KEYS_SHARED: Final = LogEvent(451, "client_keys_shared", Level.WARNING)
QUOTA_CLAIM_CONFIRMED: Final = LogEvent(460, "quota_claim_confirmed", Level.INFO)
QUOTA_OWNER_SILENT: Final = LogEvent(461, "quota_owner_silent", Level.WARNING)
ACCOUNT_OVER_QUOTA: Final = LogEvent(462, "account_over_quota", Level.INFO)
ROLLOUT_ORDERED: Final = LogEvent(470, "rollout_ordered", Level.INFO)
ROLLOUT_STEP: Final = LogEvent(471, "rollout_step", Level.INFO)
ROLLOUT_JUDGED_BAD: Final = LogEvent(472, "rollout_judged_bad", Level.WARNING)
ROLLOUT_WRITE_FAILED: Final = LogEvent(473, "rollout_write_failed", Level.WARNING)
ROLLOUT_WITHDRAWN: Final = LogEvent(474, "rollout_withdrawn", Level.INFO)
STORE_CALL_FAILED: Final = LogEvent(500, "store_call_failed", Level.WARNING)
STORE_VALUE_CORRUPT: Final = LogEvent(501, "store_value_corrupt", Level.ERROR)
STORE_ITEM_UNREADABLE: Final = LogEvent(502, "store_item_unreadable", Level.WARNING)
VM_LIST_FAILED: Final = LogEvent(510, "vm_list_failed", Level.WARNING)
JOURNAL_LIFE_ANNOUNCED: Final = LogEvent(600, "journal_life_announced", Level.INFO)
JOURNAL_BATCH_WRITTEN: Final = LogEvent(601, "journal_batch_written", Level.DEBUG)
JOURNAL_WRITE_FAILED: Final = LogEvent(602, "journal_write_failed", Level.WARNING)
JOURNAL_FULL: Final = LogEvent(603, "journal_full", Level.ERROR)
JOURNAL_LIFE_CLOSED: Final = LogEvent(604, "journal_life_closed", Level.INFO)
JOURNAL_SWEPT: Final = LogEvent(606, "journal_swept", Level.INFO)
JOURNAL_LIFE_REOPENED: Final = LogEvent(605, "journal_life_reopened", Level.WARNING)
