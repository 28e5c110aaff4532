"""Tests of the estimates of a service's load."""

from citronshelf_instance import evidence
from citronshelf_instance import service_load
from instance_builders import make_directory
from instance_builders import make_registration

USUAL_S = 0.2


def make_loads(clock, count=10):
    """Return the loads of a directory with some calm servers, and it."""
    entries = [make_registration(f's{n}') for n in range(count)]
    directory = make_directory(clock, *entries)
    loads = service_load.ServiceLoads(directory=directory, clock=clock)
    loads.record_request('ledger', USUAL_S)
    return loads, directory


def observe(directory, clock, signal, slowness, *, servers=10, seconds=3.0):
    """Let servers have one observation in each tenth of a second."""
    for _ in range(round(10 * seconds)):
        clock.advance(0.1)
        for number in range(servers):
            directory.record(
                evidence.Observation(f's{number}', signal, slowness), 'i1'
            )


class TestWait:
    """The wait rises with queues and with nothing else."""

    def test_nothing_known_is_calm(self, clock):
        loads, _ = make_loads(clock)
        assert loads.get('ledger').wait_s() == 0
        assert loads.get('other').wait_s() == 0
        assert not loads.is_near_limit('other')

    # Load: a burst of one class, which queues at all servers.
    def test_queues_of_all_servers_are_seen(self, clock):
        loads, directory = make_loads(clock)
        observe(directory, clock, evidence.HealthSignal.GOOD, 3.0)
        wait_s = loads.get('ledger').wait_s()
        assert 0.8 * 2 * USUAL_S < wait_s < 1.1 * 2 * USUAL_S
        assert loads.is_near_limit('ledger')

    # Load: servers that shed at random while they are idle.
    def test_shed_requests_are_no_load(self, clock):
        loads, directory = make_loads(clock)
        observe(directory, clock, evidence.HealthSignal.SHED, 0.0)
        assert loads.get('ledger').wait_s() == 0

    # Load: a long tail of processing times; slow servers.
    def test_few_slow_servers_are_no_load(self, clock):
        loads, directory = make_loads(clock)
        observe(directory, clock, evidence.HealthSignal.GOOD, 7.0, servers=3)
        assert loads.get('ledger').wait_s() == 0

    # Load: processing times that vary, so that the mean exceeds the usual.
    def test_usual_slowness_is_learned(self, clock):
        loads, directory = make_loads(clock)
        for _ in range(120):
            observe(
                directory, clock, evidence.HealthSignal.GOOD, 1.6, seconds=1.0
            )
            loads.get('ledger')
        assert loads.get('ledger').wait_s() < 0.1 * USUAL_S

    def test_wait_ends_without_observations(self, clock):
        loads, directory = make_loads(clock)
        observe(directory, clock, evidence.HealthSignal.GOOD, 3.0)
        clock.advance(5 * evidence.SLOWNESS_DECAY_S)
        assert loads.get('ledger').wait_s() < 0.02 * USUAL_S

    # Load: slow servers; a request may still meet its deadline elsewhere.
    def test_least_wait_is_that_of_the_best_server(self, clock):
        loads, directory = make_loads(clock)
        observe(directory, clock, evidence.HealthSignal.GOOD, 3.0, servers=9)
        load = loads.get('ledger')
        servers = directory.usable('ledger')
        assert load.wait_s() > USUAL_S
        assert load.least_wait_s(servers, clock.now) < 0.1 * USUAL_S
        directory.servers['s9'].record_shed(clock.now)
        assert load.least_wait_s(servers, clock.now) > USUAL_S
