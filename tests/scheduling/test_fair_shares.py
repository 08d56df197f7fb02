"""Fair shares of teams: tags, weights and standings."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.fair_shares import (
    MAX_LEAD_REQUESTS,
    FairShares,
    weights_of_teams,
)
from hornbeamdeck.scheduling.standing import Standing
from tests.scheduling.engine_cell_factories import make_team

COST_MS = 100.0
MANY = int(MAX_LEAD_REQUESTS) * 3
TEAMS = ('guides', 'families', 'sales')


def _flood(shares: FairShares, team: str, count: int = MANY) -> None:
    """Let a team use slots while the other teams' requests wait."""
    for _ in range(count):
        shares.charge(team, COST_MS, 0)


def test_weights_follow_the_limits() -> None:
    """Teams without a limit would get nothing, or all, if they had no weight
    that compares with the others'.
    """
    teams = {
        'a': make_team('a', rate=300),
        'b': make_team('b', rate=100),
        'c': make_team('c', rate=0),
    }
    assert weights_of_teams(teams) == {'a': 1.5, 'b': 0.5}
    assert not weights_of_teams({'c': make_team('c', rate=0)})


def test_a_flood_puts_its_team_beyond_its_share() -> None:
    shares = FairShares()
    shares.add_waiting('light', 0)
    shares.add_waiting('heavy', 0)
    _flood(shares, 'heavy')
    assert shares.standing('heavy', 0) == Standing.BEYOND_SHARE
    assert shares.standing('light', 0) == Standing.WITHIN_SHARE
    assert shares.beyond(0) == {'heavy'}


def test_no_team_is_beyond_its_share_while_no_other_waits() -> None:
    """Guards against a heavy team that is refused what nobody else asks for."""
    shares = FairShares()
    shares.add_waiting('light', 0)
    shares.add_waiting('heavy', 0)
    _flood(shares, 'heavy')
    shares.remove_waiting('light')
    assert not shares.beyond(0)
    assert shares.beyond(0, 'light') == {'heavy'}


def test_teams_that_are_all_beyond_their_shares_are_equal() -> None:
    """Guards against an order that differs from the one by urgency although no
    team within its share would gain from that.
    """
    shares = FairShares()
    for _ in range(MANY):
        shares.add_waiting('a', 0)
        shares.add_waiting('b', 0)
    _flood(shares, 'a', 1)
    assert shares.standing('a', 0) == Standing.BEYOND_SHARE
    assert shares.standing('b', 0) == Standing.BEYOND_SHARE
    assert not shares.beyond(0)


def test_requests_that_wait_count_before_they_are_charged() -> None:
    """A new owner has charged nobody yet. If a team's waiting requests did not
    count, a heavy team would fill the slots once at each change of the owner.
    """
    shares = FairShares()
    shares.charge('other', COST_MS, 0)
    shares.add_waiting('light', 0)
    for _ in range(MANY):
        shares.add_waiting('heavy', 0)
    assert shares.beyond(0) == {'heavy'}


def test_an_idle_team_saves_up_nothing_and_a_lead_is_forgotten() -> None:
    shares = FairShares()
    shares.add_waiting('light', 0)
    shares.add_waiting('heavy', 0)
    _flood(shares, 'heavy')
    shares.remove_waiting('heavy')
    assert shares.standing('heavy', 60_000) == Standing.WITHIN_SHARE
    late = 'idle until now'
    shares.add_waiting(late, 60_000)
    _flood(shares, late)
    assert shares.standing(late, 0) == Standing.BEYOND_SHARE


def test_a_run_that_takes_less_is_credited_at_its_end() -> None:
    """Callers may ask for many more output tokens than come. If a team were
    charged for them, it would be beyond its share without having used it.
    """
    shares = FairShares()
    shares.add_waiting('light', 0)
    shares.add_waiting('heavy', 0)
    _flood(shares, 'heavy')
    for _ in range(MANY):
        shares.correct('heavy', -COST_MS, 0)
    assert shares.standing('heavy', 0) == Standing.WITHIN_SHARE


def test_a_weight_multiplies_what_a_team_may_use() -> None:
    shares = FairShares()
    shares.apply_weights({'big': 3.0})
    for team in ('big', 'small', 'light'):
        shares.add_waiting(team, 0)
    used = {'big': 0, 'small': 0}
    for _ in range(400):
        team = min(used, key=shares.tag)
        shares.charge(team, COST_MS, 0)
        used[team] += 1
    assert 2.8 < used['big'] / used['small'] < 3.2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('wait', 'start', 'leave', 'end', 'weigh')),
        st.sampled_from(TEAMS),
        st.integers(1, 1000),
        st.integers(0, 500),
    ),
    max_size=120,
)


class _Waiting:
    """Shares, and which teams wait by the test's own count."""

    def __init__(self) -> None:
        self.shares = FairShares()
        self.teams: Counter[str] = Counter()

    def apply(self, action: str, team: str, cost_ms: int, now: float) -> None:
        """Apply one step."""
        if action == 'wait':
            self.shares.add_waiting(team, now)
            self.teams[team] += 1
        elif action == 'end':
            self.shares.correct(team, cost_ms - 500, now)
        elif action == 'weigh':
            self.shares.apply_weights({team: cost_ms / 100})
        elif self.teams[team]:
            self._leave(team, cost_ms * (action == 'start'), now)

    def _leave(self, team: str, cost_ms: int, now: float) -> None:
        if cost_ms:
            self.shares.charge(team, cost_ms, now)
        self.shares.remove_waiting(team)
        self.teams[team] -= 1


@given(STEPS)
def test_only_waiting_teams_are_beyond_and_one_is_within(
    steps: list[tuple[str, str, int, int]],
) -> None:
    """Guards against all teams of a rank being kept back at once, and against
    teams that stay counted after their last request.
    """
    waiting = _Waiting()
    now = 0.0
    for action, team, cost_ms, passed_ms in steps:
        now += passed_ms
        waiting.apply(action, team, cost_ms, now)
        asking = set(+waiting.teams)
        beyond = waiting.shares.beyond(now)
        assert beyond <= asking
        assert not beyond or beyond != asking


@given(
    st.lists(st.integers(10, 1000), min_size=100, max_size=200),
    st.lists(st.integers(1, 4), min_size=3, max_size=3),
)
def test_waiting_teams_are_served_by_weight(
    costs_ms: list[int], weights: list[int]
) -> None:
    """Guards against shares that depend on the sizes of requests or on the
    order in which teams arrive.
    """
    shares = FairShares()
    by_team = dict(zip(TEAMS, map(float, weights), strict=True))
    shares.apply_weights(by_team)
    for team in TEAMS:
        shares.add_waiting(team, 0)
    used = dict.fromkeys(TEAMS, 0.0)
    for cost_ms in costs_ms:
        following = min(TEAMS, key=shares.tag)
        shares.charge(following, cost_ms, 0)
        used[following] += cost_ms / by_team[following]
    assert max(used.values()) - min(used.values()) <= 2 * max(costs_ms)
