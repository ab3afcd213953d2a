"""Name the times and sizes of the replicated log."""

HEARTBEAT_S = 0.25  # three may be lost before an election
LEARNER_HEARTBEAT_S = 1.0  # to a learner that has all entries; it elects nobody
ELECTION_MIN_S = 0.9
ELECTION_MAX_S = 1.5
FIRST_ELECTION_MIN_S = 0.3  # after a start: a leader's next heartbeat comes before
FIRST_ELECTION_MAX_S = 0.7
ELECTION_RETRY_MIN_S = 0.2
ELECTION_RETRY_MAX_S = 0.5
LEASE_S = 0.75  # below ELECTION_MIN_S: no other leader before the lease ends
APPEND_BYTES = 256 * 1024
WINDOW_ENTRIES = 4096
PENDING_PROPOSALS = 4096
SNAPSHOT_CHUNK_BYTES = 128 * 1024
COMPACT_ENTRIES = 4096
COMPACT_BYTES = 16 * 1024 * 1024  # a log twice as long fits a small disk
RETAINED_ENTRIES = 1024
CAUGHT_UP_ENTRIES = 64
COMMAND_BYTES = 4 * 1024 * 1024
