"""Tests of which unobserved servers are chosen to get a request."""

import collections
import random

from citronshelf_instance import coverage
from citronshelf_instance import evidence
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route


class TestUnobservedServers:
    """Unobserved servers get requests until enough servers are in use."""

    def make_region_placer(
        self, clock, *, failures, unobserved_s=10.0, others=()
    ):
        """Return a placer for four servers and those of ``others``.

        s0 and s1 are healthy, s2 has just failed ``failures`` times, and s3
        failed three times ``unobserved_s`` seconds ago.
        """
        entries = [make_registration(f's{n}') for n in range(4)]
        directory = make_directory(clock, *entries, *others)
        for _ in range(3):
            self.record(directory, 's3', evidence.HealthSignal.FAILED)
        clock.now += unobserved_s
        for _ in range(20):
            for name in ('s0', 's1'):
                self.record(directory, name, evidence.HealthSignal.GOOD)
        for _ in range(failures):
            self.record(directory, 's2', evidence.HealthSignal.FAILED)
        return make_placer(directory, clock)

    def record(self, directory, server_id, signal):
        directory.record(evidence.Observation(server_id, signal, 0.0), 'i1')

    def count_choices(self, placer):
        route = make_route(idempotent=False)
        return collections.Counter(
            placer.choose(route, 'ledger', 'r1', 0, ()).server_id
            for _ in range(200)
        )

    def servers_to_test(self, placer):
        """Return ids of the servers that are chosen in 200 calls."""
        directory, now = placer.directory, placer.clock()
        servers = directory.usable('ledger')
        for server in servers:
            server.estimate.advance(now)
        rng = random.Random(1)
        recent = directory.recent_dispatches('ledger')
        chosen = [
            coverage.choose_server_to_test(servers, recent, now, rng)
            for _ in range(200)
        ]
        return {server.server_id for server in chosen if server is not None}

    def test_unobserved_server_that_may_be_healthy_is_tested(self, clock):
        choices = self.count_choices(
            self.make_region_placer(clock, failures=10)
        )
        assert choices['s3'] > 5
        assert choices['s3'] < 60

    def test_server_that_is_probably_failing_is_not_tested(self, clock):
        placer = self.make_region_placer(clock, failures=10, unobserved_s=3.0)
        assert self.count_choices(placer)['s3'] == 0

    def test_failing_server_is_not_tested(self, clock):
        choices = self.count_choices(
            self.make_region_placer(clock, failures=10)
        )
        assert choices['s2'] == 0

    def test_server_is_not_tested_after_an_outcome(self, clock):
        placer = self.make_region_placer(clock, failures=10)
        assert self.servers_to_test(placer) == {'s3'}
        self.record(placer.directory, 's3', evidence.HealthSignal.GOOD)
        assert self.servers_to_test(placer) == set()

    def test_outcome_of_an_old_request_does_not_count(self, clock):
        placer = self.make_region_placer(clock, failures=10)
        placer.directory.record(
            evidence.Observation('s3', evidence.HealthSignal.GOOD, 0.0, 2.0),
            'i1',
        )
        assert self.servers_to_test(placer) == {'s3'}

    def test_servers_of_other_regions_are_rarely_chosen(self, clock):
        others = [make_registration('far', zone='matigara')]
        placer = self.make_region_placer(clock, failures=10, others=others)
        assert self.count_choices(placer)['far'] < 5

    def test_share_of_tests_falls_with_the_request_rate(self, clock):
        placer = self.make_region_placer(clock, failures=10)
        for _ in range(250):
            self.record(placer.directory, 's0', evidence.HealthSignal.GOOD)
        assert self.count_choices(placer)['s3'] < 10
