"""Check the bounds of the owner, the stock and the asker one by one.

Each case guards against a way to use more tokens than a limit allows, or to refuse a
request that is within it.
"""

import pytest
from limit_fleet import LimitFleet
from limit_fleet import allowed
from limit_fleet import count_most

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.limits.asker import TokenAsker
from pimentobend_core._internal.limits.bucket import TokenBucket
from pimentobend_core._internal.limits.messages import AskerTick
from pimentobend_core._internal.limits.messages import AskReceived
from pimentobend_core._internal.limits.messages import ControlsChanged
from pimentobend_core._internal.limits.messages import Demand
from pimentobend_core._internal.limits.messages import DemandReceived
from pimentobend_core._internal.limits.messages import Grant
from pimentobend_core._internal.limits.messages import Grants
from pimentobend_core._internal.limits.messages import GrantsReceived
from pimentobend_core._internal.limits.messages import LeaderKnown
from pimentobend_core._internal.limits.messages import LeadershipChanged
from pimentobend_core._internal.limits.messages import LeadershipProven
from pimentobend_core._internal.limits.messages import OwnerInput
from pimentobend_core._internal.limits.messages import ReplyReceived
from pimentobend_core._internal.limits.messages import SendAsk
from pimentobend_core._internal.limits.messages import SendDemand
from pimentobend_core._internal.limits.messages import SendGrants
from pimentobend_core._internal.limits.messages import SendReply
from pimentobend_core._internal.limits.messages import TokenAsk
from pimentobend_core._internal.limits.messages import TokenDecided
from pimentobend_core._internal.limits.messages import TokenReply
from pimentobend_core._internal.limits.messages import TokenWanted
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.messages import Want
from pimentobend_core._internal.limits.owner import Limits
from pimentobend_core._internal.limits.owner import TokenOwner
from pimentobend_core._internal.limits.stock import TokenStock
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobend_core._internal.limits.terms import find_terms

VERSION = Version(1, 5)
OWN = LeadershipChanged(is_own=True)
OTHER = LeadershipChanged(is_own=False)


def proven(asked_at: float, version: Version = VERSION) -> LeadershipProven:
    return LeadershipProven(asked_at, version)


# What the owner hears and when, and whether it answers a demand at 2.0.
OWNER_CASES: list[tuple[str, list[tuple[float, OwnerInput]], bool]] = [
    ("a confirmed leader", [(0.0, OWN), (1.9, proven(1.8))], True),
    ("no confirmation yet", [(0.0, OWN)], False),
    ("a confirmation that is too old", [(0.0, OWN), (1.9, proven(1.39))], False),
    ("elected just now", [(1.45, OWN), (1.9, proven(1.8))], False),
    ("a confirmation of an earlier term", [(1.0, OWN), (1.9, proven(0.9))], False),
    ("elected again", [(0.0, OWN), (1.8, OWN), (1.9, proven(1.85))], False),
    ("another leader", [(0.0, OWN), (1.8, proven(1.7)), (1.9, OTHER)], False),
    ("older tables", [(0.0, OWN), (1.9, proven(1.8, Version(1, 6)))], False),
]


@pytest.mark.parametrize(
    ("inputs", "grants"), [c[1:] for c in OWNER_CASES], ids=[c[0] for c in OWNER_CASES]
)
def test_only_a_confirmed_leader_grants(
    inputs: list[tuple[float, OwnerInput]], grants: bool
) -> None:
    limits = Limits(lambda name: Limit(10, 10), lambda: VERSION)
    owner = TokenOwner(limits, LimitSettings())
    for at, message in inputs:
        owner.handle(message, at)
    outputs = owner.handle(DemandReceived("c", Demand(1, (Want("o", 1),))), 2.0)
    assert any(isinstance(each, SendGrants) for each in outputs) is grants


@pytest.mark.parametrize(
    ("inputs", "granted"),
    [([], 13), ([OWN], 0), ([OTHER, OWN], 0)],
    ids=["same term", "elected again", "deposed in between"],
)
def test_a_new_term_begins_with_empty_buckets(
    inputs: list[OwnerInput], granted: int
) -> None:
    """Guards against a level from before another owner's grants."""
    limits = Limits(lambda name: Limit(10, 10), lambda: VERSION)
    owner = TokenOwner(limits, LimitSettings())
    owner.handle(OWN, 0.0)
    owner.handle(proven(59.0), 59.0)
    owner.handle(DemandReceived("c", Demand(1, (Want("o", 1),))), 59.1)
    for message in inputs:
        owner.handle(message, 61.0)
    owner.handle(proven(61.6), 61.6)
    outputs = owner.handle(DemandReceived("c", Demand(2, (Want("o", 99),))), 61.61)
    sent = [each.grants.grants for each in outputs if isinstance(each, SendGrants)]
    assert [grant.tokens for grants in sent for grant in grants] == [granted]


# Limit, settings, and the times and numbers of tokens that are asked for and granted.
BUCKET_CASES = [
    ("a full bucket", (10, 10), (5, 0.1, 0), [(60, 99, 13)]),
    ("its refill", (10, 10), (5, 0.1, 0), [(60, 99, 13), (60.55, 99, 3)]),
    ("valid tokens take room", (100, 0), (5, 0.1, 0), [(60, 20, 20), (60.19, 9, 5)]),
    ("no burst for a new owner", (10, 40), (5, 0.1, 0), [(0.2, 99, 2)]),
    ("nor soon after", (10, 40), (5, 0.1, 0), [(1.0, 99, 10)]),
    ("new owner, no tolerance", (100, 9), (5, 0, 0), [(0.199, 9, 0), (0.25, 9, 5)]),
    ("a limit below one in a window", (0.1, 0), (5, 0.1, 0), [(999, 9, 0)]),
    ("a bucket of one token", (1, 0), (5, 0.1, 0), [(60, 9, 1), (61, 9, 0)]),
]


@pytest.mark.parametrize(
    ("limit", "terms", "steps"),
    [c[1:] for c in BUCKET_CASES],
    ids=[c[0] for c in BUCKET_CASES],
)
def test_a_bucket_grants_what_its_terms_allow(
    limit: tuple[float, float],
    terms: tuple[float, float, float],
    steps: list[tuple[float, int, int]],
) -> None:
    rate, burst = limit
    settings = LimitSettings(*terms)
    bucket = TokenBucket(
        Limit(rate, burst), find_terms(Limit(rate, burst), settings), 0.0
    )
    granted = [bucket.take(needed, 0, at) for at, needed, _ in steps]
    assert granted == [expected for _, _, expected in steps]


@pytest.mark.parametrize(
    ("before", "after", "granted"),
    [
        ((10, 40), (10, 10), 13),
        ((10, 40), (1, 0), 1),
        ((10, 10), (10, 40), 13),
        ((3, 40), (0.024, 0.32), 0),
    ],
    ids=["smaller burst", "smaller both", "raised", "less than a request a window"],
)
def test_a_changed_limit_binds_the_next_grant(
    before: tuple[float, float], after: tuple[float, float], granted: int
) -> None:
    """Guards against a level that was saved up under a higher limit."""
    terms = [find_terms(Limit(*each), LimitSettings()) for each in (before, after)]
    bucket = TokenBucket(Limit(*before), terms[0], 0.0)
    bucket.change(Limit(*after), terms[1], 60.0)
    assert bucket.take(99, 0, 60.0) == granted


@pytest.mark.parametrize("drained", [5, 15, 25])
def test_the_next_token_is_there_when_it_is_due(drained: int) -> None:
    """Guards against a Retry-After after which a caller is refused again."""
    limit = Limit(100, 0)
    bucket = TokenBucket(limit, find_terms(limit, LimitSettings()), 0.0)
    now = 60.0
    bucket.take(drained, 0, now)
    bucket.take(99, 0, now)
    due_s = bucket.next_s(now)
    assert bucket.take(1, 0, now + 0.9 * due_s) == 0
    assert bucket.take(1, 0, now + due_s + 0.0001) == 1


def ask_stock(stock: TokenStock, token: int, at: float) -> list[TokenReply]:
    outputs = stock.handle(AskReceived("d", TokenAsk(token, "o")), at)
    return [each.reply for each in outputs if isinstance(each, SendReply)]


# When the stock's demand of 0.0 is answered, with which tokens, and the replies.
STOCK_CASES = [
    ("a token", 0.1, Grant("o", 1, 0.5), [TokenReply(1, True, 0, 0.5)]),
    ("an expired token", 0.5, Grant("o", 1, 0.5), []),
    ("no token", 0.1, Grant("o", 0, 0.5, 0.2), [TokenReply(1, False, 0.2)]),
]


@pytest.mark.parametrize(
    ("at", "grant", "replies"),
    [c[1:] for c in STOCK_CASES],
    ids=[c[0] for c in STOCK_CASES],
)
def test_a_stock_counts_validity_from_its_demand(
    at: float, grant: Grant, replies: list[TokenReply]
) -> None:
    stock = TokenStock(7)
    stock.handle(LeaderKnown("l"), 0.0)
    outputs = stock.handle(AskReceived("d", TokenAsk(1, "o")), 0.0)
    assert SendDemand("l", Demand(7, (Want("o", 1),))) in outputs
    grants = GrantsReceived(Grants(7, (grant,)))
    sent = [
        each.reply for each in stock.handle(grants, at) if isinstance(each, SendReply)
    ]
    assert [
        each._replace(retry_after_s=round(each.retry_after_s, 6)) for each in sent
    ] == replies


@pytest.mark.parametrize(
    ("number", "restarts", "granted"),
    [(7, False, 2), (6, False, 0), (7, True, 0)],
    ids=["repeated", "of no demand", "to an earlier process"],
)
def test_a_stock_counts_the_answer_to_a_demand_once(
    number: int, restarts: bool, granted: int
) -> None:
    """Guards against tokens that are used twice as their message comes twice.

    Five questions are open and the answer has two tokens, so that each token which is
    counted twice admits one more request.
    """
    stock = TokenStock(7)
    stock.handle(LeaderKnown("l"), 0.0)
    for token in range(5):
        ask_stock(stock, token, 0.0)
    if restarts:
        stock = TokenStock(900)
        stock.handle(LeaderKnown("l"), 0.0)
        for token in range(5):
            ask_stock(stock, token, 0.0)
    grants = GrantsReceived(Grants(number, (Grant("o", 2, 0.5),)))
    outputs = [each for _ in range(3) for each in stock.handle(grants, 0.1)]
    replies = [each.reply for each in outputs if isinstance(each, SendReply)]
    assert [each.is_granted for each in replies] == [True] * granted


def test_a_stock_refuses_until_the_next_token_is_due() -> None:
    """Guards against a message to the leader for each request over the limit."""
    stock = TokenStock(7)
    stock.handle(LeaderKnown("l"), 0.0)
    ask_stock(stock, 1, 0.0)
    stock.handle(GrantsReceived(Grants(7, (Grant("o", 0, 0.5, 0.2),))), 0.1)
    assert ask_stock(stock, 2, 0.2) == [
        TokenReply(2, False, pytest.approx(0.1))  # type: ignore[arg-type]
    ]
    assert ask_stock(stock, 3, 0.31) == []


# A reply to the question of 0.0, when it arrives, and the decision.
ASKER_CASES = [
    ("a token", TokenReply(9, True, 0, 0.3), 0.1, (Verdict.GRANTED, 0.3)),
    ("a late token", TokenReply(9, True, 0, 0.3), 0.3, None),
    ("an unknown question", TokenReply(8, True, 0, 0.3), 0.1, None),
    ("no token", TokenReply(9, False, 0.2), 0.1, (Verdict.OVER_LIMIT, 0.0)),
]


@pytest.mark.parametrize(
    ("reply", "at", "decision"),
    [c[1:] for c in ASKER_CASES],
    ids=[c[0] for c in ASKER_CASES],
)
def test_an_asker_counts_validity_from_its_question(
    reply: TokenReply, at: float, decision: tuple[Verdict, float] | None
) -> None:
    asker = TokenAsker(9)
    asker.handle(ControlsChanged((("c",),)), 0.0)
    asker.handle(TokenWanted(1, "o", 1.0), 0.0)
    outputs = asker.handle(ReplyReceived("c", reply), at)
    decided = [each for each in outputs if isinstance(each, TokenDecided)]
    assert [(each.verdict, each.valid_until) for each in decided] == (
        [] if decision is None else [decision]
    )


def test_an_asker_goes_on_to_the_next_control_instance() -> None:
    """Guards against requests that wait for a control instance which is lost."""
    asker = TokenAsker(9)
    asker.handle(ControlsChanged((("near",), ("far",))), 0.0)
    asked = [*asker.handle(TokenWanted(1, "o", 0.4), 0.0)]
    for at in (0.05, 0.1, 0.16, 0.2, 0.25, 0.41):
        asked += asker.handle(AskerTick(), at)
    assert [e.recipient for e in asked if isinstance(e, SendAsk)] == ["near", "far"]
    assert [e.verdict for e in asked if isinstance(e, TokenDecided)] == [
        Verdict.UNKNOWN
    ]
    later = asker.handle(TokenWanted(2, "o", 2.0), 0.5)
    assert [e.recipient for e in later if isinstance(e, SendAsk)] == ["far"]


# When a burst comes after an election that is seen at 0.0, the rate, the burst, and the
# verdicts. A new leader does not know how full the bucket was.
ELECTION_CASES = [
    ("a burst at the first grant", 0.65, (10, 40), 30, {"granted", "unknown"}),
    ("a low rate", 0.9, (0.5, 3), 3, {"unknown"}),
    ("smooth demand", 0.65, (100, 0), 8, {"granted"}),
    ("a burst later on", 6.0, (10, 40), 40, {"granted"}),
    ("a flood later on", 6.0, (10, 40), 90, {"granted", "over-limit"}),
]


@pytest.mark.parametrize(
    ("after_s", "limit", "count", "verdicts"),
    [c[1:] for c in ELECTION_CASES],
    ids=[c[0] for c in ELECTION_CASES],
)
def test_a_new_leader_does_not_claim_that_a_limit_is_reached(
    after_s: float, limit: tuple[float, float], count: int, verdicts: set[str]
) -> None:
    """Guards against 429 to an organisation that is within its limit."""
    fleet = LimitFleet({"o": Limit(*limit)}, LimitSettings())
    fleet.run(20)
    fleet.elect("c1", 0.0)
    for number in range(count):
        daemon = fleet.random.choice(fleet.daemons)
        fleet.schedule(fleet.now + after_s + number / 1000, daemon, "o")
    fleet.run(after_s + 3)
    assert len(fleet.decided) == count
    assert {each.verdict.value for each in fleet.decided} == verdicts


@pytest.mark.parametrize("limit", [(10, 10), (50, 25)])
def test_a_new_leader_knows_no_level_before_a_bucket_was_full(
    limit: tuple[float, float],
) -> None:
    """Guards against 429 while the requests of the time without a leader are late."""
    fleet = LimitFleet({"o": Limit(*limit)}, LimitSettings())
    fleet.run(20)
    fleet.elect("c1", 0.0)
    rate, burst = limit
    times = [0.3] * int(burst) + [n / rate for n in range(3, int(4.5 * rate))]
    for at in times:
        fleet.schedule(fleet.now + at, fleet.random.choice(fleet.daemons), "o")
    fleet.run(8)
    assert {each.verdict.value for each in fleet.decided} == {"granted", "unknown"}


# Rate, burst, slack and the share of the limit's rate that is sent.
LOADS = [
    (2, 2, 20, 0.9),
    (10, 10, 20, 1.5),
    (50, 20, 0, 1.5),
    (300, 100, 20, 0.9),
    (300, 100, 0, 1.5),
    (10, 10, 20, 7.0),
    (300, 100, 0, 7.0),
]


@pytest.mark.parametrize(("rate", "burst", "slack", "share"), LOADS)
def test_a_limit_admits_what_it_allows_and_no_more(
    rate: float, burst: float, slack: float, share: float
) -> None:
    """64 daemons in 4 data centres send; below 7.0, only what the limit permits."""
    limit, settings = Limit(rate, burst), LimitSettings(slack=slack)
    limits = {"o": limit, "other": Limit(5, 5)}
    fleet = LimitFleet(limits, settings, 64, 11, 4)
    fleet.run(3 + 2 * burst / rate + slack / rate)
    level, at, end = burst, fleet.now, fleet.now + 10
    while (gap := fleet.random.expovariate(rate * share)) + at < end:
        level, at = min(burst, level + rate * gap), at + gap
        if share == 7 or level >= 1:
            level -= 1
            fleet.schedule(at, fleet.random.choice(fleet.daemons), "o")
    for number in range(20):
        fleet.schedule(end - number / 2, fleet.daemons[number], "other")
    fleet.run(12)
    verdicts = {"o": [each for each in fleet.decided if each.organisation == "o"]}
    admitted = [e.at for e in verdicts["o"] if e.verdict is Verdict.GRANTED]
    others = [e.verdict for e in fleet.decided if e.organisation == "other"]
    assert others == [Verdict.GRANTED] * 20
    assert count_most(admitted, settings.window_s) <= allowed(limit, settings)
    if share == 7:
        assert len(admitted) >= 10 * rate
    else:
        assert len(admitted) == len(verdicts["o"])
