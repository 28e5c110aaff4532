"""Tests of admission control."""

import logging
import random


from citronshelf_instance import admission
from citronshelf_instance import caller_identity
from citronshelf_instance import evidence
from citronshelf_instance import metrics
from citronshelf_instance import routing
from citronshelf_instance import service_load
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route
from test_request_handler import make_request

MIN_SHARE = 0.25
SETTINGS = admission.AdmissionSettings(MIN_SHARE)
URGENT = {'name': 'pay', 'priority': 0, 'target_latency_s': 0.4}
OTHER = {'name': 'amend', 'priority': 2, 'target_latency_s': 1.4}


class Site:
    """An instance before ten servers whose queues are set by the test."""

    def __init__(self, clock, settings=SETTINGS):
        self.clock = clock
        entries = [make_registration(f's{n}') for n in range(10)]
        self.directory = make_directory(clock, *entries)
        self.placer = make_placer(self.directory, clock)
        self.loads = service_load.ServiceLoads(
            directory=self.directory, clock=clock
        )
        self.admission = admission.Admission(
            loads=self.loads,
            placer=self.placer,
            settings=settings,
            metrics=metrics.InstanceMetrics(),
            clock=clock,
            rng=random.Random(1),
        )

    def check(self, route, caller=caller_identity.ANONYMOUS):
        """Return the refusal of a request to a route, if any."""
        made = make_route(**({'timeout_s': 2.0} | route))
        self.placer.usage_of(made).seconds = 0.1
        request = make_request()._replace(arrived_s=self.clock.now)
        routed = routing.RoutedService(made, 'ledger')
        return self.admission.check(request, routed, caller)

    def run(self, seconds, slowness, *callers, signal=None):
        """Send requests of both classes while servers have a slowness.

        Returns the refusals by class, each a list with None for an admitted
        request.
        """
        refusals = {'pay': [], 'amend': []}
        for number in range(round(20 * seconds)):
            self.clock.advance(0.05)
            for server in self.directory.servers:
                self.directory.record(
                    evidence.Observation(
                        server,
                        signal or evidence.HealthSignal.GOOD,
                        slowness,
                    ),
                    'i1',
                )
            caller = caller_identity.ANONYMOUS
            if callers:
                caller = callers[number % len(callers)]
            for route in (URGENT, OTHER):
                refusals[route['name']].append(self.check(route, caller))
        return refusals


def refused_share(refusals):
    """Return the share of refused requests."""
    return sum(one is not None for one in refusals) / len(refusals)


class TestCalm:
    """Without queues, nothing is refused."""

    def test_nothing_is_refused(self, clock):
        refusals = Site(clock).run(5.0, 1.0)
        assert set(refusals['pay'] + refusals['amend']) == {None}

    # Load: servers that shed at random while they are idle.
    def test_shed_requests_refuse_nothing(self, clock):
        site = Site(clock)
        refusals = site.run(5.0, 0.0, signal=evidence.HealthSignal.SHED)
        assert set(refusals['pay'] + refusals['amend']) == {None}

    def test_without_the_table_nothing_is_refused(self, clock):
        refusals = Site(clock, settings=None).run(10.0, 9.0)
        assert set(refusals['pay'] + refusals['amend']) == {None}


class TestReload:
    """Load: a burst, during which operators remove the settings.

    Guards against usual times that follow long responses too slowly for ever.
    """

    def test_removed_settings_end_the_overload(self, clock):
        site = Site(clock)
        site.run(8, 10.0)
        assert any(usage.is_queued for usage in site.placer.usage.values())
        site.admission.set_settings(None)
        usages = site.placer.usage.values()
        assert not any(usage.is_queued for usage in usages)
        site.admission.set_settings(SETTINGS)
        assert site.check(OTHER) is None


class TestClasses:
    """The least urgent class is refused first, and gradually.

    Load: a burst of one class.
    """

    def test_less_urgent_class_is_refused_first(self, clock):
        site = Site(clock)
        site.run(1.0, 1.0)
        refusals = site.run(0.8, 3.0)
        assert refused_share(refusals['pay']) == 0
        assert refused_share(refusals['amend']) > 0.2
        refusals = site.run(1.0, 3.0)
        assert refused_share(refusals['pay']) < refused_share(
            refusals['amend']
        )

    def test_no_class_is_refused_completely(self, clock):
        refusals = Site(clock).run(20.0, 9.0)
        for one in refusals.values():
            assert refused_share(one) <= 1 - MIN_SHARE

    # A class is refused only for its own target and more urgent ones.
    def test_urgent_class_is_not_refused_for_others(self, clock):
        site = Site(clock)
        strict = OTHER | {'target_latency_s': 0.15}
        lax = URGENT | {'target_latency_s': 1.9}
        refused = []
        for _ in range(100):
            site.run(0.05, 3.0)
            site.check(strict)
            refused.append(site.check(lax | {'name': 'lax', 'priority': -1}))
        assert set(refused) == {None}

    def test_refusals_end_after_the_burst(self, clock, caplog):
        site = Site(clock)
        with caplog.at_level(logging.INFO):
            site.run(3.0, 4.0)
            site.run(15.0, 1.0)
            refusals = site.run(1.0, 1.0)
        assert set(refusals['pay'] + refusals['amend']) == {None}
        names = [r.event_name for r in caplog.records]
        assert names.count('service-overloaded') == 1
        assert names.count('service-calm') == 1

    def test_priority_of_the_account_takes_precedence(self, clock):
        site = Site(clock)
        site.run(1.0, 1.0)
        caller = caller_identity.Caller('a', 0)
        refusals = site.run(1.5, 3.0, caller)
        # Both routes are then in one class, whose own target matters.
        assert set(site.admission.by_service['ledger'].classes) == {0, 2}
        assert len(refusals['amend']) == 30


class TestAccounts:
    """Load: one account far over its usual rate."""

    def test_account_over_its_share_is_refused_more(self, clock, caplog):
        site = Site(clock)
        loud, quiet = (caller_identity.Caller(name) for name in 'lq')
        callers = [loud] * 5 + [quiet]
        site.run(1.0, 1.0, *callers)
        with caplog.at_level(logging.INFO):
            refusals = site.run(6.0, 2.6, *callers)['amend']
        of_quiet = refused_share(refusals[5::6])
        of_loud = refused_share(
            [r for n, r in enumerate(refusals) if n % 6 < 5]
        )
        assert of_loud > 2 * of_quiet
        assert of_loud <= 1 - MIN_SHARE
        assert 'account-over-share' in [r.event_name for r in caplog.records]


class TestDeadline:
    """Load: slow servers, of which none can end a request in its time."""

    def test_hopeless_request_is_refused_at_once(self, clock):
        site = Site(clock)
        site.run(3.0, 9.0)
        refusal = site.check(URGENT | {'timeout_s': 0.3})
        assert (refusal.status, refusal.reason) == (
            503,
            admission.LATE_REASON,
        )

    def test_one_fast_server_is_enough(self, clock):
        site = Site(clock, admission.AdmissionSettings(1.0))
        site.run(3.0, 9.0)
        site.directory.servers['s3'].estimate.slowness = 1.0
        assert site.check(URGENT | {'timeout_s': 0.3}) is None


class TestRetryAfter:
    """Load: the return of a crowd of refused callers."""

    def test_it_is_the_time_of_the_queue_and_spread(self, clock):
        site = Site(clock)
        site.run(3.0, 5.0)
        wait_s = site.loads.get('ledger').wait_s()
        times_s = [
            refusal.retry_after_s
            for refusal in site.run(2.0, 5.0)['amend']
            if refusal is not None
        ]
        assert len(times_s) > 10
        assert min(times_s) >= 0.9 * wait_s
        assert max(times_s) <= 2.1 * wait_s
        assert max(times_s) - min(times_s) > 0.5 * wait_s
