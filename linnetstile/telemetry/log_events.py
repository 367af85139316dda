"""Names of the AS2 relay's log events; `docs/on-call.md` explains them to operators."""

from __future__ import annotations

from typing import Final

# Life cycle of the process.
STARTED: Final = "started"
STOPPING: Final = "stopping"
STOPPED: Final = "stopped"
UNFINISHED_AT_SHUTDOWN: Final = "unfinished_at_shutdown"
FAULT: Final = "fault"
OPEN_FILES_LIMIT: Final = "open_files"
TLS_KEYS: Final = "tls_keys"

# A message, from its submission to its final answer.
MESSAGE_ACCEPTED: Final = "accepted"
MESSAGE_REJECTED: Final = "rejected_at_intake"
DUPLICATE_SUBMISSION: Final = "duplicate_submission"
ATTEMPT_STARTED: Final = "attempt"
ATTEMPT_ENDED: Final = "attempt_ended"
MESSAGE_ANSWERED: Final = "answered"
RECEIPT_IGNORED: Final = "receipt_ignored"
RECEIPT_DELIVERY_FAILED: Final = "receipt_delivery_failed"
ENGINE_MESSAGE: Final = "engine"
ENGINE_RESTARTED: Final = "engine_restarted"

# Flow control.
ADMISSION_QUEUED: Final = "admission_queued"
ADMISSION_REJECTED: Final = "admission_rejected"
CONNECTION_EVICTED: Final = "connection_evicted"
PROTOCOL_ERROR: Final = "protocol_error"
PARTNER_SLOW: Final = "slow_partner"
PARTNER_RECOVERED: Final = "slow_partner_recovered"

# The partner registry.
REGISTRY: Final = "registry"

# Gossip between relays.
GOSSIP_POLL_FAILED: Final = "gossip_poll_failed"
GOSSIP_DOCUMENT_INVALID: Final = "gossip_document_invalid"
GOSSIP_RELAY_COUNT_MISMATCH: Final = "gossip_relay_count_mismatch"
GOSSIP_MERGED: Final = "gossip_merged"
GOSSIP_CLAIM_REJECTED: Final = "gossip_claim_rejected"
GOSSIP_SNAPSHOT_LOADED: Final = "gossip_snapshot_loaded"
GOSSIP_SNAPSHOT_INVALID: Final = "gossip_snapshot_invalid"
GOSSIP_SNAPSHOT_AGE_UNKNOWN: Final = "gossip_snapshot_age_unknown"
GOSSIP_SNAPSHOT_WRITE_FAILED: Final = "gossip_snapshot_write_failed"
