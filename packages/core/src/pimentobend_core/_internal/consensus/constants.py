"""Timeouts and size limits of the replicated log."""

# The leader sends a heartbeat at this interval. Followers start an election only
# if more than three in a row are lost.
HEARTBEAT_S = 0.25
# Learners never start an election, so those that have all entries need fewer.
LEARNER_HEARTBEAT_S = 1.0
# A follower starts an election after a random time without a leader.
ELECTION_MIN_S = 0.9
ELECTION_MAX_S = 1.5
# The first timeout after a start may be shorter: if there is a leader, one of its
# heartbeats arrives before it ends.
FIRST_ELECTION_MIN_S = 0.3
FIRST_ELECTION_MAX_S = 0.7
# A replica that did not win an election starts the next one after this time.
ELECTION_RETRY_MIN_S = 0.2
ELECTION_RETRY_MAX_S = 0.5
# A leader may act for this long after it sent a message that a majority then
# acknowledged. Below ELECTION_MIN_S, so no other leader is elected before it ends.
LEASE_S = 0.75
APPEND_BYTES = 256 * 1024  # commands in one AppendEntries message
WINDOW_ENTRIES = 4096  # entries sent to a peer that it has not acknowledged yet
PENDING_PROPOSALS = 4096  # further proposals are refused as OVERLOADED
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# The configuration's log is compacted after this many entries, or after this many bytes
# or as many as the last snapshot has, whichever is more. A replica that joins is sent
# the snapshot and what follows it, and may have no more than seconds for that.
COMPACT_ENTRIES = 4096
COMPACT_BYTES = 2 * 1024 * 1024
# Compaction leaves so many entries at most, so that peers slightly behind need no
# snapshot.
RETAINED_ENTRIES = 1024
RETAINED_BYTES = 1024 * 1024
CAUGHT_UP_ENTRIES = 64  # a learner this close to the commit index can be promoted
# Largest command that is accepted. It leaves 64 KB of the largest frame (4 MB) to the
# messages that carry it, as a command that fits into no frame cannot be replicated.
COMMAND_BYTES = 4 * 1024 * 1024 - 64 * 1024
