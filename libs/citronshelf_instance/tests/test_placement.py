"""Tests of choosing a server."""

import collections

from citronshelf_instance import evidence
from citronshelf_instance import placement
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route


def count_choices(placer, count=200, tried=(), body_bytes=0, **route):
    made = make_route(**route)
    return collections.Counter(
        placer.choose(made, 'ledger', 'r1', body_bytes, tried).server_id
        for _ in range(count)
    )


class TestDistance:
    """Closer servers are preferred while they are healthy."""

    def test_prefers_zone_then_region_then_other_regions(self, clock):
        directory = make_directory(
            clock,
            make_registration('near'),
            make_registration('zone', zone='sealdah'),
            make_registration('far', zone='matigara'),
        )
        choices = count_choices(make_placer(directory, clock))
        assert choices['near'] > choices['zone'] > choices['far']

    def test_equal_servers_share_the_load(self, clock):
        entries = [make_registration(f's{n}') for n in range(4)]
        placer = make_placer(make_directory(clock, *entries), clock)
        assert min(count_choices(placer, 400).values()) > 60


class TestEvidence:
    """Servers that are probably failing or slow get few requests."""

    def test_suspected_server_is_avoided(self, clock):
        entries = [make_registration('good'), make_registration('bad')]
        directory = make_directory(clock, *entries)
        for _ in range(2):
            directory.record(
                evidence.Observation('bad', evidence.HealthSignal.FAILED, 0.0),
                'i1',
            )
        choices = count_choices(
            make_placer(directory, clock), idempotent=False
        )
        assert choices['bad'] == 0

    def test_failed_server_is_tested_with_idempotent_requests(self, clock):
        """Requests are placed 5 s after the failure.

        This is half of the mean duration of a failure.
        """
        entries = [make_registration(f's{n}') for n in range(10)]
        directory = make_directory(clock, *entries)
        directory.record(
            evidence.Observation('s0', evidence.HealthSignal.FAILED, 0.0), 'i1'
        )
        clock.now += 5.0
        for entry in entries[1:]:
            for _ in range(3):
                directory.record(
                    evidence.Observation(
                        entry.server_id, evidence.HealthSignal.GOOD, 1.0
                    ),
                    'i1',
                )
        placer = make_placer(directory, clock)
        even_share = 2000 / len(entries)
        non_idempotent_choices = count_choices(placer, 2000, idempotent=False)
        assert non_idempotent_choices['s0'] < even_share / 20
        assert count_choices(placer, 2000)['s0'] > even_share / 20

    def test_slow_server_is_avoided(self, clock):
        entries = [make_registration('good'), make_registration('slow')]
        directory = make_directory(clock, *entries)
        for _ in range(10):
            directory.record(
                evidence.Observation('slow', evidence.HealthSignal.GOOD, 6.0),
                'i1',
            )
        choices = count_choices(make_placer(directory, clock))
        assert choices['slow'] < 10

    def test_suspected_server_is_used_when_it_is_the_only_one(self, clock):
        directory = make_directory(clock, make_registration('bad'))
        for _ in range(5):
            directory.record(
                evidence.Observation('bad', evidence.HealthSignal.FAILED, 0.0),
                'i1',
            )
        assert count_choices(make_placer(directory, clock), 10) == {'bad': 10}


class TestQueues:
    """Requests avoid long queues by the time that they would wait there."""

    # Load: short requests beside long ones. Guards against a wait that counts
    # as short because the request itself is.
    def test_short_request_avoids_the_queue_of_long_ones(self, clock):
        entries = [make_registration('idle'), make_registration('queue')]
        directory = make_directory(clock, *entries)
        directory.servers['queue'].estimate.slowness = 2.0
        placer = make_placer(directory, clock)
        short = {'name': 'short', 'target_latency_s': 0.6}
        placer.usage_of(make_route(**short)).seconds = 0.05
        before = count_choices(placer, **short)['queue']
        # Most requests of this instance to the service are long ones.
        placer.service_times_s['ledger'] = 0.6
        placer.record_time = lambda service, usual_s: None
        assert count_choices(placer, **short)['queue'] < before / 2


class TestLargeBodies:
    """Load: uploads of up to 360 KB."""

    def test_they_are_spread_by_the_bytes_in_progress(self, clock):
        entries = [make_registration('free'), make_registration('busy')]
        directory = make_directory(clock, *entries)
        directory.servers['busy'].body_bytes = 720 * 1024
        placer = make_placer(directory, clock)
        choices = count_choices(placer, body_bytes=100 * 1024)
        assert choices['free'] > 3 * choices['busy']
        # Small requests do not wait for the bodies of others.
        assert count_choices(placer)['busy'] > 60

    def test_they_stay_in_the_region_even_if_distance_is_free(self, clock):
        entries = [
            make_registration('near'),
            make_registration('far', zone='matigara'),
        ]
        placer = make_placer(make_directory(clock, *entries), clock)
        placer.distances = placement.DistanceCosts(0.0, 0.0, 0.04)
        small = count_choices(placer)['far']
        large = count_choices(placer, body_bytes=360 * 1024)['far']
        assert large < small / 4


class TestExclusion:
    """Tried servers are excluded, those in backoff while others are left."""

    def test_tried_server_is_not_chosen_again(self, clock):
        directory = make_directory(clock, make_registration('s1'))
        placer = make_placer(directory, clock)
        chosen = placer.choose(make_route(), 'ledger', 'r1', 0, {'s1'})
        assert chosen is None

    def test_server_in_backoff_is_used_only_when_none_is_left(self, clock):
        entries = [make_registration('s1'), make_registration('s2')]
        directory = make_directory(clock, *entries)
        directory.servers['s1'].record_unreachable(clock.now)
        placer = make_placer(directory, clock)
        assert count_choices(placer, 20) == {'s2': 20}
        assert count_choices(placer, 20, tried={'s2'}) == {'s1': 20}


class TestListAge:
    """The longest age of the list at a choice can be read once."""

    def test_longest_age_since_the_last_reading(self, clock):
        directory = make_directory(clock, make_registration('s1'))
        placer = make_placer(directory, clock)
        count_choices(placer, 1)
        assert placer.take_longest_list_age() == 0.0
        directory.confirm(1.0)
        clock.advance(2.0)
        count_choices(placer, 1)
        directory.confirm(0.5)
        count_choices(placer, 1)
        assert placer.take_longest_list_age() == 3.0
        assert placer.take_longest_list_age() == 0.0
