"""Tokens of client accounts that one instance holds.

Answers requests of accounts with a quota at an instance that gets few of them,
also while no coordinator replies: it then admits an equal share, which the
coordinators no longer grant. Uses no network; callers pass the time.
"""

from collections.abc import Iterable
import math
import random

from citronshelf_instance import quota

# A token of an equal share is lost after this time. A longer life would add
# to the requests that a window can see: half a second adds a tenth to 5 s.
SHARE_LIFE_S = 0.5
# Time constant with which an instance measures the rate of an account.
RATE_MEMORY_S = 5.0
# An instance holds tokens for the requests of this time, which covers a
# report, its way to another region and back, and some variance.
AHEAD_S = 0.25
# An instance returns the tokens of an account after this time without a
# request of it.
IDLE_S = 30.0
# Bounds of the time for which an instance that was denied a token refuses
# requests without asking again.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
# An instance asks again this long after a coordinator did not know an
# account, which happens while a configuration spreads.
UNKNOWN_PAUSE_S = 0.5


class EqualShare:
    """Equal share of an account's quota, for the time without contact.

    The part of the first token is random: an instance earns the same on
    average however often it starts again, and the shares of many instances
    don't become whole tokens at the same time.

    Parameters
    ----------
    rng : random.Random
    now : float
    """

    def __init__(self, *, rng: random.Random, now: float):
        self.earned = rng.random()
        self.updated_s = now
        self.tokens = 0

    def refill(self, rate_per_s: float, now: float) -> None:
        """Add what was earned since the last call, and drop old tokens.

        Tokens are spent oldest first, so those that are left are not more
        than the ones that were completed within ``SHARE_LIFE_S``.
        """
        elapsed_s = max(0.0, now - self.updated_s)
        self.updated_s = now
        total = self.earned + rate_per_s * elapsed_s
        self.earned = total % 1.0
        recent = max(0, math.ceil(rate_per_s * SHARE_LIFE_S - self.earned))
        self.tokens = min(self.tokens + math.floor(total), recent)

    def try_spend(self) -> bool:
        """Spend a token if there is one."""
        if self.tokens == 0:
            return False
        self.tokens -= 1
        return True

    def wait_s(self, rate_per_s: float) -> float:
        """Return the time until the next token."""
        return (1.0 - self.earned) / rate_per_s


class Usage:
    """Requests of one account that this instance has seen.

    Attributes
    ----------
    denied : int
        Requests refused since the last report.
    waiting : int
        Requests that wait for a token now.
    paused_until_s : float
        Requests without a token are refused until then.
    unknown_until_s : float
        The coordinator does not know the account, so the equal share is
        admitted until then.
    admit_from_s : float
        Time at which the coordinator expects to have a token.
    """

    def __init__(self):
        self.rate_per_s = 0.0
        self.seen_s = float('-inf')
        self.denied = 0
        self.waiting = 0
        self.paused_until_s = float('-inf')
        self.admit_from_s = float('-inf')
        self.unknown_until_s = float('-inf')

    def record(self, now: float) -> None:
        """Record the arrival of a request."""
        self.rate_per_s = self.rate_at(now) + 1 / RATE_MEMORY_S
        self.seen_s = now

    def rate_at(self, now: float) -> float:
        """Return the decayed request rate."""
        elapsed_s = now - self.seen_s
        return self.rate_per_s * math.exp(-elapsed_s / RATE_MEMORY_S)

    def wanted(self, now: float) -> int:
        """Return the tokens to hold in advance."""
        if now - self.seen_s >= IDLE_S:
            return 0
        return 1 + max(0, math.ceil(AHEAD_S * self.rate_at(now) - 0.1))


class Lease:
    """Tokens that this instance holds from one coordinator.

    Parameters
    ----------
    session : int
    now : float

    Attributes
    ----------
    heard_s : float
        Time of the last reply, or of the start of the lease.
    valid_until_s : float
        Tokens are void from then on.
    changed : set of str
        Accounts for the next report.
    """

    def __init__(self, *, session: int, now: float):
        self.heard_s = now
        self.last_sent_s = float('-inf')
        self.tallies: dict[str, quota.Tally] = {}
        self.changed: set[str] = set()
        self.asked: dict[int, frozenset[str]] = {}
        self.sent_s: dict[int, float] = {}
        self.begin_session(session)

    def begin_session(self, session: int) -> None:
        """Drop all tokens and start to count again."""
        self.session = session
        self.number = 0
        self.seen = 0
        self.valid_until_s = float('-inf')
        self.changed.update(self.tallies)
        self.tallies = {}
        self.asked = {}
        self.sent_s = {}

    def is_silent(self, now: float) -> bool:
        """Return whether no reply has arrived for too long."""
        return now - self.heard_s >= quota.LEASE_S

    def spend(self, account: str, now: float) -> quota.Tally | None:
        """Spend a token; return the tally it came from, or None."""
        tally = self.tallies.get(account)
        if tally is None or tally.held() <= 0 or now >= self.valid_until_s:
            return None
        tally.used += 1
        self.changed.add(account)
        return tally

    def record_sent(self, accounts: Iterable[str], now: float) -> None:
        """Record that the next report was sent."""
        self.number += 1
        self.last_sent_s = now
        self.sent_s[self.number] = now
        self.asked[self.number] = frozenset(accounts)

    def receive(self, reply: quota.Reply, now: float) -> frozenset[str] | None:
        """Record a reply.

        Returns the accounts of its report, or None if the reply is outdated.
        """
        if reply.session != self.session or not (
            self.seen < reply.number <= self.number
        ):
            return None
        sent_s = self.sent_s[reply.number]
        asked = self.asked[reply.number]
        self.seen = reply.number
        self.heard_s = now
        self.valid_until_s = sent_s + quota.LEASE_S
        for number in [one for one in self.sent_s if one <= reply.number]:
            del self.sent_s[number], self.asked[number]
        for grant in reply.grants:
            tally = self.tallies.setdefault(grant.account, quota.Tally())
            tally.granted = max(tally.granted, grant.granted)
        return asked


class Ledger:
    """Decides the requests of this instance with the tokens it holds.

    Parameters
    ----------
    key : int
        ``name_key`` of this instance.
    settings : QuotaSettings
    limits : dict of str to Limit
    fleet : callable
        Returns a ``Fleet``.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        key: int,
        settings: quota.QuotaSettings,
        limits,
        fleet,
        rng: random.Random,
    ):
        self.key = key
        self.settings = settings
        self.limits: dict[str, quota.Limit] = limits
        self.fleet = fleet
        self.rng = rng
        # Replies to a previous process must not match a session of this one.
        self.last_session = rng.getrandbits(48)
        self.leases: dict[int, Lease] = {}
        self.usages: dict[str, Usage] = {}
        self.shares: dict[str, EqualShare] = {}

    def set_limits(self, limits: dict[str, quota.Limit]) -> None:
        """Use the limits of another configuration.

        Returns the tokens of accounts whose limit is lower than before.
        """
        for account, before in self.limits.items():
            after = limits.get(account)
            if after is not None and after.capacity(
                self.settings
            ) < before.capacity(self.settings):
                self.return_tokens(account)
        self.limits = limits
        for account in self.usages.keys() - limits.keys():
            del self.usages[account]
            self.shares.pop(account, None)

    def return_tokens(self, account: str) -> None:
        """Return all unused tokens of an account."""
        for lease in self.leases.values():
            tally = lease.tallies.get(account)
            if tally is not None:
                tally.returned += max(0, tally.held())
                lease.changed.add(account)

    def set_candidates(self, keys: frozenset[int], now: float) -> None:
        """Keep a lease with each instance that may coordinate."""
        if keys == self.leases.keys():
            return
        for key in self.leases.keys() - keys:
            del self.leases[key]
        for key in sorted(keys - self.leases.keys()):
            self.leases[key] = Lease(session=self.next_session(), now=now)

    def next_session(self) -> int:
        """Return the number of a new session."""
        self.last_session += 1
        return self.last_session

    def active(self, now: float) -> tuple[int, ...]:
        """Return the coordinators that reply, sorted."""
        return tuple(
            sorted(
                key
                for key, lease in self.leases.items()
                if not lease.is_silent(now)
            )
        )

    def decide(self, account: str, now: float) -> quota.Decision:
        """Decide a request of a limited account that has just arrived."""
        self.usages.setdefault(account, Usage()).record(now)
        return self.redecide(account, now)

    def redecide(self, account: str, now: float) -> quota.Decision:
        """Decide a request, possibly after a reply."""
        usage = self.usages.setdefault(account, Usage())
        active = self.active(now)
        coordinator = quota.choose_coordinator(account, active)
        is_alone = active == (self.key,) and self.fleet().is_isolated()
        if coordinator is None or is_alone or now < usage.unknown_until_s:
            return self.decide_by_share(account, now)
        self.shares.pop(account, None)
        lease = self.leases[coordinator]
        tally = lease.spend(account, now)
        if tally is not None:
            return quota.Token(account, tally)
        if now < usage.paused_until_s:
            return self.refuse(account, coordinator, now)
        return quota.MustAsk(coordinator)

    def refuse(
        self, account: str, coordinator: int, now: float
    ) -> quota.Refused:
        """Refuse a request and let the coordinator know of the demand."""
        usage = self.usages[account]
        usage.denied += 1
        self.leases[coordinator].changed.add(account)
        return quota.Refused(max(0.0, usage.admit_from_s - now))

    def decide_by_share(
        self, account: str, now: float
    ) -> quota.Token | quota.Refused:
        """Decide a request without contact to a coordinator."""
        share = self.shares.get(account)
        if share is None:
            share = self.shares[account] = EqualShare(rng=self.rng, now=now)
        rate = self.limits[account].rate_per_s / self.fleet().share_divisor()
        share.refill(rate, now)
        if share.try_spend():
            return quota.Token(account, None)
        return quota.Refused(share.wait_s(rate))

    def give_back(self, token: quota.Token) -> None:
        """Take back the token of a request that did not run.

        A token of an ended session is void.
        """
        if token.tally is None:
            share = self.shares.get(token.account)
            if share is not None:
                share.tokens += 1
            return
        for lease in self.leases.values():
            if lease.tallies.get(token.account) is token.tally:
                token.tally.used -= 1
                lease.changed.add(token.account)

    def make_report(self, coordinator: int, now: float) -> quota.Report:
        """Return the next report to a coordinator.

        Must be followed by ``Lease.record_sent`` if it was sent.
        """
        lease = self.leases[coordinator]
        if lease.number > 0 and now >= lease.valid_until_s:
            self.renew_session(lease, now)
        active = self.active(now)
        self.return_idle(lease, coordinator, active, now)
        lease.changed = {
            account
            for account in lease.changed
            if account in self.limits
            and (
                account in lease.tallies
                or quota.choose_coordinator(account, active) == coordinator
            )
        }
        demands = tuple(
            self.demand(lease, account, now)
            for account in sorted(lease.changed)[: quota.MAX_DEMANDS]
        )
        return quota.Report(
            lease.session,
            lease.number + 1,
            lease.seen,
            self.fleet().largest,
            active,
            demands,
        )

    def renew_session(self, lease: Lease, now: float) -> None:
        """Start a session if the old one can't be confirmed any more.

        The first reports of a session get time for their replies.
        """
        oldest_s = min(lease.sent_s.values(), default=float('-inf'))
        if lease.seen > 0 or now - oldest_s >= quota.LEASE_S:
            lease.begin_session(self.next_session())

    def return_idle(
        self, lease: Lease, coordinator: int, active, now: float
    ) -> None:
        """Return tokens of accounts that have been idle or moved."""
        for account, tally in lease.tallies.items():
            usage = self.usages.get(account)
            is_needed = (
                usage is not None
                and usage.wanted(now) > 0
                and quota.choose_coordinator(account, active) == coordinator
            )
            if tally.held() > 0 and not is_needed:
                tally.returned += tally.held()
                lease.changed.add(account)

    def demand(self, lease: Lease, account: str, now: float) -> quota.Demand:
        """Return what a report says about an account."""
        tally = lease.tallies.get(account) or quota.Tally()
        usage = self.usages.setdefault(account, Usage())
        return quota.Demand(
            account,
            max(0, tally.used),
            tally.returned,
            min(usage.wanted(now), quota.MAX_TOKENS),
            min(usage.waiting, quota.MAX_TOKENS),
            min(usage.denied, quota.MAX_TOKENS),
        )

    def record_sent(
        self, coordinator: int, report: quota.Report, now: float
    ) -> None:
        """Record that a report was sent."""
        lease = self.leases[coordinator]
        accounts = [demand.account for demand in report.demands]
        lease.record_sent(accounts, now)
        lease.changed.difference_update(accounts)
        for account in accounts:
            self.usages[account].denied = 0

    def receive(
        self, coordinator: int, reply: quota.Reply, now: float
    ) -> frozenset[str]:
        """Record a reply; return the accounts that it decides."""
        lease = self.leases.get(coordinator)
        if lease is None or reply.session != lease.session:
            return frozenset()
        if not reply.is_known:
            lease.begin_session(self.next_session())
            return frozenset()
        asked = lease.receive(reply, now)
        if asked is None:
            return frozenset()
        known = set()
        for grant in reply.grants:
            known.add(grant.account)
            self.record_wait(grant, now)
        for account in asked - known:
            usage = self.usages.get(account)
            if usage is not None:
                usage.unknown_until_s = now + UNKNOWN_PAUSE_S
        return asked

    def record_wait(self, grant: quota.Grant, now: float) -> None:
        """Pause requests for tokens that a coordinator does not have."""
        usage = self.usages.get(grant.account)
        if usage is None:
            return
        # In this order, a value that is no number counts as 0.
        wait_s = max(0.0, grant.wait_s)
        usage.admit_from_s = now + wait_s
        if wait_s > 0:
            pause_s = min(max(wait_s, MIN_PAUSE_S), MAX_PAUSE_S)
            usage.paused_until_s = now + pause_s
        else:
            usage.paused_until_s = float('-inf')
