"""Plan when a stopping daemon refuses, gives up and ends."""

from typing import NamedTuple

# After this time, every readiness probe has seen that the daemon is stopping.
UNREADY_NOTICE_S = 2.6
# Before the platform kills the process. Requests are sent only if their answers will
# probably come by the first time; those that no server has are refused then.
REFUSE_MARGIN_S = 1.2
REQUESTS_MARGIN_S = 0.35
# Later than the requests: a server whose own call was given up still answers what it
# runs. The rest is for the last answers to be written.
ATTEMPTS_MARGIN_S = 0.15


class StopPlan(NamedTuple):
    """Times of a stop, in seconds of the clock."""

    noticed_at: float  # probes have seen the stop; an idle daemon may end
    refuse_at: float  # requests that no server has are refused
    end_requests_at: float  # requests of this daemon's callers are given up
    end_attempts_at: float  # attempts on this daemon's servers are given up


def plan_stop(began_at: float, grace_s: float) -> StopPlan:
    """Return the plan of a stop whose process is killed ``grace_s`` after its start."""
    killed_at = began_at + grace_s
    return StopPlan(
        began_at + min(UNREADY_NOTICE_S, grace_s / 2),
        max(began_at, killed_at - REFUSE_MARGIN_S),
        max(began_at, killed_at - REQUESTS_MARGIN_S),
        max(began_at, killed_at - ATTEMPTS_MARGIN_S),
    )
