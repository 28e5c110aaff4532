"""Tests of the shares of accounts in a class."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_instance import fair_share


def make_shares(demands, admitted_share, weights=None):
    """Return shares that have counted the requests of each account."""
    shares = fair_share.FairShares(
        rng=random.Random(1),
        weight_of=lambda name: (weights or {}).get(name, 1.0),
    )
    for name, count in demands.items():
        for _ in range(count):
            shares.record(name)
    shares.update(0.0, admitted_share)
    return shares


class TestLevel:
    """An account over its share is refused before the others.

    Load: one account far over its usual rate.
    """

    def test_account_over_its_share_is_refused_first(self):
        shares = make_shares({'a': 10, 'b': 10, 'loud': 60}, 0.5)
        assert shares.admitted_share('a', 0.25) == 1.0
        assert shares.admitted_share('loud', 0.25) == pytest.approx(1 / 3)

    def test_large_account_with_a_high_limit_is_not(self):
        shares = make_shares(
            {'a': 10, 'large': 60}, 0.5, weights={'large': 6.0}
        )
        assert shares.admitted_share('large', 0.25) == pytest.approx(0.5)
        assert shares.admitted_share('a', 0.25) == pytest.approx(0.5)

    def test_each_account_keeps_the_least_share(self):
        shares = make_shares({'a': 2, 'loud': 500}, 0.1)
        assert shares.admitted_share('loud', 0.25) == 0.25

    @given(
        st.dictionaries(
            st.sampled_from('abcdef'), st.integers(1, 60), min_size=1
        ),
        st.floats(0.05, 1.0),
    )
    def test_admitted_requests_add_up(self, demands, admitted_share):
        shares = make_shares(demands, admitted_share)
        admitted = sum(
            count * shares.admitted_share(name, 0.0)
            for name, count in demands.items()
        )
        total = sum(demands.values())
        assert admitted == pytest.approx(admitted_share * total)


class TestCounting:
    """Counts are bounded and forgotten."""

    def test_quiet_account_is_forgotten(self):
        shares = make_shares({'a': 5}, 0.5)
        shares.update(60.0, 0.5)
        assert shares.accounts == {}

    # Guards against memory without a bound.
    def test_accounts_beyond_the_limit_share_one_count(self):
        shares = make_shares({}, 1.0)
        names = {
            shares.record(f'account-{number}')
            for number in range(fair_share.MAX_ACCOUNTS + 100)
        }
        assert len(shares.accounts) <= fair_share.MAX_ACCOUNTS + 1
        assert fair_share.OTHER_ACCOUNTS in names

    # Guards against an account that is refused for long by chance.
    def test_admitted_requests_are_spaced_evenly(self):
        shares = make_shares({'a': 1}, 0.25)
        admitted = [shares.try_admit('a', 0.25) for _ in range(400)]
        assert sum(admitted) == pytest.approx(100, abs=1)
        assert all(sum(admitted[n : n + 4]) == 1 for n in range(396))
