"""Instances with their peers on links without delay."""

import asyncio
import random
from typing import NamedTuple


from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from instance_builders import make_configuration
from instance_builders import make_registration


class FakeRoute(NamedTuple):
    """Connection that an instance opened, at its other end."""

    address: fleet.Address


class FakeNetwork:
    """Delivers messages at once, except from and to unreachable addresses.

    On stale connections, which lead to a process that has ended without a
    close, messages get lost. They are (sender, receiver) addresses.
    """

    def __init__(self):
        self.links = {}
        self.unreachable = set()
        self.stale = set()
        self.sent = 0


class FakeLinks:
    """Links of one instance on a ``FakeNetwork``."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.on_message = None
        self.disconnected = []
        network.links[address] = self

    def connect(self, address):
        pass

    def disconnect(self, address):
        self.disconnected.append(address)
        self.network.stale.discard((self.address, address))

    def send(self, route, data):
        network = self.network
        is_reply = isinstance(route, FakeRoute)
        address = route.address if is_reply else route
        if network.unreachable & {address, self.address}:
            return False
        network.sent += 1
        if not is_reply and (self.address, address) in network.stale:
            return True
        end = network.links.get(address)
        if end is not None:
            source = self.address if is_reply else FakeRoute(self.address)
            asyncio.get_running_loop().call_soon(end.on_message, source, data)
        return end is not None


def make_members(count):
    """Return the members of a fleet of ``count`` instances."""
    return [
        peer_messages.Member(
            f'i{number}',
            'n',
            fleet.Address('127.0.0.1', 7000 + number),
            fleet.Location('kolkata' if number % 3 else 'siliguri', 'z'),
            0.0,
        )
        for number in range(count)
    ]


class Fleet:
    """Instances on one network; the first ``seeds`` of them are seeds."""

    def __init__(self, clock, count=6, seeds=2):
        self.clock = clock
        self.network = FakeNetwork()
        addresses = [member.address for member in make_members(count)]
        self.instances = [
            self.make(n, addresses[:seeds], addresses[n]) for n in range(count)
        ]

    def make(self, number, seeds, address):
        own = make_members(number + 1)[number]
        rng = random.Random(number)
        directory = registrations.Directory(clock=self.clock)
        state = published.PublishedState(
            directory=directory, clock=self.clock, rng=rng
        )
        entries = (make_registration('s1'), make_registration('s2'))
        state.replace(
            configuration.Snapshot(1, make_configuration(revision=1), entries),
            source='test',
        )
        members = membership.Membership(own=own, clock=self.clock, rng=rng)
        return peers.Peers(
            own=own,
            seeds=list(seeds),
            links=FakeLinks(self.network, address),
            state=state,
            members=members,
            readers=reader_group.ReaderGroup(
                members=members, list_age_s=state.age_s
            ),
            clock=self.clock,
            rng=rng,
        )

    async def step(self, seconds=0.5, rounds=1):
        """Run the periodic work of every instance ``rounds`` times.

        The clock advances by ``seconds`` before each round.
        """
        for _ in range(rounds):
            self.clock.advance(seconds)
            for one in self.instances:
                one.send_joins()
                one.members.expire()
                one.send_heartbeats()
                await asyncio.sleep(0)
            await asyncio.sleep(0.005)

    def counts(self):
        return [one.members.count() for one in self.instances]
