"""Builders shared by the tests of the instance."""

import random
import time

from citronshelf_common import fleet
from citronshelf_instance import account_table
from citronshelf_instance import configuration
from citronshelf_instance import placement
from citronshelf_instance import published
from citronshelf_instance import registrations


class FakeClock:
    """Monotonic clock that a test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


def make_route(**changes):
    """Return a route to service ``ledger``."""
    values = {
        'name': 'lookup',
        'host': 'a.example',
        'prefix': '/a/',
        'weighted_services': (configuration.WeightedService('ledger', 1.0),),
        'idempotent': True,
        'max_servers': 2,
        'timeout_s': 1.5,
        'target_latency_s': 0.6,
        'priority': 1,
    }
    return configuration.Route(**(values | changes))


def make_configuration(*routes, **changes):
    """Return a configuration with the given or a default route."""
    values = {
        'revision': 5,
        'version': 1,
        'routes': routes or (make_route(),),
        'services': ('ledger',),
        'limits': configuration.CallerLimits(),
    }
    return configuration.Configuration(**(values | changes))


def make_registration(server_id='s1', **changes):
    """Return a registration of a ready server."""
    values = {
        'server_id': server_id,
        'service': 'ledger',
        'address': fleet.Address('127.0.0.1', 9),
        'zone': 'howrah',
        'slots': 2,
        'draining': False,
        'warm_up_s': 0.0,
        'started_ms': 0,
    }
    return configuration.Registration(**(values | changes))


def make_directory(clock, *entries):
    """Return a directory with the given registrations."""
    directory = registrations.Directory(clock=clock)
    directory.replace(configuration.Snapshot(1, None, entries))
    return directory


def make_placer(directory, clock, seed=1):
    """Return the placer of an instance in zone howrah."""
    return placement.Placer(
        directory=directory,
        location=fleet.Location('kolkata', 'howrah'),
        regions={
            'howrah': 'kolkata',
            'sealdah': 'kolkata',
            'matigara': 'siliguri',
        },
        distances=placement.DistanceCosts(0.005, 0.032, 0.04),
        clock=clock,
        rng=random.Random(seed),
    )


def make_account(name, *keys, **changes):
    """Return an account with the digests of the given keys."""
    digests = tuple(account_table.digest_of(key) for key in keys)
    return configuration.Account(name, digests, **changes)


def make_state(*, revision=5, routes=(), accounts=()):
    """Return the state of an instance with one configuration in force."""
    state = published.PublishedState(
        directory=registrations.Directory(clock=time.monotonic),
        clock=time.monotonic,
        rng=random.Random(1),
    )
    publish(state, revision=revision, routes=routes, accounts=accounts)
    return state


def publish(state, *, revision, routes=(), accounts=()):
    """Put another configuration in force."""
    made = make_configuration(*routes, revision=revision, accounts=accounts)
    state.replace(
        configuration.Snapshot(revision, made, ()),
        source=published.STORE_SOURCE,
    )
