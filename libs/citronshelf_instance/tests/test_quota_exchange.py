"""Tests of the exchange of quota tokens between instances."""

import asyncio
import random
import socket

import pytest

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import membership
from citronshelf_instance import metrics
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import published
from citronshelf_instance import quota
from citronshelf_instance import quota_exchange
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from citronshelf_peering import links
from instance_builders import make_configuration
import virtual_fleet

SETTINGS = quota.QuotaSettings(5.0, 0.25, 20.0)
DELAY_S = 0.005
ACCOUNTS = (
    configuration.Account('limited', (), None, 20.0, 10.0),
    configuration.Account('free', ()),
)


class Instance:
    """One instance on a network of others, with its own ``Links``."""

    def __init__(self, network, number, accounts, settings=SETTINGS):
        self.network = network
        self.seeds = [virtual_fleet.address(0)] if number else []
        self.has_left = False
        clock = asyncio.get_running_loop().time
        rng = random.Random(number)
        self.own = peer_messages.Member(
            f'i{number}',
            'n',
            virtual_fleet.address(number),
            fleet.Location('r', 'z'),
            0.0,
        )
        self.state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=rng,
        )
        self.publish(accounts, 5)
        self.members = membership.Membership(
            own=self.own, clock=clock, rng=rng
        )
        self.metrics = metrics.InstanceMetrics()
        self.quotas = quota_exchange.QuotaExchange(
            own=self.own,
            settings=settings,
            state=self.state,
            members=self.members,
            links=self,
            metrics=self.metrics,
            rng=rng,
            clock=clock,
        )
        network[self.own.address] = self
        self.is_cut_off = False
        self.sent = 0

    def publish(self, accounts, revision):
        self.state.apply_configuration(
            make_configuration(revision=revision, accounts=accounts), 'test'
        )

    def send(self, address, message):
        self.deliver(self.network[address], message)
        return True

    def reply(self, route, message):
        self.deliver(route, message)
        return True

    def deliver(self, target, message):
        """Deliver an encoded message after a delay, unless cut off."""
        self.sent += 1
        if self.is_cut_off or target.is_cut_off:
            return
        decoded = peer_messages.CODEC.decode(
            peer_messages.CODEC.encode(message)
        ).ok
        asyncio.get_running_loop().call_later(
            DELAY_S, target.receive, decoded, self
        )

    def receive(self, message, sender):
        if isinstance(message, peer_messages.QuotaReport):
            self.quotas.receive_report(message, sender)
        else:
            self.quotas.receive_reply(message)


def run(scenario, *, count=4, accounts=ACCOUNTS, settings=SETTINGS):
    """Run a scenario with instances that know each other."""

    async def start():
        network = {}
        instances = [
            Instance(network, number, accounts, settings)
            for number in range(count)
        ]
        for one in instances:
            for other in instances:
                one.members.record_member(other.own)
        tasks = [asyncio.create_task(one.quotas.run()) for one in instances]
        await asyncio.sleep(3.0)
        result = await scenario(instances)
        for task, one in zip(tasks, instances, strict=True):
            task.cancel()
            one.quotas.close()
        return result

    return virtual_fleet.run_virtual(start())


async def timed(one, account='limited'):
    """Return a decision and the seconds it took."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    return await one.quotas.admit(account), loop.time() - began_s


async def admit_many(instances, rate, seconds, account='limited'):
    """Send requests to random instances; return the decisions."""
    rng = random.Random(1)
    tasks = []
    for _ in range(round(rate * seconds)):
        await asyncio.sleep(1 / rate)
        admitted = rng.choice(instances).quotas.admit(account)
        tasks.append(asyncio.create_task(admitted))
    return await asyncio.gather(*tasks)


class TestWithoutLimits:
    """Without limits or settings, nothing is sent and nothing refused."""

    @pytest.mark.parametrize(
        'accounts, settings',
        [((), SETTINGS), (ACCOUNTS[1:], SETTINGS), (ACCOUNTS, None)],
    )
    def test_nothing_is_sent(self, accounts, settings):
        async def scenario(instances):
            decisions = await admit_many(instances, 100.0, 2.0)
            return set(decisions), sum(one.sent for one in instances)

        result = run(scenario, accounts=accounts, settings=settings)
        assert result == ({None}, 0)

    def test_account_without_limit_is_admitted(self):
        async def scenario(instances):
            return await instances[0].quotas.admit('free')

        assert run(scenario) is None


class TestAdmission:
    """Requests are admitted with tokens of a coordinator."""

    def test_first_request_waits_for_one_reply(self):
        async def scenario(instances):
            return [await timed(one) for one in instances]

        for decision, wait_s in run(scenario):
            assert isinstance(decision, quota.Token)
            assert wait_s <= 2 * DELAY_S + 0.001

    # Guards against a refusal of requests within the quota that arrive while
    # a report is on its way: its reply brings no token for them.
    def test_requests_behind_a_report_wait_for_the_next_reply(self):
        async def scenario(instances):
            asking = [
                asyncio.create_task(instances[1].quotas.admit('limited'))
            ]
            for _ in range(3):
                await asyncio.sleep(DELAY_S / 2)
                asking.append(
                    asyncio.create_task(instances[1].quotas.admit('limited'))
                )
            return await asyncio.gather(*asking)

        decisions = run(scenario)
        assert all(isinstance(one, quota.Token) for one in decisions)

    def test_next_request_does_not_wait(self):
        async def scenario(instances):
            for one in instances:
                await timed(one)
            await asyncio.sleep(1.0)
            return [await timed(one) for one in instances]

        assert {wait_s for _, wait_s in run(scenario)} == {0.0}

    def test_account_over_its_quota_is_refused_at_once(self):
        async def scenario(instances):
            decisions = await admit_many(instances, 200.0, 10.0)
            return decisions, [await timed(one) for one in instances]

        decisions, later = run(scenario)
        admitted = sum(isinstance(one, quota.Token) for one in decisions)
        assert 0.9 * 200 <= admitted <= 200 + ACCOUNTS[0].burst + 30
        refused = [d for d, _ in later if isinstance(d, quota.Refused)]
        assert refused
        assert all(one.wait_s > 0 for one in refused)

    # Guards against requests that are each held for the full wait while a
    # coordinator does not reply.
    def test_silent_coordinator_holds_few_requests(self):
        async def scenario(instances):
            for one in instances:
                one.is_cut_off = True
            return [await timed(instances[0]) for _ in range(10)]

        waits = [wait_s for _, wait_s in run(scenario, count=30)]
        assert max(waits) <= quota_exchange.MAX_WAIT_S + 0.001
        assert sum(wait_s > 0 for wait_s in waits) <= 1

    def test_account_moves_from_a_silent_coordinator(self):
        async def scenario(instances):
            key = quota.choose_coordinator(
                'limited', tuple(sorted(instances[0].quotas.addresses))
            )
            (dead,) = [one for one in instances if one.quotas.key == key]
            dead.is_cut_off = True
            others = [one for one in instances if one is not dead]
            await asyncio.sleep(4.0)
            return await admit_many(others, 15.0, 10.0)

        decisions = run(scenario, count=30)
        admitted = sum(isinstance(one, quota.Token) for one in decisions)
        assert admitted >= 0.95 * len(decisions)

    # Guards against a token that is lost when the caller leaves while its
    # request waits.
    def test_caller_that_leaves_takes_no_token(self):
        async def scenario(instances):
            key = quota.choose_coordinator(
                'limited', tuple(sorted(instances[0].quotas.addresses))
            )
            one = next(one for one in instances if one.quotas.key != key)
            task = asyncio.create_task(one.quotas.admit('limited'))
            await asyncio.sleep(DELAY_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(1.0)
            usage = one.quotas.ledger.usages['limited']
            used = sum(
                tally.used
                for lease in one.quotas.ledger.leases.values()
                for tally in lease.tallies.values()
            )
            return usage.waiting, used, len(one.quotas.waiters['limited'])

        assert run(scenario) == (0, 0, 0)

    def test_instance_that_has_left_still_admits(self):
        async def scenario(instances):
            one = instances[0]
            one.has_left = True
            for other in instances[1:]:
                other.members.remove(one.own.instance)
            await asyncio.sleep(3.0)
            return [await timed(one) for _ in range(3)]

        for decision, _ in run(scenario):
            assert isinstance(decision, quota.Token)

    def test_limit_that_is_added_is_in_force(self):
        async def scenario(instances):
            for one in instances:
                one.publish(ACCOUNTS, 6)
            await asyncio.sleep(1.0)
            return await admit_many(instances, 200.0, 5.0)

        decisions = run(scenario, accounts=())
        assert any(isinstance(one, quota.Refused) for one in decisions)


class TestSettings:
    """Settings of quotas change without a restart."""

    # Guards against coordinators that ignore an instance for seconds, since
    # the numbers of its sessions begin again.
    def test_changed_settings_are_in_force_at_once(self):
        async def scenario(instances):
            for one in instances:
                one.quotas.set_settings(SETTINGS._replace(slack=10.0))
            await asyncio.sleep(1.5)
            return [await timed(one) for one in instances]

        for decision, _ in run(scenario):
            assert isinstance(decision, quota.Token)

    def test_removed_settings_end_all_quotas(self):
        async def scenario(instances):
            for one in instances:
                one.quotas.set_settings(None)
            await asyncio.sleep(0.5)
            before = sum(one.sent for one in instances)
            decisions = await admit_many(instances, 200.0, 2.0)
            return set(decisions), sum(one.sent for one in instances) - before

        assert run(scenario) == ({None}, 0)


class TestMessages:
    """Odd messages of other instances do no harm."""

    @pytest.mark.parametrize('granted', [0, 2**53])
    def test_reply_without_a_session_is_ignored(self, granted):
        async def scenario(instances):
            one = instances[0]
            grants = (quota.Grant('limited', granted, 0.0),)
            for key in one.quotas.addresses:
                one.quotas.receive_reply(
                    peer_messages.QuotaReply(key, 1, 1, True, grants)
                )
            return sum(
                lease.spend('limited', one.quotas.clock()) is not None
                for lease in one.quotas.ledger.leases.values()
            )

        assert run(scenario) == 0

    def test_cost_of_idle_instances(self):
        async def scenario(instances):
            before = sum(one.sent for one in instances)
            await asyncio.sleep(10.0)
            return (sum(one.sent for one in instances) - before) / 300

        assert run(scenario, count=30) <= 2 * 2 * 3.0


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return fleet.Address('127.0.0.1', probe.getsockname()[1])


class Process:
    """One instance with its peers, on real sockets."""

    def __init__(self, number, address, seeds):
        clock = asyncio.get_running_loop().time
        rng = random.Random(number)
        own = peer_messages.Member(
            f'i{number}', 'n', address, fleet.Location('r', 'z'), 0.0
        )
        state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=rng,
        )
        state.apply_configuration(
            make_configuration(revision=5, accounts=ACCOUNTS), 'test'
        )
        members = membership.Membership(own=own, clock=clock, rng=rng)
        self.links = links.ZmqLinks(address=address, keys=None)
        self.peers = peers.Peers(
            own=own,
            seeds=seeds,
            links=self.links,
            state=state,
            members=members,
            readers=reader_group.ReaderGroup(
                members=members, list_age_s=state.age_s
            ),
            clock=clock,
            rng=rng,
        )
        self.quotas = quota_exchange.QuotaExchange(
            own=own,
            settings=SETTINGS,
            state=state,
            members=members,
            links=self.peers,
            metrics=metrics.InstanceMetrics(),
            rng=rng,
        )
        self.peers.on_quota_report = self.quotas.receive_report
        self.peers.on_quota_reply = self.quotas.receive_reply

    def start(self):
        return [
            asyncio.create_task(part.run())
            for part in (self.links, self.peers, self.quotas)
        ]

    def close(self):
        self.quotas.close()
        self.peers.close()
        self.links.close()


class TestSockets:
    """Instances exchange tokens through ``Peers`` and ``ZmqLinks``."""

    def test_every_instance_admits(self):
        async def scenario():
            addresses = [free_address() for _ in range(3)]
            processes = [
                Process(number, address, addresses[:1])
                for number, address in enumerate(addresses)
            ]
            tasks = [task for one in processes for task in one.start()]
            admitted = [False] * len(processes)
            async with asyncio.timeout(20.0):
                while not all(admitted):
                    await asyncio.sleep(0.2)
                    for number, one in enumerate(processes):
                        token = await one.quotas.admit('limited')
                        admitted[number] |= (
                            isinstance(token, quota.Token)
                            and token.tally is not None
                        )
            heard = [
                len(one.quotas.ledger.active(one.quotas.clock()))
                for one in processes
            ]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for one in processes:
                one.close()
            return heard

        assert asyncio.run(scenario()) == [2, 2, 2]
