"""Hold the times and thresholds that observers and the floor owner share."""

SCORE_LIMIT = 1.5
SUSPECT_SCORE = 1.0  # an observer avoids the server
BAD_SCORE = 0.15  # an observer's vote for an ejection
GOOD_SCORE = 0.1  # below it, an observer's vote against

LEASE_S = 6.0
OWNER_LEASE_S = 3.0
CLOCK_RATE_MARGIN = 0.05  # share by which two clocks may run apart
TICK_S = 0.25  # between two ticks of an observer or the owner
EXPIRY_S = LEASE_S + 2 * TICK_S  # until an observer has acted on the end of a lease
HOLD_S = EXPIRY_S * (1 + CLOCK_RATE_MARGIN)
TAKEOVER_S = (OWNER_LEASE_S + EXPIRY_S) * (1 + CLOCK_RATE_MARGIN)

SOLICIT_S = 0.5  # between two requests for reports on a suspicion
REPORT_URGENT_S = 0.25
REPORT_HOLDING_S = 1.0
REPORT_IDLE_S = 2.0
