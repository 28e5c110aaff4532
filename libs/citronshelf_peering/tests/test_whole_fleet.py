"""Tests of evidence, fetches, confirmation and reads in a simulated fleet."""

import pytest

import fake_fleet

from citronshelf_common import fleet as fleets
from citronshelf_peering import messages
from citronshelf_peering import neighbour
from citronshelf_peering import platform_reader


@pytest.fixture
def fleet():
    """Eight instances whose links are up."""
    made = fake_fleet.FakeFleet(3)
    made.advance(6.0)
    yield made
    made.close()


def record_everywhere(fleet, times=1):
    for instance in fleet.instances.values():
        row = fleets.OutcomeCounts('s1', 'read', good=times)
        instance.peering.evidence_pool.record((row,))


def pooled(fleet):
    return {
        name: instance.pooled for name, instance in fleet.instances.items()
    }


class TestEvidence:
    """All instances that can exchange messages reach the same zone sums."""

    def test_sums_by_zone_under_loss(self, fleet):
        for _ in range(5):
            record_everywhere(fleet)
            fleet.advance(1.0)
        fleet.advance(20.0)
        sums = {('e1', 's1'): 15, ('e2', 's1'): 10, ('w1', 's1'): 15}
        assert pooled(fleet) == dict.fromkeys(fleet.instances, sums)

    def test_arrives_within_two_seconds(self, fleet):
        fleet.net.lossy = False
        record_everywhere(fleet)
        fleet.advance(2.0)
        seen = [sum(n.pooled.values()) for n in fleet.instances.values()]
        assert seen == [8] * 8

    def test_one_way_cut_from_the_parent(self, fleet):
        name = fleet.instances['a3'].peering.plan.parent
        fleet.net.cuts.add((name, 'a3'))
        fleet.advance(8.0)
        assert fleet.instances['a3'].peering.plan.parent != name
        record_everywhere(fleet)
        fleet.advance(20.0)
        sums = {('e1', 's1'): 3, ('e2', 's1'): 2, ('w1', 's1'): 3}
        assert pooled(fleet) == dict.fromkeys(fleet.instances, sums)

    def test_partitioned_regions(self, fleet):
        east = [n for n in fleet.instances if n[0] in 'ab']
        for one in east:
            for other in set(fleet.instances) - set(east):
                fleet.net.cuts |= {(one, other), (other, one)}
        fleet.advance(8.0)
        record_everywhere(fleet)
        fleet.advance(18.0)
        assert fleet.instances['a3'].pooled == {
            ('e1', 's1'): 3,
            ('e2', 's1'): 2,
        }
        assert fleet.instances['c1'].pooled == {('w1', 's1'): 3}


class TestFetch:
    """A peer that receives no fetch does not delay fetches from others."""

    def test_unresponsive_peer_and_peer_behind_a_one_way_cut(self, fleet):
        instance = fleet.instances['a3']
        head = messages.Head(9, 'x' * 16, True)
        requested = []
        instance.peering.neighbour_table.send = lambda peer, message: (
            requested.append(peer.instance) or True
        )
        unresponsive, first, second = (
            neighbour.Neighbour(
                instance=name,
                pending_since=0.0,
                received_at=received_at,
                documents=(head,),
            )
            for name, received_at in (
                ('silent', fleet.now - 4.0),
                ('first', fleet.now),
                ('second', fleet.now),
            )
        )
        message_handler = instance.peering.message_handler
        for peer in (unresponsive, first, second):
            message_handler.fetch_missing(peer)
        assert requested == ['first']
        fleet.advance(1.1)
        del requested[:]
        message_handler.fetch_missing(first)
        message_handler.fetch_missing(second)
        assert requested == ['second']


class TestConfirmation:
    """A suspended process queries its peers before it confirms its view."""

    def test_resumed_process_has_the_newest_document(self, fleet):
        confirmation = fleet.instances['a3'].peering.confirmation
        assert confirmation.is_confirmed()
        fleet.suspend('a3')
        fleet.platform.publish('document', b'good 2')
        fleet.advance(5.0)
        fleet.resume('a3')
        assert not confirmation.is_confirmed()
        while not confirmation.is_confirmed():
            fleet.advance(0.05)
        assert fleet.instances['a3'].peering.document.revision() == 2

    @pytest.mark.parametrize(
        ('seconds', 'confirmed'), [(2.5, True), (9.0, False)]
    )
    def test_long_check_is_not_a_suspension(self, fleet, seconds, confirmed):
        confirmation = fleet.instances['a3'].peering.confirmation
        confirmation.check_clock()
        with confirmation.exclude_work():
            fleet.loop.fake.now += seconds
        assert confirmation.is_confirmed() == confirmed

    def test_suspension_before_work_counts(self, fleet):
        confirmation = fleet.instances['a3'].peering.confirmation
        fleet.loop.fake.now += 5.0
        with confirmation.exclude_work():
            pass
        assert not confirmation.is_confirmed()

    def test_resumed_process_without_peers_confirms(self, fleet):
        confirmation = fleet.instances['a3'].peering.confirmation
        fleet.suspend('a3')
        for name in fleet.instances:
            fleet.net.cuts |= {(name, 'a3'), ('a3', name)}
        fleet.advance(5.0)
        fleet.resume('a3')
        fleet.advance(1.5)
        assert not confirmation.is_confirmed()
        fleet.advance(1.5)
        assert confirmation.is_confirmed()


class TestReads:
    """Readers read the platform; others only without confirmations."""

    def test_only_readers_read(self, fleet):
        before = fleet.platform.reads
        fleet.advance(60.0)
        readers = sum(n.peering.is_reader() for n in fleet.instances.values())
        watches = 60 / (platform_reader.WATCH_TIMEOUT_MS / 1000)
        assert fleet.platform.reads - before <= 2 * readers * (watches + 3)

    def test_long_platform_outage(self, fleet):
        fleet.platform.is_unavailable = True
        fleet.advance(60.0)
        before = fleet.platform.reads
        fleet.advance(60.0)
        assert fleet.platform.reads - before <= 8 * 2 * 60
        fleet.platform.is_unavailable = False
        fleet.advance(10.0)
        fleet.platform.publish('document', b'good 2')
        fleet.advance(7.0)
        revisions = [
            n.peering.document.revision() for n in fleet.instances.values()
        ]
        assert revisions == [2] * 8
