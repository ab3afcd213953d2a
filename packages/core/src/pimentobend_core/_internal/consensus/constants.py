"""Timeouts and size limits of the replicated log."""

HEARTBEAT_S = 0.25  # three can be lost without an election
LEARNER_HEARTBEAT_S = 1.0  # for learners with all entries, which start no election
ELECTION_MIN_S = 0.9
ELECTION_MAX_S = 1.5
FIRST_ELECTION_MIN_S = 0.3  # after a start; a leader's heartbeat arrives earlier
FIRST_ELECTION_MAX_S = 0.7
ELECTION_RETRY_MIN_S = 0.2
ELECTION_RETRY_MAX_S = 0.5
LEASE_S = 0.75  # below ELECTION_MIN_S: no other leader until it expires
APPEND_BYTES = 256 * 1024
WINDOW_ENTRIES = 4096  # sent to a peer and not acknowledged yet
PENDING_PROPOSALS = 4096
SNAPSHOT_CHUNK_BYTES = 128 * 1024
COMPACT_ENTRIES = 4096
COMPACT_BYTES = 16 * 1024 * 1024  # a log of twice this size fits a small disk
RETAINED_ENTRIES = 1024  # kept after compaction for peers slightly behind
CAUGHT_UP_ENTRIES = 64
COMMAND_BYTES = 4 * 1024 * 1024
