"""Tests of the messages with which instances lend retry credits."""

import asyncio

from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import zone_relays
import peer_fleet


class TestCreditMessages:
    """An instance asks some of its region; each replies with one credit."""

    async def ask(self, clock, lend, count=30, *, is_remote=False):
        """Ask once; return how many were asked, lenders and replies."""
        fleet = peer_fleet.Fleet(clock, count=count)
        await fleet.step(rounds=10)
        lenders, replies = [], []
        for number, one in enumerate(fleet.instances):
            one.lend_credit = lambda service, number=number: (
                lenders.append((number, service)) or lend
            )
        asking = fleet.instances[-1]
        asking.on_credit_reply = lambda *reply: replies.append(reply)
        asked = asking.ask_for_credit('ledger', 7, is_remote=is_remote)
        await asyncio.sleep(0.01)
        return asked, lenders, replies

    def test_instances_of_the_region_reply(self, clock):
        asked, lenders, replies = asyncio.run(self.ask(clock, 1.5))
        assert asked == peers.CREDIT_PEERS
        numbers = [number for number, _ in lenders]
        assert len(set(numbers)) == asked
        # Of the fleet, every third instance is in another region.
        assert all(number % 3 and number != 29 for number in numbers)
        assert {service for _, service in lenders} == {'ledger'}
        assert replies == [(7, 1.5)] * asked

    def test_instances_of_other_regions_reply(self, clock):
        asked, lenders, _ = asyncio.run(self.ask(clock, 1.5, is_remote=True))
        assert asked == len(lenders) == zone_relays.REMOTE_CONTACTS
        assert all(number % 3 == 0 for number, _ in lenders)

    def test_reply_without_credit(self, clock):
        asked, _, replies = asyncio.run(self.ask(clock, None))
        assert replies == [(7, None)] * asked

    def test_instance_without_peers_asks_nobody(self, clock):
        asked, lenders, _ = asyncio.run(self.ask(clock, 1.5, count=1))
        assert (asked, lenders) == (0, [])

    def test_messages_are_small(self, clock):
        fleet = peer_fleet.Fleet(clock, count=1)
        own = fleet.instances[0].own
        for message in (
            peer_messages.RetryCreditRequest(own, 'ledger-view', 10**6),
            peer_messages.RetryCreditReply(own, 10**6, 1.25),
        ):
            encoded = peer_messages.CODEC.encode(message)
            assert len(encoded) < 100
            assert peer_messages.CODEC.decode(encoded).ok == message
