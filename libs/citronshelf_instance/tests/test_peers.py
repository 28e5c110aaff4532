"""Tests of membership, evidence and announcements between instances."""

import asyncio
import random

import pytest

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import evidence_exchange
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import published
from citronshelf_instance import registrations
from instance_builders import make_configuration
import peer_fleet


def failure_probability(instance, server_id='s1'):
    return instance.state.directory.servers[
        server_id
    ].estimate.failure_probability


class TestMembership:
    """Instances find each other through the seeds."""

    def test_all_instances_become_members(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            return group.counts()

        assert asyncio.run(run()) == [6] * 6

    def test_one_seed_suffices(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            group.network.unreachable.add(fleet.Address('127.0.0.1', 7000))
            await group.step(rounds=6)
            return group.counts()

        assert asyncio.run(run())[1:] == [5] * 5

    def test_unreachable_instance_expires(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            group.network.unreachable.add(fleet.Address('127.0.0.1', 7004))
            await group.step(seconds=2.0, rounds=14)
            return group.counts()

        counts = asyncio.run(run())
        assert [c for n, c in enumerate(counts) if n != 4] == [5] * 5

    def test_leaving_instance_is_removed_at_once(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            group.instances[4].leave()
            await asyncio.sleep(0.01)
            return 'i4' in group.instances[5].members.known

        assert not asyncio.run(run())

    def test_leaving_instance_does_not_return(self, clock):
        """It still runs until its requests have ended."""

        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            group.instances[0].leave()
            await group.step(rounds=6)
            return group.counts()

        assert asyncio.run(run())[1:] == [5] * 5

    def test_members_are_found_after_a_restart_of_all(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            again = peer_fleet.Fleet(clock)
            await again.step(rounds=3)
            return again.counts()

        assert asyncio.run(run()) == [6] * 6


async def fleet_after_observation(clock, signal, slowness=0.0):
    """Return a fleet just after one instance made an observation."""
    group = peer_fleet.Fleet(clock)
    await group.step(rounds=3)
    group.instances[1].evidence.record(
        evidence.Observation('s1', signal, slowness)
    )
    await asyncio.sleep(2 * evidence_exchange.URGENT_DELAY_S)
    return group


class TestEvidence:
    """Observations are sent to the instances of the region."""

    def test_failure_is_sent_at_once(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.FAILED
            )
            return [failure_probability(one) for one in group.instances]

        probabilities = asyncio.run(run())
        same_region = [probabilities[n] for n in (2, 4, 5)]
        assert min(same_region) > 0.7
        assert (
            max(probabilities[0], probabilities[3])
            <= evidence.PRIOR_FAILURE_PROBABILITY
        )

    def test_repeated_failures_are_batched(self, clock, monkeypatch):
        """Failures that hardly change the probability are sent later."""
        monkeypatch.setattr(evidence_exchange, 'EVIDENCE_DELAY_S', 60.0)

        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            sent_after_observation = []
            for _ in range(6):
                before = group.network.sent
                group.instances[1].evidence.record(
                    evidence.Observation(
                        's1', evidence.HealthSignal.FAILED, 0.0
                    )
                )
                await asyncio.sleep(2 * evidence_exchange.URGENT_DELAY_S)
                sent_after_observation.append(group.network.sent > before)
            return sent_after_observation

        sent_after_observation = asyncio.run(run())
        assert sent_after_observation[0]
        assert sent_after_observation[-1] is False

    def test_slow_response_is_sent_at_once(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.GOOD, 5.0
            )
            servers = group.instances[2].state.directory.servers
            return servers['s1'].estimate.slowness

        assert asyncio.run(run()) > 2.0

    def test_usual_responses_are_batched(self, clock, monkeypatch):
        monkeypatch.setattr(evidence_exchange, 'EVIDENCE_DELAY_S', 0.1)

        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            before = group.network.sent
            for _ in range(20):
                group.instances[1].evidence.record(
                    evidence.Observation('s1', evidence.HealthSignal.GOOD, 1.0)
                )
            await asyncio.sleep(0.2)
            sent = group.network.sent - before
            return sent, failure_probability(group.instances[2])

        sent, probability = asyncio.run(run())
        assert sent == 3
        assert probability < 0.01

    def test_time_until_it_is_sent_counts(self, clock, monkeypatch):
        """A server that got nothing since must not count as in use.

        Guards against tests of silent servers that came up to a second late.
        """
        monkeypatch.setattr(evidence_exchange, 'EVIDENCE_DELAY_S', 0.02)

        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            sent_s = clock()
            clock.advance(0.2)
            group.instances[1].evidence.record(
                evidence.Observation(
                    's1', evidence.HealthSignal.GOOD, 1.0, elapsed_s=0.2
                )
            )
            clock.advance(0.9)
            await asyncio.sleep(0.05)
            states = [
                group.instances[number].state.directory.servers['s1']
                for number in (1, 2, 4, 5)
            ]
            return [state.last_used_s - sent_s for state in states]

        assert asyncio.run(run()) == pytest.approx([0.0] * 4)

    def test_no_observation_of_a_burst_is_lost(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            received = []
            other = group.instances[2]
            other.state.directory.record = lambda observation, source: (
                received.append(observation)
            )
            for number in range(1000):
                signal = evidence.HealthSignal.GOOD
                group.instances[1].evidence.record(
                    evidence.Observation('s1', signal, 1.0 + number)
                )
            await asyncio.sleep(0.1)
            return received

        received = asyncio.run(run())
        assert [observation.slowness for observation in received] == [
            1.0 + number for number in range(1000)
        ]

    def test_shed_request_starts_a_backoff_at_peers(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.SHED
            )
            servers = group.instances[2].state.directory.servers
            return servers['s1'].backoff_until_s - clock.now

        remaining_s = asyncio.run(run())
        assert remaining_s == pytest.approx(registrations.SHED_BACKOFF_S)

    def test_nothing_is_sent_after_close(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            group.instances[1].evidence.record(
                evidence.Observation('s1', evidence.HealthSignal.FAILED, 0.0)
            )
            before = group.network.sent
            group.instances[1].close()
            await asyncio.sleep(2 * evidence_exchange.URGENT_DELAY_S)
            return group.network.sent - before

        assert asyncio.run(run()) == 0

    def test_invalid_message_is_ignored(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock, count=2)
            group.instances[0].receive('route', b'\x00junk')
            group.instances[0].receive('route', b'')
            return group.instances[0].members.count()

        assert asyncio.run(run()) == 1


class TestAnnouncements:
    """An instance announces a new publication to others."""

    def test_change_is_announced_to_a_few_peers(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            received = []
            for one in group.instances:
                one.state.on_change = one.announce_change
                one.on_peer_revision = received.append
            changes = configuration.Changes(
                7, make_configuration(revision=7), {}
            )
            group.instances[1].state.apply(changes)
            await asyncio.sleep(0.02)
            return received

        received = asyncio.run(run())
        assert received == [7] * (
            peers.ANNOUNCEMENT_PEERS + peers.REMOTE_ANNOUNCEMENT_PEERS
        )


class TestRestartAfterPowerLoss:
    """The others' connections to the ended process stay open for seconds.

    Guards against instances that had no configuration for 6 s after a loss
    of power while the store was down, though the others could send it.
    """

    async def restart(self, clock):
        """Return a fleet in which instance 1 has started anew.

        It knows no state, and nobody has noticed that its process ended.
        """
        group = peer_fleet.Fleet(clock)
        await group.step(rounds=3)
        network = group.network
        old = group.instances[1]
        one = group.make(1, old.seeds, old.own.address)
        one.own = one.members.own = one.own._replace(nonce='n2')
        one.state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=random.Random(1),
        )
        group.instances[1] = one
        network.stale = {
            (other.own.address, one.own.address)
            for other in group.instances
            if other is not one
        }
        return group

    def test_state_is_fetched_over_a_new_connection(self, clock):
        async def run():
            group = await self.restart(clock)
            one = group.instances[1]
            one.send_joins()
            await asyncio.sleep(0.02)
            one.fetch_state()
            await asyncio.sleep(0.02)
            return one

        one = asyncio.run(run())
        assert one.members.count() == 6
        assert one.state.is_routable()

    def test_connection_that_leads_to_the_new_process_is_kept(self, clock):
        async def run():
            group = await self.restart(clock)
            group.network.stale = set()
            two, restarted = group.instances[2], group.instances[1].own
            clock.advance(0.5)
            join = peer_messages.Join(two.own, two.state.change_revision)
            two.send(restarted.address, join)
            await asyncio.sleep(0.02)
            return two.links.disconnected, two.members.known['i1'].member.nonce

        assert asyncio.run(run()) == ([], 'n2')

    def test_others_replace_their_connections(self, clock):
        async def run():
            group = await self.restart(clock)
            await group.step(rounds=2)
            return group.network.stale

        assert asyncio.run(run()) == set()
