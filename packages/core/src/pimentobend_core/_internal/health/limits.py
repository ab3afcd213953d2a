"""Times and thresholds that observers and the floor owner share."""

SCORE_LIMIT = 1.5
SUSPECT_SCORE = 1.0  # from this score on, an observer avoids the server
BAD_SCORE = 0.15  # from this score on, an observer votes for an ejection
GOOD_SCORE = 0.1  # below this score, an observer votes against it

LEASE_S = 6.0  # of a grant, from the observer's report
OWNER_LEASE_S = 3.0  # of the floor owner, from its last confirmation by a majority
CLOCK_RATE_MARGIN = 0.05  # largest relative difference between two clock rates
TICK_S = 0.25  # between two ticks of an observer or the owner
EXPIRY_S = LEASE_S + 2 * TICK_S  # until an observer has acted on the end of a lease
HOLD_S = EXPIRY_S * (1 + CLOCK_RATE_MARGIN)  # the same on the owner's clock
# A new owner waits until its predecessor has stopped granting and the last
# lease that it granted has expired.
TAKEOVER_S = (OWNER_LEASE_S + EXPIRY_S) * (1 + CLOCK_RATE_MARGIN)

SOLICIT_S = 0.5  # between two requests for reports on a suspect server
REPORT_URGENT_S = 0.25  # between two reports while a score rises
REPORT_HOLDING_S = 1.0  # with ejections to renew or a suspicious server
REPORT_IDLE_S = 2.0  # otherwise
