"""Models quotas of accounts over a fleet, without a network.

The decisions are those of ``citronshelf_instance.quota``; only messages,
callers and faults are modelled. Usage:

    python measures/quota_model.py table [--design NAME] [--scenario NAME]
    python measures/quota_model.py histories [--first 0] [--count 1000]
"""

import argparse
import bisect
import collections
import hashlib
import heapq
import itertools
import random
from typing import NamedTuple

from citronshelf_instance import peer_messages
from citronshelf_instance import quota
from citronshelf_instance import quota_coordinator
from citronshelf_instance import quota_exchange
from citronshelf_instance import quota_ledger

SETTINGS = quota.QuotaSettings(5.0, 0.25, 20.0)
ZONE_DELAY_S = 0.0005
REGION_DELAY_S = 0.02
ZONES = ('r1', 'r1', 'r2', 'r2')
JITTER_S = 0.0005


class Outcome(NamedTuple):
    """Decision of one request in the model.

    Attributes
    ----------
    account : str
    arrived_s, decided_s : float
    is_admitted : bool
    wait_s : float
        Time after which a refused caller may return.
    """

    account: str
    arrived_s: float
    decided_s: float
    is_admitted: bool
    wait_s: float = 0.0


class Node:
    """One incarnation of an instance, with the exchange of its tokens."""

    def __init__(self, fleet, number, incarnation):
        self.fleet = fleet
        self.number = number
        self.name = f'i{number}'
        self.region = ZONES[number % len(ZONES)]
        self.key = quota.name_key(self.name)
        self.member_key = number * 1000 + incarnation
        self.known = {number}
        self.largest = 1
        self.met_seeds = False
        self.is_alive = True
        self.frozen_until_s = float('-inf')
        rng = random.Random(fleet.rng.random())
        self.coordinator = quota_coordinator.Coordinator(
            key=self.key,
            settings=fleet.settings,
            limits=fleet.limits,
            fleet=self.size,
        )
        self.ledger = quota_ledger.Ledger(
            key=self.key,
            settings=fleet.settings,
            limits=fleet.limits,
            fleet=self.size,
            rng=rng,
        )
        self.due_s = {}
        self.waiters = collections.defaultdict(collections.deque)
        self.candidates = {}
        self.reported = ()
        self.bytes_sent = 0
        self.messages_sent = 0

    def size(self):
        return quota.Fleet(self.largest, self.met_seeds)

    def learn(self):
        """Choose the coordinators among the known instances."""
        self.largest = max(self.largest, len(self.known))
        self.met_seeds |= self.known.issuperset(self.fleet.seeds)
        regions = collections.defaultdict(list)
        for number in self.known:
            region = ZONES[number % len(ZONES)]
            regions[region].append((quota.name_key(f'i{number}'), number))
        self.candidates = {
            key: number
            for members in regions.values()
            for key, number in heapq.nsmallest(
                quota_exchange.CANDIDATES, members
            )
        }
        self.ledger.set_candidates(frozenset(self.candidates), self.fleet.now)

    def tick(self):
        now = self.fleet.now
        self.learn()
        active = self.ledger.active(now)
        for key, lease in self.ledger.leases.items():
            limit_s = quota_exchange.KEEPALIVE_S - quota_exchange.TICK_S / 2
            if now - lease.last_sent_s >= limit_s or active != self.reported:
                self.flush(key)
        self.reported = active
        spread = self.fleet.rng.uniform(0.8, 1.0)
        self.fleet.at(now + quota_exchange.TICK_S * spread, self, self.tick)

    def arrive(self, account):
        now = self.fleet.now
        if account not in self.ledger.limits:
            self.finish(account, now, quota.Token(account, None))
            return
        decision = self.ledger.decide(account, now)
        if isinstance(decision, quota.MustAsk):
            self.ask(account, decision.coordinator)
            return
        self.finish(account, now, decision)
        self.schedule_changed()

    def ask(self, account, coordinator):
        now = self.fleet.now
        waiter = [account, now, coordinator]
        self.waiters[account].append(waiter)
        self.ledger.usages[account].waiting += 1
        self.ledger.leases[coordinator].changed.add(account)
        self.fleet.at(
            now + quota_exchange.MAX_WAIT_S, self, self.end_wait, waiter
        )
        self.schedule(coordinator, 0.0)

    def end_wait(self, waiter):
        account, arrived_s, coordinator = waiter
        if waiter not in self.waiters[account]:
            return
        self.waiters[account].remove(waiter)
        now = self.fleet.now
        usage = self.ledger.usages.get(account)
        if usage is None:
            self.finish(account, arrived_s, quota.Refused(0.0))
            return
        usage.waiting -= 1
        usage.paused_until_s = now + quota_exchange.SILENT_PAUSE_S
        usage.admit_from_s = usage.paused_until_s
        decision = self.ledger.redecide(account, now)
        if isinstance(decision, quota.MustAsk):
            decision = quota.Refused(0.0)
        self.finish(account, arrived_s, decision)

    def finish(self, account, arrived_s, decision):
        self.fleet.record(self, account, arrived_s, decision)

    def schedule_changed(self):
        for key, lease in self.ledger.leases.items():
            if lease.changed:
                self.schedule(key, quota_exchange.REPORT_DELAY_S)

    def schedule(self, key, delay_s):
        if key == self.key:
            self.flush(key)
            return
        due_s = self.fleet.now + delay_s
        if self.due_s.get(key, float('inf')) > due_s:
            self.due_s[key] = due_s
            self.fleet.at(due_s, self, self.flush_due, key, due_s)

    def flush_due(self, key, due_s):
        if self.due_s.get(key) == due_s:
            self.flush(key)

    def flush(self, key):
        self.due_s.pop(key, None)
        if key not in self.ledger.leases:
            return
        now = self.fleet.now
        report = self.ledger.make_report(key, now)
        self.ledger.record_sent(key, report, now)
        if key == self.key:
            reply = self.coordinator.receive(self.member_key, report, now)
            if reply is not None:
                self.apply(key, reply)
            return
        self.count(peer_messages.QuotaReport, self.member_key, report)
        target = self.fleet.nodes[self.candidates[key]]
        self.fleet.send(self, target, target.receive, self, report)

    def receive(self, sender, report):
        reply = self.coordinator.receive(
            sender.member_key, report, self.fleet.now
        )
        if reply is not None:
            self.count(peer_messages.QuotaReply, self.key, reply)
            self.fleet.send(self, sender, sender.apply, self.key, reply)

    def count(self, kind, first, fields):
        if self.fleet.counts_bytes:
            data = peer_messages.CODEC.encode(kind(first, *fields))
            self.bytes_sent += len(data)
        self.messages_sent += 1

    def apply(self, key, reply):
        now = self.fleet.now
        for account in self.ledger.receive(key, reply, now):
            waiters = self.waiters[account]
            while waiters:
                _, arrived_s, _ = waiters.popleft()
                self.ledger.usages[account].waiting -= 1
                decision = self.ledger.redecide(account, now)
                if isinstance(decision, quota.MustAsk):
                    decision = quota.Refused(0.0)
                self.finish(account, arrived_s, decision)
        lease = self.ledger.leases.get(key)
        if lease is not None and lease.changed:
            self.schedule(key, quota_exchange.REPORT_DELAY_S)


class QuotaFleet:
    """Instances, callers and faults on one simulated clock.

    Parameters
    ----------
    instances : int
    limits : dict of str to Limit
    seed : int
    expiry_s : float
        Time after which an unreachable instance leaves the membership.
    not_run_share : float
        Part of the admitted requests that no server runs.

    Attributes
    ----------
    groups : list of int
        Group of each instance; only instances of a group reach each other.
    one_way : set of (int, int)
        Pairs of sender and receiver between which messages get lost.
    """

    def __init__(
        self,
        *,
        instances,
        limits,
        seed,
        settings=SETTINGS,
        expiry_s=20.0,
        not_run_share=0.0,
        make_node=Node,
    ):
        self.settings = settings
        self.limits = dict(limits)
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.expiry_s = expiry_s
        self.not_run_share = not_run_share
        self.make_node = make_node
        self.sequence = itertools.count()
        self.events = []
        self.groups = [0] * instances
        self.one_way = set()
        self.loss = 0.0
        self.extra_delay_s = 0.0
        self.counts_bytes = False
        self.seeds = set(range(min(3, instances)))
        self.incarnations = itertools.count()
        self.run_s = collections.defaultdict(list)
        self.outcomes = []
        self.nodes = [
            make_node(self, number, next(self.incarnations))
            for number in range(instances)
        ]
        for node in self.nodes:
            node.known = set(range(instances))
            self.at(self.now + self.rng.uniform(0, 0.2), node, node.tick)

    def at(self, time_s, node, call, *arguments):
        heapq.heappush(
            self.events, (time_s, next(self.sequence), node, call, arguments)
        )

    def advance(self, until_s):
        """Run events up to a time; those of frozen instances wait."""
        while self.events and self.events[0][0] <= until_s:
            time_s, _, node, call, arguments = heapq.heappop(self.events)
            self.now = max(self.now, time_s)
            if node is not None and not node.is_alive:
                continue
            if node is not None and node.frozen_until_s > self.now:
                self.at(node.frozen_until_s, node, call, *arguments)
                continue
            call(*arguments)
        self.now = until_s

    def is_reachable(self, sender, receiver):
        pair = (sender.number, receiver.number)
        return (
            self.groups[sender.number] == self.groups[receiver.number]
            and pair not in self.one_way
        )

    def send(self, sender, receiver, call, *arguments):
        """Deliver a message after a delay unless it is lost."""
        if not self.is_reachable(sender, receiver):
            return
        if self.loss and self.rng.random() < self.loss:
            return
        is_near = sender.region == receiver.region
        delay_s = ZONE_DELAY_S if is_near else REGION_DELAY_S
        delay_s += self.rng.random() * (JITTER_S + self.extra_delay_s)
        self.at(self.now + delay_s, receiver, call, *arguments)

    def record(self, node, account, arrived_s, decision):
        """Record a decision and when a server runs the request."""
        is_admitted = isinstance(decision, quota.Token)
        wait_s = 0.0 if is_admitted else decision.wait_s
        self.outcomes.append(
            Outcome(account, arrived_s, self.now, is_admitted, wait_s)
        )
        if not is_admitted:
            return
        if self.not_run_share and self.rng.random() < self.not_run_share:
            self.at(self.now + 0.05, node, self.give_back, node, decision)
            return
        self.run_s[account].append(self.now)

    @staticmethod
    def give_back(node, token):
        node.ledger.give_back(token)
        node.schedule_changed()

    def request(self, number, account):
        """Let a request arrive at an instance, if it can accept it."""
        node = self.nodes[number]
        if node.is_alive and node.frozen_until_s <= self.now:
            node.arrive(account)

    def kill(self, number):
        """End a process; the others notice after ``expiry_s``."""
        self.nodes[number].is_alive = False
        for node in self.nodes:
            self.expect_expiry(node, number)

    def expect_expiry(self, node, number):
        time_s = self.now + self.expiry_s * self.rng.uniform(1.0, 1.1)
        self.at(time_s, node, self.expire, node, number)

    def expire(self, node, number):
        other = self.nodes[number]
        if not (other.is_alive and self.is_reachable(other, node)):
            node.known.discard(number)

    def start(self, number):
        """Start an instance that ended; it learns what it can reach."""
        node = self.make_node(self, number, next(self.incarnations))
        self.nodes[number] = node
        self.at(self.now, node, node.tick)
        self.at(self.now + 0.1, node, self.introduce, node)

    def introduce(self, node):
        """Exchange members of all instances that reach each other."""
        for other in self.nodes:
            if other.is_alive and self.is_reachable(other, node):
                other.known.add(node.number)
                node.known |= other.known

    def partition(self, groups):
        """Let only instances of the same group reach each other."""
        self.groups = list(groups)
        for node in self.nodes:
            for other in self.nodes:
                if not self.is_reachable(other, node):
                    self.expect_expiry(node, other.number)
        for node in self.nodes:
            self.at(self.now + 1.0, node, self.introduce, node)

    def freeze(self, number, seconds):
        self.nodes[number].frozen_until_s = self.now + seconds

    def set_limits(self, limits, spread_s=0.5):
        """Publish other limits; they are in force within ``spread_s``."""
        for node in self.nodes:
            time_s = self.now + self.rng.uniform(0, spread_s)
            self.at(time_s, node, self.apply_limits, node, dict(limits))
        self.limits = dict(limits)

    @staticmethod
    def apply_limits(node, limits):
        node.ledger.set_limits(limits)
        node.coordinator.set_limits(limits)


def excess(times_s, limit, settings, after_s=float('-inf')):
    """Return the most requests above the bound in any window.

    Parameters
    ----------
    times_s : list of float
        Sorted.
    limit : Limit
    settings : QuotaSettings
    after_s : float
        Windows begin at this time or later.
    """
    allowed = limit.allowed(settings)
    worst = -allowed
    begin = bisect.bisect_left(times_s, after_s)
    end = begin
    for first in range(begin, len(times_s)):
        while (
            end < len(times_s)
            and times_s[end] <= times_s[first] + settings.window_s
        ):
            end += 1
        worst = max(worst, end - first - allowed)
    return worst


class History:
    """A random short history of a small fleet with faults.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed, make_node=Node):
        rng = self.rng = random.Random(seed)
        self.count = rng.choice([3, 8, 24, 40])
        rate = rng.choice([0.8, 3.0, 12.0, 60.0])
        burst = rng.choice([0.0, rate, 4 * rate])
        self.limit = quota.Limit(rate, burst)
        self.load = rng.choice([0.8, 1.5, 4.0, 7.0]) * rate
        self.lowered = None
        self.fleet = QuotaFleet(
            instances=self.count,
            limits={'a': self.limit},
            seed=rng.random(),
            expiry_s=rng.choice([3.0, 20.0]),
            not_run_share=rng.choice([0.0, 0.0, 0.3]),
            make_node=make_node,
        )
        self.fleet.loss = rng.choice([0.0, 0.0, 0.05, 0.3])
        self.fleet.extra_delay_s = rng.choice([0.0, 0.0, 0.2, 1.5])

    def run(self, seconds=16.0):
        """Return the worst excess over the bound."""
        fleet = self.fleet
        rng = self.rng
        fleet.advance(fleet.now + rng.choice([0.0, 5.0]))
        end_s = fleet.now + seconds
        fault_s = fleet.now
        numbers = list(range(self.count))
        hot = numbers
        while fleet.now < end_s:
            if fleet.now >= fault_s:
                self.fault()
                fault_s = fleet.now + rng.expovariate(0.5)
                size = rng.choice([1, 2, self.count])
                hot = rng.sample(numbers, min(size, self.count))
                pause_s = rng.choice([0.0, 0.0, 0.0, 3.0])
                fleet.advance(fleet.now + pause_s)
            fleet.advance(fleet.now + rng.expovariate(self.load))
            fleet.request(rng.choice(hot), 'a')
        return self.worst()

    def worst(self):
        times_s = self.fleet.run_s['a']
        settings = self.fleet.settings
        result = excess(times_s, self.limit, settings)
        if self.lowered is not None:
            lower, from_s = self.lowered
            result = max(result, excess(times_s, lower, settings, from_s))
        return result

    def fault(self):
        rng = self.rng
        fleet = self.fleet
        number = rng.randrange(self.count)
        kind = rng.choice(
            ['kill', 'start', 'cut', 'heal', 'freeze', 'one-way', 'lower']
        )
        coordinators = sorted(
            fleet.nodes, key=lambda node: (node.region, node.key)
        )
        if rng.random() < 0.5:
            number = rng.choice(coordinators[:2] + coordinators[-2:]).number
        match kind:
            case 'kill':
                fleet.kill(number)
            case 'start':
                for node in fleet.nodes:
                    if not node.is_alive:
                        fleet.start(node.number)
            case 'cut':
                parts = rng.choice([2, 4, self.count])
                groups = [rng.randrange(parts) for _ in fleet.nodes]
                fleet.partition(groups)
            case 'heal':
                fleet.one_way.clear()
                fleet.partition([0] * self.count)
            case 'freeze':
                fleet.freeze(number, rng.choice([0.5, 1.5, 4.0]))
            case 'one-way':
                for other in range(self.count):
                    pair = (number, other)
                    fleet.one_way.add(
                        pair if rng.random() < 0.5 else pair[::-1]
                    )
            case 'lower' if self.lowered is None:
                lower = quota.Limit(
                    self.limit.rate_per_s / 8, self.limit.burst / 8
                )
                fleet.set_limits({'a': lower})
                self.lowered = (lower, fleet.now + 0.5 + 5.0)


FUZZED_INSTANCES = 24
FLOOD_LIMIT = quota.Limit(24.0, 12.0)
FLOOD_FACTOR = 6.0


class Flood:
    """A fleet whose one account floods all or a few instances.

    Parameters
    ----------
    make_node : callable
    """

    def __init__(self, make_node=Node):
        self.fleet = QuotaFleet(
            instances=FUZZED_INSTANCES,
            limits={'a': FLOOD_LIMIT},
            seed=1,
            expiry_s=4.0,
            make_node=make_node,
        )
        self.fleet.advance(self.fleet.now + 5.0)
        self.rng = random.Random(2)
        # Limits with the time from which each is binding.
        self.limits = [(FLOOD_LIMIT, float('-inf'))]

    def send(self, seconds, targets=FUZZED_INSTANCES, factor=FLOOD_FACTOR):
        """Send requests to a number of random instances for a time."""
        fleet = self.fleet
        numbers = self.rng.sample(range(FUZZED_INSTANCES), targets)
        rate = factor * FLOOD_LIMIT.rate_per_s
        end_s = fleet.now + seconds
        while fleet.now < end_s:
            fleet.advance(fleet.now + self.rng.expovariate(rate))
            fleet.request(self.rng.choice(numbers), 'a')

    def start_all(self):
        for node in self.fleet.nodes:
            if not node.is_alive:
                self.fleet.start(node.number)

    def cut(self, parts):
        """Cut the fleet into random groups, or reconnect it with 1."""
        if parts == 1:
            self.fleet.one_way.clear()
        self.fleet.partition(
            [
                number if parts == FUZZED_INSTANCES else number % parts
                for number in range(FUZZED_INSTANCES)
            ]
        )

    def cut_one_way(self, number, *, is_sender):
        """Lose all messages from or to one instance."""
        for other in range(FUZZED_INSTANCES):
            pair = (number, other) if is_sender else (other, number)
            self.fleet.one_way.add(pair)

    def lower(self, divisor):
        """Publish a limit that is a part of the first one."""
        lower = quota.Limit(
            FLOOD_LIMIT.rate_per_s / divisor, FLOOD_LIMIT.burst / divisor
        )
        before, _ = self.limits[-1]
        if lower.rate_per_s < before.rate_per_s:
            self.fleet.set_limits({'a': lower})
            self.limits.append((lower, self.fleet.now + 0.5 + 5.0))

    def worst(self):
        """Return the worst excess over any limit that is binding."""
        return max(
            excess(self.fleet.run_s['a'], limit, self.fleet.settings, from_s)
            for limit, from_s in self.limits
        )


def scripted(name):
    """Return a flood after a fixed history."""
    flood = Flood()
    fleet = flood.fleet
    match name:
        case 'calm':
            flood.send(4.0, 3)
            fleet.advance(fleet.now + 20.0)
            flood.send(5.0)
        case 'partition':
            flood.cut(2)
            fleet.advance(fleet.now + 6.0)
            flood.send(8.0)
        case 'isolation':
            fleet.expiry_s = 1000.0
            flood.cut(FUZZED_INSTANCES)
            fleet.advance(fleet.now + 3.0)
            flood.send(1.0)
            fleet.advance(fleet.now + 20.0)
            flood.send(8.0)
        case 'lowered':
            flood.send(10.0, factor=0.7)
            flood.lower(20)
            fleet.advance(fleet.now + 6.0)
            flood.send(5.0)
        case 'restarts':
            node = fleet.nodes[0]
            key = quota.choose_coordinator('a', node.ledger.active(fleet.now))
            for _ in range(6):
                fleet.kill(node.candidates[key])
                flood.start_all()
                flood.send(0.9)
    return flood


class FixedShares(Node):
    """Each instance admits an equal share; no messages."""

    def tick(self):
        self.learn()

    def arrive(self, account):
        now = self.fleet.now
        decision = self.ledger.decide_by_share(account, now)
        self.finish(account, now, decision)

    def schedule_changed(self):
        pass


class LentShares(FixedShares):
    """Equal shares; an instance without a token asks four others for one."""

    LENDERS = 4
    MESSAGE_BYTES = 60

    def arrive(self, account):
        now = self.fleet.now
        decision = self.ledger.decide_by_share(account, now)
        if isinstance(decision, quota.Token):
            self.finish(account, now, decision)
            return
        others = sorted(self.known - {self.number})
        chosen = self.fleet.rng.sample(others, self.LENDERS)
        state = {'open': True, 'left': len(chosen), 'refused': decision}
        for number in chosen:
            other = self.fleet.nodes[number]
            self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
            self.fleet.send(self, other, other.lend, self, account, now, state)
        self.fleet.at(now + 0.1, self, self.give_up, account, now, state)

    def lend(self, borrower, account, arrived_s, state):
        decision = self.ledger.decide_by_share(account, self.fleet.now)
        self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
        self.fleet.send(
            self, borrower, borrower.hear, account, arrived_s, state, decision
        )

    def hear(self, account, arrived_s, state, decision):
        state['left'] -= 1
        is_lent = isinstance(decision, quota.Token)
        if state['open'] and (is_lent or state['left'] == 0):
            state['open'] = False
            self.finish(account, arrived_s, decision)

    def give_up(self, account, arrived_s, state):
        if state['open']:
            state['open'] = False
            self.finish(account, arrived_s, state['refused'])


class SharedCounts(Node):
    """Each instance tells all others what it admitted, every 0.1 s.

    Each subtracts all counts from its own bucket of the account.
    """

    INTERVAL_S = 0.1
    MESSAGE_BYTES = 40

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation)
        self.ideal = {}
        self.fresh = collections.Counter()

    def bucket(self, account):
        if account not in self.ideal:
            limit = self.ledger.limits[account]
            self.ideal[account] = IdealBucket(limit, self.fleet.now)
        return self.ideal[account]

    def tick(self):
        self.learn()
        fresh, self.fresh = self.fresh, collections.Counter()
        for number in self.known - {self.number} if fresh else ():
            other = self.fleet.nodes[number]
            self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
            if other.is_alive and self.fleet.is_reachable(self, other):
                for account, count in fresh.items():
                    other.bucket(account).level -= count
        self.fleet.at(self.fleet.now + self.INTERVAL_S, self, self.tick)

    def arrive(self, account):
        now = self.fleet.now
        if self.bucket(account).admits(now):
            self.fresh[account] += 1
            self.finish(account, now, quota.Token(account, None))
        else:
            self.finish(account, now, quota.Refused(0.0))


class FreeAdmission(SharedCounts):
    """Coordinators; instances admit freely while buckets are not low.

    As specified on the page: what was admitted is reported within 20 ms, and
    an instance without a reply for 1 s admits its equal share. While a bucket
    is low, one token is asked for each request.
    """

    INTERVAL_S = 0.02
    LOW_SHARE = 0.3

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation)
        self.heard_s = {}
        self.low = set()

    def tick(self):
        self.learn()
        now = self.fleet.now
        for key, number in self.candidates.items():
            other = self.fleet.nodes[number]
            counts = {
                account: count
                for account, count in self.fresh.items()
                if self.coordinator_of(account) == key
            }
            is_idle = now - self.heard_s.get(key, -1.0) >= 0.4
            if counts or is_idle:
                self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
                self.fleet.send(self, other, other.subtract, self, counts)
        self.fresh.clear()
        self.fleet.at(now + self.INTERVAL_S, self, self.tick)

    def coordinator_of(self, account):
        keys = tuple(sorted(self.candidates))
        return quota.choose_coordinator(account, keys)

    def subtract(self, sender, counts):
        for account, count in counts.items():
            bucket = self.bucket(account)
            bucket.admits(self.fleet.now)
            bucket.level += 1 - count
        low = {
            account
            for account, bucket in self.ideal.items()
            if bucket.level < self.LOW_SHARE * max(1.0, bucket.limit.burst)
        }
        self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
        self.fleet.send(self, sender, sender.mark, self.key, low)

    def mark(self, key, low):
        self.heard_s[key] = self.fleet.now
        self.low = {
            account
            for account in self.low
            if self.coordinator_of(account) != key
        } | low

    def arrive(self, account):
        now = self.fleet.now
        key = self.coordinator_of(account)
        if now - self.heard_s.get(key, -1.0) >= 1.0:
            self.finish(
                account, now, self.ledger.decide_by_share(account, now)
            )
        elif account not in self.low:
            self.fresh[account] += 1
            self.finish(account, now, quota.Token(account, None))
        else:
            other = self.fleet.nodes[self.candidates[key]]
            self.bytes_sent += self.MESSAGE_BYTES * self.fleet.counts_bytes
            self.fleet.send(self, other, other.take, self, account, now)

    def take(self, sender, account, arrived_s):
        is_admitted = self.bucket(account).admits(self.fleet.now)
        decision = (
            quota.Token(account, None) if is_admitted else quota.Refused(0.0)
        )
        self.fleet.send(
            self, sender, sender.finish, account, arrived_s, decision
        )


class IdealBucket:
    """Token bucket that sees all requests at once."""

    def __init__(self, limit, now):
        self.limit = limit
        self.level = max(1.0, limit.burst)
        self.updated_s = now

    def admits(self, now):
        added = self.limit.rate_per_s * (now - self.updated_s)
        self.level = min(self.level + added, max(1.0, self.limit.burst))
        self.updated_s = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Client(NamedTuple):
    """A caller of an account, which stays with one instance."""

    name: str
    account: str


class Deployment:
    """The load of a deployment with 79 accounts on 110 instances."""

    def __init__(self, *, seed, burst_s=1.0, make_node=Node, accounts=79):
        self.rng = random.Random(seed)
        weights = [(rank + 1) ** -1.2 for rank in range(accounts)]
        self.rates = {
            f'account-{rank}': 621 * weight / sum(weights)
            for rank, weight in enumerate(weights)
        }
        self.limits = {
            name: quota.Limit(1.6 * rate, max(1.0, 1.6 * rate * burst_s))
            for name, rate in self.rates.items()
        }
        self.clients = {
            name: [
                Client(f'{name}/{number}', name)
                for number in range(max(2, round(rate / 0.5)))
            ]
            for name, rate in self.rates.items()
        }
        self.fleet = QuotaFleet(
            instances=110,
            limits=self.limits,
            seed=seed,
            make_node=make_node,
        )
        self.ideal = {}
        self.conforming = {}
        self.factors = {}

    def place(self, client):
        """Return the instance of a client, another one if it ended."""
        for attempt in range(20):
            digest = hashlib.blake2b(
                f'{client.name} {attempt}'.encode(), digest_size=8
            ).digest()
            number = int.from_bytes(digest, 'big') % len(self.fleet.nodes)
            if self.fleet.nodes[number].is_alive:
                break
        return number

    def run(self, seconds):
        """Send requests of all accounts for a time."""
        fleet = self.fleet
        end_s = fleet.now + seconds
        names = list(self.rates)
        while True:
            weights = [self.rates[n] * self.factors.get(n, 1.0) for n in names]
            total = sum(weights)
            time_s = fleet.now + self.rng.expovariate(total)
            if time_s >= end_s:
                break
            fleet.advance(time_s)
            (name,) = self.rng.choices(names, weights)
            client = self.rng.choice(self.clients[name])
            if name not in self.ideal:
                self.ideal[name] = IdealBucket(self.limits[name], time_s)
            conforms = self.ideal[name].admits(time_s)
            self.conforming[name, time_s] = conforms
            fleet.request(self.place(client), name)
        fleet.advance(end_s)


class Figures(NamedTuple):
    """Result of one scenario.

    Attributes
    ----------
    refused_within : float
        Part refused of the requests that one bucket would admit, of the
        accounts that send as usual.
    served_of_over : float
        Admitted requests of the account that sends more than usual, by those
        that one bucket would admit.
    excess : float
        Worst excess over the bound of any account; negative if none.
    wait_p50_ms, wait_p99_ms, wait_max_ms : float
        Wait for a token, of the admitted requests of accounts that send as
        usual.
    bytes_per_s : float
        Messages sent, for each instance.
    """

    refused_within: float
    served_of_over: float
    excess: float
    wait_p50_ms: float
    wait_p99_ms: float
    wait_max_ms: float
    bytes_per_s: float


def measure(deployment, seconds, after_s):
    """Return the figures of the requests after a time."""
    fleet = deployment.fleet
    within = refused = over = admitted = 0
    waits = []
    for outcome in fleet.outcomes:
        if outcome.arrived_s < after_s:
            continue
        is_over = outcome.account in deployment.factors
        if outcome.is_admitted and not is_over:
            waits.append(outcome.decided_s - outcome.arrived_s)
        conforms = deployment.conforming[outcome.account, outcome.arrived_s]
        if is_over:
            over += conforms
            admitted += outcome.is_admitted
        else:
            within += conforms
            refused += conforms and not outcome.is_admitted
    worst = max(
        excess(times_s, deployment.limits[name], fleet.settings)
        for name, times_s in fleet.run_s.items()
    )
    waits.sort()
    sent = sum(node.bytes_sent for node in fleet.nodes)
    return Figures(
        refused / max(1, within),
        admitted / over if over else float('nan'),
        worst,
        1000 * waits[len(waits) // 2],
        1000 * waits[int(len(waits) * 0.99)],
        1000 * waits[-1],
        sent / seconds / len(fleet.nodes),
    )


def calm(deployment):
    deployment.run(20.0)


def one_account_over(deployment):
    deployment.factors['account-1'] = 6.0
    deployment.run(7.0)
    deployment.factors['account-1'] = 1.0
    deployment.run(13.0)


def coordinator_killed(deployment):
    node = deployment.fleet.nodes[0]
    deployment.fleet.kill(node.candidates[min(node.candidates)])
    deployment.run(20.0)


def region_cut_off(deployment):
    deployment.factors['account-1'] = 6.0
    regions = [node.region for node in deployment.fleet.nodes]
    deployment.fleet.partition([region == 'r1' for region in regions])
    deployment.run(10.0)
    deployment.fleet.partition([0] * len(regions))
    deployment.run(10.0)


# Clients get their first token within this time.
WARM_UP_S = 20.0
SCENARIOS = (calm, one_account_over, coordinator_killed, region_cut_off)


def print_table(seed, burst_s, kinds, scenarios):
    """Print the figures of each design and scenario."""
    print(
        'design | scenario | refused within | served of over | excess'
        ' | wait p50, p99, max ms | bytes/s'
    )
    for name in kinds:
        for scenario in scenarios:
            deployment = Deployment(
                seed=seed, burst_s=burst_s, make_node=DESIGNS[name]
            )
            fleet = deployment.fleet
            fleet.advance(fleet.now + 5.0)
            deployment.run(WARM_UP_S)
            fleet.counts_bytes = True
            began_s = fleet.now
            scenario(deployment)
            row = measure(deployment, fleet.now - began_s, began_s)
            print(
                f'{name} | {scenario.__name__}'
                f' | {row.refused_within:.4f} | {row.served_of_over:.3f}'
                f' | {row.excess:.1f} | {row.wait_p50_ms:.1f},'
                f' {row.wait_p99_ms:.1f}, {row.wait_max_ms:.1f}'
                f' | {row.bytes_per_s:.0f}',
                flush=True,
            )


DESIGNS = {
    'fixed shares': FixedShares,
    'lent shares': LentShares,
    'counts to all': SharedCounts,
    'free admission': FreeAdmission,
    'coordinators': Node,
}


def print_histories(first, count):
    """Run random histories; print those that break the bound."""
    worst = float('-inf')
    broken = 0
    for seed in range(first, first + count):
        result = History(seed).run()
        worst = max(worst, result)
        if result > 0:
            broken += 1
            print(f'seed {seed}: {result:.1f} over', flush=True)
    print(f'{count} histories from {first}: {broken} over, worst {worst:.1f}')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('command', choices=['table', 'histories'])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--burst-s', type=float, default=1.0)
    parser.add_argument('--design', action='append')
    parser.add_argument('--scenario', action='append')
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--count', type=int, default=1000)
    options = parser.parse_args()
    if options.command == 'table':
        kinds = options.design or list(DESIGNS)
        scenarios = [
            scenario
            for scenario in SCENARIOS
            if scenario.__name__ in (options.scenario or scenario.__name__)
        ]
        print_table(options.seed, options.burst_s, kinds, scenarios)
    else:
        print_histories(options.first, options.count)


if __name__ == '__main__':
    main()
