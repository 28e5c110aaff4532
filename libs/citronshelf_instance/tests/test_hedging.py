"""Tests of the decisions about second attempts."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_instance import evidence
from citronshelf_instance import hedging
from instance_builders import FakeClock
from instance_builders import make_directory
from instance_builders import make_registration
from instance_builders import make_route

LIMIT = 0.05
TABLE = {'limit': LIMIT, 'quantile': 0.9}
RULE = hedging.Rule('', LIMIT, 0.9)


def make_hedger(clock, table=TABLE, seed=1):
    return hedging.Hedger(table=table, clock=clock, rng=random.Random(seed))


def make_servers(clock, count=4):
    entries = [make_registration(f's{number}') for number in range(count)]
    directory = make_directory(clock, *entries)
    for server in directory.servers.values():
        server.estimate.failure_probability = 0.01
    return list(directory.servers.values())


def observe(server, signal, slowness=0.0, *, times=1, now):
    for _ in range(times):
        server.estimate.record(
            evidence.Observation(server.server_id, signal, slowness), now
        )


class TestRules:
    """Settings of a route precede those of its service."""

    def test_no_table_gives_no_rule(self, clock):
        hedger = make_hedger(clock, None)
        assert hedger.find_rule(make_route(), 'ledger') is None

    # Guards against a second execution of work that may run once.
    def test_work_that_may_run_once_has_no_rule(self, clock):
        route = make_route(idempotent=False)
        assert make_hedger(clock).find_rule(route, 'ledger') is None

    @pytest.mark.parametrize(
        'parts, expected',
        [
            ({}, RULE),
            ({'services': {'other': {'limit': 0.5}}}, RULE),
            (
                {'services': {'ledger': {'after_s': 0.3}}},
                hedging.Rule('', LIMIT, 0.9, 0.3),
            ),
            (
                {
                    'services': {'ledger': {'after_s': 0.3, 'limit': 0.5}},
                    'routes': {'lookup': {'quantile': 0.99}},
                },
                hedging.Rule('service', 0.5, 0.99),
            ),
            (
                {
                    'services': {'ledger': {'limit': 0.5}},
                    'routes': {'lookup': {'limit': 0.0}},
                },
                hedging.Rule('route', 0.0, 0.9),
            ),
        ],
    )
    def test_most_specific_value_counts(self, parts, expected):
        found = hedging.find_rule(TABLE | parts, 'lookup', 'ledger')
        assert found == expected

    def test_table_without_time_has_the_default_quantile(self):
        rule = hedging.find_rule({'limit': 0.1}, 'lookup', 'ledger')
        assert rule == hedging.Rule('', 0.1, hedging.DEFAULT_QUANTILE)


class FleetModel:
    """Instances whose requests are all slow and take every credit."""

    def __init__(self, instances):
        self.clock = FakeClock()
        self.rng = random.Random(3)
        self.hedgers = [None] * instances
        for number in range(instances):
            self.restart(number)
        self.requests_s = []
        self.seconds_s = []

    def restart(self, number):
        self.hedgers[number] = hedging.Hedger(
            table=TABLE, clock=self.clock, rng=self.rng
        )

    def request(self, number, *, slow=True):
        hedger = self.hedgers[number]
        hedger.record_request(RULE, 'lookup', 'ledger')
        self.requests_s.append(self.clock.now)
        if slow and hedger.has_credit(RULE, 'lookup', 'ledger'):
            hedger.spend(RULE, 'lookup', 'ledger')
            self.seconds_s.append(self.clock.now)

    def largest_excess(self):
        """Return the most second attempts above the limit in any window.

        The requests are those of the window and of the life of a credit
        before it.
        """
        life_s = hedging.retry_budget.CREDIT_LIFE_SHARE * hedging.WINDOW_S
        excess = 0.0
        for begin_s in self.seconds_s:
            end_s = begin_s + hedging.WINDOW_S
            spent = sum(begin_s <= t < end_s for t in self.seconds_s)
            earning = sum(
                begin_s - life_s <= t < end_s for t in self.requests_s
            )
            excess = max(excess, spent - LIMIT * earning)
        return excess


class TestLimit:
    """The limit holds summed over instances that do not know each other."""

    # Credits are rounded at each instance: their sum deviates by some times
    # the square root of the number of instances.
    @pytest.mark.parametrize('instances', [1, 24, 110])
    def test_sum_keeps_the_limit_while_all_requests_are_slow(self, instances):
        fleet = FleetModel(instances)
        for _ in range(6000):
            fleet.clock.advance(1 / 50)
            fleet.request(fleet.rng.randrange(instances))
        assert len(fleet.seconds_s) > 0.6 * LIMIT * len(fleet.requests_s)
        assert len(fleet.seconds_s) <= LIMIT * len(fleet.requests_s)
        assert fleet.largest_excess() <= 2 * instances**0.5

    # Guards against calm times that pay for a burst of second attempts.
    def test_unused_credits_expire(self):
        fleet = FleetModel(24)
        for number in range(12000):
            fleet.clock.advance(1 / 50)
            fleet.request(fleet.rng.randrange(24), slow=number > 9000)
        assert fleet.largest_excess() <= 2 * 24**0.5

    # Guards against restarts that each begin with a credit.
    def test_restarting_instances_keep_the_limit(self):
        fleet = FleetModel(24)
        for _ in range(6000):
            fleet.clock.advance(1 / 50)
            number = fleet.rng.randrange(24)
            if fleet.rng.random() < 0.05:
                fleet.restart(number)
            fleet.request(number)
        assert fleet.largest_excess() <= 2 * 24**0.5

    def test_limit_of_zero_allows_none(self, clock):
        hedger = make_hedger(clock)
        none = RULE._replace(limit=0.0)
        for _ in range(1000):
            hedger.record_request(none, 'lookup', 'ledger')
        assert not hedger.has_credit(none, 'lookup', 'ledger')

    # Guards against extra work at one service that another one pays for.
    def test_services_and_limited_routes_have_their_own_credits(self, clock):
        hedger = make_hedger(clock)
        for _ in range(1000):
            hedger.record_request(RULE, 'lookup', 'ledger')
        assert hedger.has_credit(RULE, 'other', 'ledger')
        assert not hedger.has_credit(RULE, 'lookup', 'archive')
        of_route = RULE._replace(scope='route')
        assert not hedger.has_credit(of_route, 'lookup', 'ledger')


class TestTimes:
    """The delay follows the recent response times of the route."""

    @given(st.lists(st.floats(0.001, 60.0), min_size=20, max_size=300))
    def test_quantile_is_within_the_accuracy(self, values):
        times = hedging.RouteTimes(clock=FakeClock())
        for value in values:
            times.record(value)
        exact = sorted(values)[int(0.9 * (len(values) - 1))]
        found = times.merged().get_quantile_value(0.9)
        assert found == pytest.approx(exact, rel=0.03)

    @given(
        st.lists(st.floats(0.001, 60.0), min_size=20, max_size=300),
        st.floats(0.0, 1.0),
    )
    def test_second_attempt_never_starts_before_the_quantile(
        self, values, share
    ):
        times = hedging.RouteTimes(clock=FakeClock())
        for value in values:
            times.record(value)
        exact = sorted(values)[int(0.9 * (len(values) - 1))]
        assert times.start_s(0.9, share) >= exact

    # Guards against credits that are spent on requests that are about to end:
    # 2 of 5 slow requests end at 0.5 s and the others at 3 s.
    # With credits for all of them, it does not pay to wait.
    @pytest.mark.parametrize(
        'share, after_s', [(0.2, 0.5), (0.6, 0.5), (1.0, 0.45)]
    )
    def test_start_is_after_the_times_that_end_soon(self, share, after_s):
        tail_s = [0.45] * 8 + [0.5] * 8 + [3.0] * 24
        start_s = hedging.choose_start_s(tail_s, usual_s=0.4, share=share)
        assert start_s == pytest.approx(after_s * hedging.START_MARGIN)

    def test_few_credits_are_kept_for_the_longest_requests(self):
        tail_s = [1.0] * 20 + [2.0] * 16 + [9.0] * 4
        few_s = hedging.choose_start_s(tail_s, usual_s=0.4, share=0.05)
        many_s = hedging.choose_start_s(tail_s, usual_s=0.4, share=1.0)
        assert few_s == pytest.approx(2.0 * hedging.START_MARGIN)
        assert many_s == pytest.approx(1.0 * hedging.START_MARGIN)

    # Guards against extra work that saves nothing.
    def test_times_without_a_tail_start_after_the_longest(self):
        start_s = hedging.choose_start_s(
            [0.5] * 39 + [0.6], usual_s=0.4, share=1.0
        )
        assert start_s == pytest.approx(0.6 * hedging.START_MARGIN)

    # Guards against a tail that is forgotten because its requests are
    # cancelled: the second attempts would stop.
    def test_lower_bounds_count_as_longer_times(self, clock):
        hedger = make_hedger(clock)
        rng = random.Random(4)
        for number in range(3000):
            clock.advance(0.1)
            if rng.random() >= 0.07:
                hedger.record_time('lookup', 0.1)
            elif number < 200:
                hedger.record_time('lookup', 3.0)
            else:
                hedger.record_time('lookup', 0.25, is_lower_bound=True)
        merged = hedger.times['lookup'].merged()
        assert merged.get_quantile_value(0.95) == pytest.approx(3.0, rel=0.03)
        assert hedger.delay_s(RULE, 'lookup') < 0.2

    def test_unknown_tail_keeps_the_lower_bound(self, clock):
        times = hedging.RouteTimes(clock=clock)
        assert times.draw_longer(0.7, random.Random(1)) == 0.7
        for _ in range(50):
            times.record(0.1)
        assert times.draw_longer(0.7, random.Random(1)) == 0.7

    def test_sketches_of_instances_merge(self, clock):
        rng = random.Random(2)
        values = [rng.lognormvariate(-2, 1) for _ in range(4000)]
        whole = hedging.new_sketch()
        for begin in range(0, 4000, 500):
            times = hedging.RouteTimes(clock=clock)
            for value in values[begin : begin + 500]:
                times.record(value)
            whole.merge(times.merged())
        exact = sorted(values)[int(0.99 * 3999)]
        assert whole.get_quantile_value(0.99) == pytest.approx(exact, rel=0.03)

    # Guards against a delay that keeps the times of an episode that is over.
    def test_old_times_are_forgotten(self, clock):
        hedger = make_hedger(clock)
        for seconds in [5.0] * 100 + [0.1] * 200:
            clock.advance(1.0)
            hedger.record_time('lookup', seconds)
        assert hedger.delay_s(RULE, 'lookup') < 0.12

    def test_quiet_route_keeps_its_times(self, clock):
        hedger = make_hedger(clock)
        for _ in range(30):
            clock.advance(20.0)
            hedger.record_time('lookup', 0.1)
        assert 0.1 < hedger.delay_s(RULE, 'lookup') < 0.12

    def test_few_times_give_no_delay(self, clock):
        hedger = make_hedger(clock)
        assert hedger.delay_s(RULE, 'lookup') is None
        hedger.record_time('lookup', 0.1)
        assert hedger.delay_s(RULE, 'lookup') is None
        assert hedger.delay_s(RULE._replace(after_s=0.4), 'lookup') == 0.4

    # Guards against memory that grows with the routes and the responses.
    def test_memory_is_bounded(self, clock):
        hedger = make_hedger(clock)
        for number in range(2 * hedging.MAX_ROUTES):
            hedger.record_time(f'route-{number}', 0.1)
        assert len(hedger.times) == hedging.MAX_ROUTES
        times = hedging.RouteTimes(clock=clock)
        rng = random.Random(1)
        for _ in range(20_000):
            times.record(10 ** rng.uniform(-9, 9))
        bins = times.current._store.length()
        assert bins <= hedging.SKETCH_BINS


class TestRoom:
    """Extra work goes only where there is room."""

    def test_calm_and_unknown_services_have_room(self, clock):
        assert not hedging.is_near_limit([], clock())
        assert not hedging.is_near_limit(make_servers(clock), clock())

    # Load: one slow server, or some long requests, of a service with room.
    def test_one_slow_server_is_no_load(self, clock):
        servers = make_servers(clock)
        observe(
            servers[0], evidence.HealthSignal.GOOD, 20.0, times=9, now=clock()
        )
        assert not hedging.is_near_limit(servers, clock())

    # Load: requests wait at all servers.
    def test_queues_at_most_servers_are_load(self, clock):
        servers = make_servers(clock)
        for server in servers[1:]:
            observe(
                server, evidence.HealthSignal.GOOD, 3.0, times=9, now=clock()
            )
        assert hedging.is_near_limit(servers, clock())
        clock.advance(30.0)
        assert not hedging.is_near_limit(servers, clock())

    # Load: servers that refuse at random while they are idle.
    def test_refusals_count_only_beside_queues(self, clock):
        servers = make_servers(clock)
        for server in servers:
            server.record_shed(clock())
        assert not hedging.is_near_limit(servers, clock())
        for server in servers:
            observe(
                server, evidence.HealthSignal.GOOD, 1.7, times=20, now=clock()
            )
        assert hedging.is_near_limit(servers, clock())


class TestDoubt:
    """No second attempt goes to a server as doubtful as the first."""

    def find_doubtful(self, clock, servers):
        return make_hedger(clock).find_doubtful(servers[0], servers)

    def test_healthy_servers_are_good_places(self, clock):
        assert self.find_doubtful(clock, make_servers(clock)) == {'s0'}

    def test_failing_slow_and_avoided_servers_are_not(self, clock):
        servers = make_servers(clock, 5)
        failed = evidence.HealthSignal.FAILED
        observe(servers[1], failed, times=2, now=clock())
        observe(
            servers[2], evidence.HealthSignal.GOOD, 9.0, times=9, now=clock()
        )
        servers[3].record_unreachable(clock())
        expected = {'s0', 's1', 's2', 's3'}
        assert self.find_doubtful(clock, servers) == expected

    def test_less_doubtful_server_is_a_good_place(self, clock):
        servers = make_servers(clock, 3)
        for server, probability in zip(servers, [0.5, 0.3, 0.6], strict=True):
            server.estimate.failure_probability = probability
        assert self.find_doubtful(clock, servers) == {'s0', 's2'}
