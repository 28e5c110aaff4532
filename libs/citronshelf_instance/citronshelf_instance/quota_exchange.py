"""Exchange of quota tokens between instances and coordinators."""

import asyncio
import collections
import heapq
import logging
import random
import time
from typing import Protocol

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import events
from citronshelf_instance import membership
from citronshelf_instance import metrics as metrics_module
from citronshelf_instance import peer_messages
from citronshelf_instance import published
from citronshelf_instance import quota
from citronshelf_instance import quota_coordinator
from citronshelf_instance import quota_ledger

LOG = logging.getLogger(__name__)

# Instances of each region that may coordinate. An instance keeps a connection
# to each of them.
CANDIDATES = 2
# Spent tokens are reported within this time, in one message for all accounts
# of a coordinator.
REPORT_DELAY_S = 0.02
# A coordinator gets a report at least this often, so that two of them may get
# lost before the tokens are void.
KEEPALIVE_S = 0.5
TICK_S = 0.25
# A request waits this long for a token. A reply from another region takes
# 41 ms, and an instance may be busy for some time.
MAX_WAIT_S = 0.1
# After a reply that did not come, requests without a token are refused at
# once for this time.
SILENT_PAUSE_S = 0.5
# Accounts that were refused at least this recently are not logged again.
SPELL_S = 10.0


def suspend_clock() -> float:
    """Return seconds of a monotonic clock that counts suspended time.

    ``CLOCK_BOOTTIME`` advances whenever ``CLOCK_MONOTONIC`` does, so what is
    too old by either of them is too old by this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Links(Protocol):
    """Sends messages to other instances, as ``Peers`` does."""

    seeds: list[fleet.Address]
    has_left: bool

    def send(self, address: fleet.Address, message) -> bool: ...

    def reply(self, route, message) -> bool: ...


class QuotaExchange:
    """Admits requests of limited accounts, and coordinates some accounts.

    Sends nothing and refuses nothing while no account has a limit, or without
    settings.

    Parameters
    ----------
    own : Member
    settings : QuotaSettings or None
    state : PublishedState
    members : Membership
    links : Links
    metrics : InstanceMetrics
    rng : random.Random
    clock : callable
        Seconds of a clock that counts suspended time.
    """

    def __init__(
        self,
        *,
        own: peer_messages.Member,
        settings: quota.QuotaSettings | None,
        state: published.PublishedState,
        members: membership.Membership,
        links: Links,
        metrics: metrics_module.InstanceMetrics,
        rng: random.Random,
        clock=suspend_clock,
    ):
        self.own = own
        self.key = quota.name_key(own.instance)
        self.settings = settings
        self.state = state
        self.members = members
        self.links = links
        self.metrics = metrics
        self.rng = rng
        self.clock = clock
        self.configuration = None
        self.limits: dict[str, quota.Limit] = {}
        self.largest_fleet = 1
        self.met_seeds = False
        self.addresses: dict[int, fleet.Address] = {}
        self.silent: frozenset[int] = frozenset()
        self.reported_active: tuple[int, ...] = ()
        self.timers: dict[int, asyncio.TimerHandle] = {}
        self.waiters: dict[str, collections.deque[asyncio.Future]] = {}
        self.logged_s: dict[tuple[int, str], float] = {}
        self.make_books()

    def make_books(self) -> None:
        """Start without tokens, as an instance and as a coordinator."""
        settings = self.settings or quota.QuotaSettings(1.0, 0.0, 0.0)
        self.ledger = quota_ledger.Ledger(
            key=self.key,
            settings=settings,
            limits=self.limits,
            fleet=self.fleet,
            rng=self.rng,
        )
        self.coordinator = quota_coordinator.Coordinator(
            key=self.key,
            settings=settings,
            limits=self.limits,
            fleet=self.fleet,
        )

    def set_settings(self, settings: quota.QuotaSettings | None) -> None:
        """Use other settings; tokens granted before are dropped."""
        if settings != self.settings:
            self.settings = settings
            last_session = self.ledger.last_session
            self.make_books()
            # Coordinators ignore reports of a lower session.
            self.ledger.last_session = last_session

    def fleet(self) -> quota.Fleet:
        """Return what is known of the size of the fleet."""
        return quota.Fleet(self.largest_fleet, self.met_seeds)

    def update_limits(self) -> bool:
        """Use the configuration in force; return whether it has limits."""
        if self.state.configuration is not self.configuration:
            self.configuration = self.state.configuration
            self.set_limits(
                {
                    account.name: quota.Limit(
                        account.rate_per_s, account.burst
                    )
                    for account in self.configuration.accounts
                    if account.rate_per_s > 0
                }
            )
        return self.settings is not None and bool(self.limits)

    def set_limits(self, limits: dict[str, quota.Limit]) -> None:
        """Use other limits of accounts."""
        if limits == self.limits:
            return
        self.limits = limits
        self.ledger.set_limits(limits)
        self.coordinator.set_limits(limits)
        if self.settings is not None:
            log_events.log_event(
                LOG,
                events.QUOTA_LIMITS_IN_FORCE,
                accounts=len(limits),
                revision=self.configuration.revision,
            )

    def update_candidates(self) -> None:
        """Choose the coordinators among the known instances.

        This instance is none of them once it has announced its end.
        """
        self.largest_fleet = max(self.largest_fleet, self.members.count())
        members = [known.member for known in self.members.known.values()]
        addresses = {member.address for member in members}
        self.met_seeds = self.met_seeds or addresses.issuperset(
            self.links.seeds
        )
        if not self.links.has_left:
            members.append(self.own)
        regions = collections.defaultdict(list)
        for member in members:
            regions[member.location.region].append(
                (quota.name_key(member.instance), member.address)
            )
        self.addresses = {
            key: address
            for candidates in regions.values()
            for key, address in heapq.nsmallest(
                CANDIDATES, candidates, key=lambda pair: pair[0]
            )
        }
        self.ledger.set_candidates(frozenset(self.addresses), self.clock())

    async def run(self) -> None:
        """Keep in contact with the coordinators until cancelled."""
        while True:
            if self.update_limits():
                self.tick()
            await asyncio.sleep(TICK_S * self.rng.uniform(0.8, 1.0))

    def tick(self) -> None:
        """Report to coordinators that got no report for some time.

        All of them get one at once after a change of those that reply, since
        accounts then change their coordinators.
        """
        self.update_candidates()
        now = self.clock()
        self.log_silence(now)
        active = self.ledger.active(now)
        for key, lease in self.ledger.leases.items():
            is_due = now - lease.last_sent_s >= KEEPALIVE_S - TICK_S / 2
            if is_due or active != self.reported_active:
                self.flush(key)
        self.reported_active = active

    def log_silence(self, now: float) -> None:
        """Log coordinators that have become silent or reply again."""
        silent = frozenset(
            key
            for key, lease in self.ledger.leases.items()
            if lease.is_silent(now)
        )
        for key in self.addresses.keys() & (silent ^ self.silent):
            log_events.log_event(
                LOG,
                events.QUOTA_COORDINATOR_SILENT
                if key in silent
                else events.QUOTA_COORDINATOR_HEARD,
                address=self.addresses[key].authority(),
            )
        self.silent = silent

    async def admit(self, account: str) -> quota.Token | quota.Refused | None:
        """Take a token of an account; None if it has no limit.

        Without a token at hand, waits up to ``MAX_WAIT_S`` for one.
        """
        if not self.update_limits() or account not in self.limits:
            return None
        if not self.ledger.leases:
            self.update_candidates()
        decision = self.ledger.decide(account, self.clock())
        if isinstance(decision, quota.MustAsk):
            decision = await self.ask(account, decision.coordinator)
            is_new = isinstance(decision, quota.Token)
            self.record(account, decision, 'waited' if is_new else 'refused')
            return decision
        self.record(account, decision, describe(decision))
        self.schedule_changed()
        return decision

    async def ask(
        self, account: str, coordinator: int
    ) -> quota.Token | quota.Refused:
        """Ask a coordinator for a token and wait for it."""
        usage = self.ledger.usages[account]
        waiter = asyncio.get_running_loop().create_future()
        waiters = self.waiters.setdefault(account, collections.deque())
        waiters.append(waiter)
        usage.waiting += 1
        self.ledger.leases[coordinator].changed.add(account)
        self.schedule(coordinator, 0.0)
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                return await asyncio.shield(waiter)
        except TimeoutError:
            if waiter.done():
                return waiter.result()
            return self.end_wait(account, coordinator)
        except asyncio.CancelledError:
            if waiter.done() and isinstance(waiter.result(), quota.Token):
                self.give_back(waiter.result())
            raise
        finally:
            usage.waiting -= 1
            if waiter in waiters:
                waiters.remove(waiter)

    def end_wait(
        self, account: str, coordinator: int
    ) -> quota.Token | quota.Refused:
        """Decide a request for which no reply has arrived."""
        now = self.clock()
        usage = self.ledger.usages.get(account)
        lease = self.ledger.leases.get(coordinator)
        if usage is None or lease is None:
            return quota.Refused(0.0)
        usage.paused_until_s = now + SILENT_PAUSE_S
        usage.admit_from_s = max(
            now + SILENT_PAUSE_S, lease.heard_s + quota.LEASE_S
        )
        decision = self.ledger.redecide(account, now)
        if isinstance(decision, quota.MustAsk):
            return quota.Refused(usage.admit_from_s - now)
        return decision

    def is_over_quota(self, account: str | None) -> bool:
        """Return whether requests of an account are being refused."""
        usage = self.ledger.usages.get(account)
        return usage is not None and self.clock() < usage.paused_until_s

    def give_back(self, token: quota.Token) -> None:
        """Take back the token of a request that did not run."""
        self.metrics.count('quota', 'returned')
        self.ledger.give_back(token)
        self.schedule_changed()

    def record(self, account: str, decision, kind: str) -> None:
        """Count a decision; log the first of several refusals."""
        self.metrics.count('quota', kind)
        if isinstance(decision, quota.Refused):
            self.log_once(
                events.QUOTA_EXCEEDED,
                account,
                retry_after_s=round(decision.wait_s, 3),
            )
        elif kind == 'share':
            self.log_once(events.QUOTA_SHARE_USED, account)

    def log_once(self, event: log_events.Event, account: str, **fields):
        """Log an event of an account unless it lasts since it was logged."""
        now = self.clock()
        key = (event.number, account)
        last_s = self.logged_s.get(key, float('-inf'))
        self.logged_s[key] = now
        if now - last_s >= SPELL_S:
            log_events.log_event(LOG, event, account=account, **fields)

    def schedule_changed(self) -> None:
        """Schedule reports about the accounts that changed."""
        for key, lease in self.ledger.leases.items():
            if lease.changed:
                self.schedule(key, REPORT_DELAY_S)

    def schedule(self, coordinator: int, delay_s: float) -> None:
        """Schedule a report after at most ``delay_s`` seconds."""
        if coordinator == self.key:
            self.flush(coordinator)
            return
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        timer = self.timers.get(coordinator)
        if timer is not None:
            if timer.when() <= due_s:
                return
            timer.cancel()
        self.timers[coordinator] = loop.call_at(due_s, self.flush, coordinator)

    def flush(self, coordinator: int) -> None:
        """Send a report; what does not fit is sent with the next one."""
        timer = self.timers.pop(coordinator, None)
        if timer is not None:
            timer.cancel()
        if coordinator not in self.ledger.leases:
            return
        now = self.clock()
        report = self.ledger.make_report(coordinator, now)
        if coordinator == self.key:
            self.ledger.record_sent(coordinator, report, now)
            self.receive_own(report, now)
            return
        message = peer_messages.QuotaReport(
            peer_messages.member_key(self.own), *report
        )
        if self.links.send(self.addresses[coordinator], message):
            self.ledger.record_sent(coordinator, report, now)

    def receive_own(self, report: quota.Report, now: float) -> None:
        """Coordinate an account that this instance itself asks for."""
        key = peer_messages.member_key(self.own)
        reply = self.coordinator.receive(key, report, now)
        if reply is not None:
            self.apply(self.key, reply)

    def receive_report(
        self, message: peer_messages.QuotaReport, route
    ) -> None:
        """Reply to a report of another instance."""
        if not self.update_limits():
            return
        reply = self.coordinator.receive(
            message.sender_key, quota.Report(*message[1:]), self.clock()
        )
        if reply is not None:
            self.links.reply(route, peer_messages.QuotaReply(self.key, *reply))

    def receive_reply(self, message: peer_messages.QuotaReply) -> None:
        """Record the reply of a coordinator."""
        self.apply(message.coordinator, quota.Reply(*message[1:]))

    def apply(self, coordinator: int, reply: quota.Reply) -> None:
        """Record a reply and decide the requests that waited for it."""
        now = self.clock()
        for account in self.ledger.receive(coordinator, reply, now):
            waiters = self.waiters.get(account, ())
            while waiters:
                decision = self.ledger.redecide(account, now)
                if isinstance(decision, quota.MustAsk):
                    self.report_again(decision.coordinator, account)
                    break
                waiters.popleft().set_result(decision)
        lease = self.ledger.leases.get(coordinator)
        if lease is not None and lease.changed:
            self.schedule(coordinator, REPORT_DELAY_S)

    def report_again(self, coordinator: int, account: str) -> None:
        """Ask for the requests that arrived after the last report.

        A report to this instance itself is not sent within the handling of
        its reply.
        """
        self.ledger.leases[coordinator].changed.add(account)
        if coordinator == self.key:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.flush, coordinator)
        else:
            self.schedule(coordinator, 0.0)

    def add_gauges(self, metrics: metrics_module.InstanceMetrics) -> None:
        """Add the gauges, which are read when metrics are rendered."""
        metrics.add_gauge(
            'quota_accounts',
            'Accounts with a limit',
            lambda: len(self.limits) if self.settings else 0,
        )
        metrics.add_gauge(
            'quota_coordinators',
            'Coordinators of quotas that reply',
            lambda: len(self.ledger.active(self.clock())),
        )
        metrics.add_gauge(
            'quota_tokens_held',
            'Tokens of quotas that this instance may spend',
            lambda: sum(
                tally.held()
                for lease in self.ledger.leases.values()
                for tally in lease.tallies.values()
            ),
        )

    def close(self) -> None:
        """Cancel scheduled reports, so that nothing more is sent."""
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()


def describe(decision: quota.Token | quota.Refused) -> str:
    """Return the label of a decision in the metrics."""
    if isinstance(decision, quota.Refused):
        return 'refused'
    return 'held' if decision.tally is not None else 'share'
