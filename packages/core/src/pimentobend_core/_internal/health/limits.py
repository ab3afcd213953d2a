"""Times and thresholds that observers and the floor owner share."""

SCORE_LIMIT = 1.5
SUSPECT_SCORE = 1.0  # from this score on, an observer avoids the server
BAD_SCORE = 0.15  # from this score on, an observer votes for an ejection
GOOD_SCORE = 0.1  # below this score, an observer votes against it

LEASE_S = 6.0  # how long a grant lasts after the observer's report that it answers
OWNER_LEASE_S = 3.0  # how long the floor owner may grant after a majority confirmed it
CLOCK_RATE_MARGIN = 0.05  # largest relative difference between two clock rates
TICK_S = 0.25  # time between two ticks of an observer or the owner
# Longest time from an observer's report until it has acted on the end of the lease
# that the report started; ``HOLD_S`` is this time on the owner's clock.
EXPIRY_S = LEASE_S + 2 * TICK_S
HOLD_S = EXPIRY_S * (1 + CLOCK_RATE_MARGIN)
# A new owner waits until its predecessor has stopped granting and the last
# lease that it granted has expired.
TAKEOVER_S = (OWNER_LEASE_S + EXPIRY_S) * (1 + CLOCK_RATE_MARGIN)

SOLICIT_S = 0.5  # time between two requests for reports on a suspect server
# Time between two reports of an observer: while a score rises, while it has ejections
# to renew or a suspicious server, and otherwise.
REPORT_URGENT_S = 0.25
REPORT_HOLDING_S = 1.0
REPORT_IDLE_S = 2.0
