"""Check when a stopping daemon gives up what it and its servers still run."""

import pytest

from pimentobendd._internal.fleet.stop_plan import plan_stop

GRACE_TIMES_S = [0.1, 1.0, 5.0, 6.0, 30.0]
# A server that is at work for longer on a request of the first half of the grace time
# is not expected to be waited for.
LAST_SHARE = 5 / 6
LAST_ANSWER_S = 0.2  # for a server to answer once its own call was given up


@pytest.mark.parametrize("grace_s", GRACE_TIMES_S)
def test_the_steps_of_a_stop_follow_each_other_within_the_grace_time(
    grace_s: float,
) -> None:
    plan = plan_stop(100.0, grace_s)
    steps = (plan.refuse_at, plan.end_requests_at, plan.end_attempts_at)
    assert 100.0 <= plan.noticed_at <= 100.0 + grace_s
    assert [100.0, *steps, 100.0 + grace_s] == sorted([100.0, *steps, 100.0 + grace_s])


@pytest.mark.parametrize("grace_s", [5.0, 6.0, 30.0])
def test_what_servers_run_is_waited_for_almost_to_the_end(grace_s: float) -> None:
    """Runs that would have ended within the grace time were given up."""
    plan = plan_stop(100.0, grace_s)
    assert plan.end_requests_at >= 100.0 + LAST_SHARE * grace_s
    assert plan.end_attempts_at >= 100.0 + grace_s - LAST_ANSWER_S
    assert plan.end_attempts_at - plan.end_requests_at >= LAST_ANSWER_S - 1e-6
