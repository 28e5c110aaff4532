"""Fixtures shared by the tests of the traffic package."""

import asyncio
import random

from citronshelf_common import fleet
from citronshelf_document import model
import pytest

from citronshelf_traffic import choosing
from citronshelf_traffic import region_link
from citronshelf_traffic import virtual_loop
from citronshelf_traffic import work as work_module


class Build:
    """Builds views, requests and the classes under test.

    ``now`` is the time of the clock that they share, in s.
    """

    location = fleet.Location('kolkata', 'howrah')

    def __init__(self):
        self.now = 0.0

    def clock(self):
        return self.now

    def pool(self, **changes):
        fields = {
            'slots_per_server': 2,
            'connections_per_server': 330,
            'floor_percent': 70,
        }
        return model.Pool(**{**fields, **changes})

    def service(self, **changes):
        return model.Service(pool='mint')._replace(**changes)

    def cross_region(self, **changes):
        return model.CrossRegion()._replace(**changes)

    def accounts(self, rate=50.0, burst=100, **named):
        limits = {
            name: model.AccountLimit(*pair) for name, pair in named.items()
        }
        return model.Accounts(model.AccountLimit(rate, burst), limits)

    def server(self, name, region='kolkata', zone='howrah'):
        return fleet.BackendServer(
            name,
            'mint',
            fleet.Address('127.0.0.1', 1),
            fleet.Location(region, zone),
        )

    def view(self, *servers, instances=36):
        """Build a view of servers.

        Each server is a name or the first items of a tuple (name, standing,
        weight, region).
        """
        views = []
        for entry in servers:
            entry = entry if isinstance(entry, tuple) else (entry,)
            name, standing, weight, region = (
                *entry,
                *('admitted', 1.0, 'kolkata')[len(entry) - 1 :],
            )
            views.append(
                fleet.ServerView(
                    self.server(name, region), fleet.Standing(standing), weight
                )
            )
        return fleet.FleetView(1, tuple(views), instances)

    def work(self, number=0, **changes):
        fields = {
            'request_id': f'r{number}',
            'service': 'mint',
            'pool': 'mint',
            'request_class': 'issue',
            'idempotent': True,
            'long': False,
            'worth': 1.0,
            'expected_ms': 40.0,
            'deadline_at': self.now + 5.0,
        }
        return work_module.Work(**{**fields, **changes})

    def link(self, **changes):
        return region_link.RegionLink(
            megabits=30,
            cross_region=self.cross_region(**changes),
            clock=self.clock,
        )

    def chooser(self, *servers, link=None, instances=36, seed=1, **pool):
        chooser = choosing.ServerChooser(
            instance='e1',
            location=self.location,
            store_region='kolkata',
            link=link or self.link(),
            rng=random.Random(seed),
            clock=self.clock,
        )
        chooser.set_pools({'mint': self.pool(**pool)})
        chooser.set_view(self.view(*servers, instances=instances))
        return chooser


@pytest.fixture
def build():
    return Build()


@pytest.fixture
def builder():
    return Build


@pytest.fixture
def run():
    """Run a coroutine function on an event loop with a virtual clock."""

    def run_virtual(main):
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            return runner.run(main())

    return run_virtual
