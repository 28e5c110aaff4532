"""Tests of the share of sound servers that is in use."""

import collections
import random

from citronshelf_instance import coverage
from citronshelf_instance import evidence
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route


class TestSilentServers:
    """Silent servers get a request until enough sound servers are in use."""

    def region(self, clock, *, failures, unobserved_s=10.0, others=()):
        """Return a placer before four servers, s3 silent for long."""
        entries = [make_registration(f's{n}') for n in range(4)]
        directory = make_directory(clock, *entries, *others)
        for _ in range(3):
            self.record(directory, 's3', evidence.Sign.FAILED)
        clock.now += unobserved_s
        for _ in range(20):
            for name in ('s0', 's1'):
                self.record(directory, name, evidence.Sign.GOOD)
        for _ in range(failures):
            self.record(directory, 's2', evidence.Sign.FAILED)
        return make_placer(directory, clock)

    def record(self, directory, server_id, sign):
        directory.record(evidence.Observation(server_id, sign, 0.0), 'i1')

    def choices(self, placer):
        route = make_route(idempotent=False)
        return collections.Counter(
            placer.choose(route, 'ledger', 'r1', 0, ()).server_id
            for _ in range(200)
        )

    def chosen_to_test(self, placer):
        """Return the servers that get a request to stay in use."""
        directory, now = placer.directory, placer.clock()
        servers = directory.usable('ledger')
        for server in servers:
            server.evidence.advance(now)
        rng = random.Random(1)
        recent = directory.recent_dispatches('ledger')
        chosen = [
            coverage.choose_server_to_test(servers, recent, now, rng)
            for _ in range(200)
        ]
        return {server.server_id for server in chosen if server is not None}

    def test_silent_server_that_may_be_sound(self, clock):
        seen = self.choices(self.region(clock, failures=10))
        assert seen['s3'] > 5
        assert seen['s3'] < 60

    def test_none_while_it_is_most_likely_failing(self, clock):
        placer = self.region(clock, failures=10, unobserved_s=3.0)
        assert self.choices(placer)['s3'] == 0

    def test_not_the_failing_server(self, clock):
        seen = self.choices(self.region(clock, failures=10))
        assert seen['s2'] == 0

    def test_no_longer_than_until_it_is_heard(self, clock):
        placer = self.region(clock, failures=10)
        assert self.chosen_to_test(placer) == {'s3'}
        self.record(placer.directory, 's3', evidence.Sign.GOOD)
        assert self.chosen_to_test(placer) == set()

    def test_a_request_that_was_sent_long_ago_does_not_count(self, clock):
        placer = self.region(clock, failures=10)
        placer.directory.record(
            evidence.Observation('s3', evidence.Sign.GOOD, 0.0, 2.0), 'i1'
        )
        assert self.chosen_to_test(placer) == {'s3'}

    def test_not_those_of_another_region(self, clock):
        others = [make_registration('far', zone='matigara')]
        placer = self.region(clock, failures=10, others=others)
        assert self.choices(placer)['far'] < 5

    def test_few_while_the_others_get_many_requests(self, clock):
        placer = self.region(clock, failures=10)
        for _ in range(250):
            self.record(placer.directory, 's0', evidence.Sign.GOOD)
        assert self.choices(placer)['s3'] < 10
