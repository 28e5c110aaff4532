"""Tests of route selection and traffic splits."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_instance import configuration
from citronshelf_instance import routing
from instance_builders import make_configuration
from instance_builders import make_route

SEGMENTS = st.lists(st.sampled_from(['a', 'b', 'c']), max_size=4)


def table_of(*routes, seed=1):
    return routing.RouteTable(
        published=make_configuration(*routes), rng=random.Random(seed)
    )


def prefix_of(segments):
    return '/' + ''.join(f'{one}/' for one in segments)


class TestLongestPrefix:
    """The route with the longest prefix of the path is selected."""

    def test_prefers_the_longer_prefix(self):
        table = table_of(
            make_route(name='short', prefix='/a/'),
            make_route(name='long', prefix='/a/b/'),
        )
        assert table.match('a.example', '/a/b/c').name == 'long'
        assert table.match('a.example', '/a/bc').name == 'short'

    # The port of a Host header may be empty.
    @pytest.mark.parametrize(
        'host', ['A.Example:80', 'a.example.', 'a.example.:8080', 'a.example:']
    )
    def test_ignores_case_port_and_final_dot_of_the_host(self, host):
        table = table_of(make_route())
        assert table.match(host, '/a/x').name == 'lookup'

    @pytest.mark.parametrize('path', ['/b/', '/a', '/', '/ab/'])
    def test_finds_nothing_elsewhere(self, path):
        assert table_of(make_route()).match('a.example', path) is None

    def test_finds_nothing_for_another_host(self):
        assert table_of(make_route()).match('b.example', '/a/') is None

    @given(st.lists(SEGMENTS, max_size=6), SEGMENTS, st.sampled_from('xyz'))
    def test_agrees_with_a_scan_of_all_prefixes(self, prefixes, path, last):
        routes = {
            prefix_of(one): make_route(
                name=prefix_of(one), prefix=prefix_of(one)
            )
            for one in prefixes
        }
        target = prefix_of(path) + last
        fitting = [one for one in routes if target.startswith(one)]
        expected = max(fitting, key=len, default=None)
        found = table_of(*routes.values()).match('a.example', target)
        if routes:
            assert (found.name if found else None) == expected


class TestSplit:
    """Services of a traffic split get their shares."""

    @pytest.mark.parametrize('weights', [(90, 10), (50, 50), (1, 2, 3)])
    @pytest.mark.parametrize('seed', range(5))
    def test_shares_follow_the_weights(self, weights, seed):
        parts = tuple(
            configuration.WeightedService(f's{n}', weight)
            for n, weight in enumerate(weights)
        )
        route = make_route(weighted_services=parts)
        table = table_of(route, seed=seed)
        choices = collections.Counter(
            table.assign(route).service for _ in range(100)
        )
        for part in parts:
            share = part.weight / sum(weights)
            assert abs(choices[part.service] / 100 - share) <= 0.05
