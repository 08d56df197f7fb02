"""Requests of a new version that several owners grant."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.exposure import Exposure

SHARE = 0.2
SLACK = 5.0
OWNERS = 6
# Which owner grants next, and how many owners have been replaced by then.
GRANTS = st.lists(
    st.tuples(st.integers(0, OWNERS - 1), st.booleans()), max_size=300
)


@given(GRANTS)
def test_any_number_of_owners_keeps_the_share_of_a_new_version(
    grants: list[tuple[int, bool]],
) -> None:
    """Guards against a whole share of a roll-out for each new owner."""
    owners = [Exposure(SHARE, SLACK) for _ in range(OWNERS)]
    owners[0].grant_slack(0, 1)
    granted_new = 0
    for total, (owner, is_replaced) in enumerate(grants, start=1):
        if is_replaced:
            owners[owner] = Exposure(SHARE, SLACK)
        is_new = owners[owner].allows_another(now=1000 + total)
        owners[owner].record_grant(is_new=is_new)
        granted_new += is_new
        assert granted_new <= SHARE * total + SLACK
