"""Quotas of client accounts over all instances: the decisions.

Answers one account that sends far more than its quota, through any number of
instances, while instances are cut off, frozen, killed or started. Uses no
network; callers pass the time. ``docs/design/quotas.md`` describes the design.

Each account has a coordinator. Its ``SharedBucket`` is a token bucket whose
tokens are partly lent to instances. Lent tokens count against the capacity
until they are spent or void, so no window of any length can see more requests
than its inflow and one capacity. An instance without contact to a coordinator
admits an equal share, which the coordinators then no longer grant.
"""

import collections
from collections.abc import Iterable
import functools
import hashlib
import math
import random
from typing import Annotated
from typing import NamedTuple

import msgspec

# Tokens are void this long after the report whose reply last confirmed them.
# An instance without a reply for this long admits its equal share, and a
# coordinator grants no more on behalf of an instance that confirmed no reply
# for this long.
LEASE_S = 2.0
# Equal shares are computed for at least this many instances, since an
# instance that was started without contact knows no others.
MIN_FLEET = 24
# A token of an equal share is lost after this time. A longer life would add
# to the requests that a window can see: half a second adds a tenth to 5 s.
SHARE_LIFE_S = 0.5
# Parts of the allowed excess by which a bucket is larger than the burst, so
# that instances can hold tokens in advance. The rest is left to requests that
# run some time after they were admitted, and to shares that differ.
FLOAT_OF_OVER = 0.4
FLOAT_OF_SLACK = 0.7
# At most this part of a bucket is lent in advance; the rest is for instances
# where a request waits.
LENDABLE_SHARE = 0.8
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
# Interval at which a coordinator counts the instances in contact. Contact
# ends earlier by this time, so that no instance is counted while it admits
# its equal share.
SURVEY_INTERVAL_S = 0.1
# Interval at which a coordinator refills all buckets, so that a token is ready
# for an account that nobody has asked for.
REFILL_INTERVAL_S = 1.0

MAX_COUNT = 2**53
MAX_TOKENS = 100_000
MAX_DEMANDS = 512
MAX_ACTIVE = 64
Name = Annotated[str, msgspec.Meta(max_length=200)]
Total = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
NameKey = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class QuotaSettings(NamedTuple):
    """Bound on the requests of an account in each window.

    Attributes
    ----------
    window_s : float
    over : float
        Part of the quota of a window that may run in addition.
    slack : float
        Requests that may run in addition.
    """

    window_s: float
    over: float
    slack: float


class Limit(NamedTuple):
    """Quota of one account.

    Attributes
    ----------
    rate_per_s : float
        Above 0.
    burst : float
    """

    rate_per_s: float
    burst: float

    def capacity(self, settings: QuotaSettings) -> float:
        """Return the capacity of the bucket, lent tokens included."""
        window = self.rate_per_s * settings.window_s + self.burst
        extra = FLOAT_OF_OVER * settings.over * window
        return max(1.0, self.burst) + extra + FLOAT_OF_SLACK * settings.slack

    def allowed(self, settings: QuotaSettings) -> float:
        """Return how many requests may run in any window."""
        window = self.rate_per_s * settings.window_s + self.burst
        return window * (1 + settings.over) + settings.slack


class Demand(NamedTuple):
    """What an instance reports about one account.

    Totals count from the start of the session, so that a lost report or reply
    changes nothing.

    Attributes
    ----------
    account : str
    used : int
        Tokens spent in total, less those that requests gave back.
    returned : int
        Unused tokens returned in total.
    wanted : int
        Tokens to hold in advance.
    waiting : int
        Requests that wait for a token.
    denied : int
        Requests refused since the last report.
    """

    account: Name
    used: Total
    returned: Total
    wanted: Tokens
    waiting: Tokens
    denied: Tokens


class Grant(NamedTuple):
    """What a coordinator replies about one account.

    Attributes
    ----------
    account : str
    granted : int
        Tokens granted in total, from the start of the session.
    wait_s : float
        Time until a request without a token would get one; 0 if tokens are
        left.
    """

    account: Name
    granted: Total
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=3600)]


class Report(NamedTuple):
    """Report of one instance to one coordinator.

    Attributes
    ----------
    session : int
        Increases whenever the instance drops the tokens of the coordinator.
    number : int
        Counts the reports of a session from 1.
    seen : int
        Number of the newest report to which a reply arrived; 0 for none.
    fleet : int
        Largest number of instances that the sender has known.
    active : tuple of int
        ``name_key`` of each coordinator that replies to the sender, sorted.
    demands : tuple of Demand
    """

    session: int
    number: int
    seen: int
    fleet: int
    active: tuple[int, ...]
    demands: tuple[Demand, ...]


class Reply(NamedTuple):
    """Reply of a coordinator to a report.

    Attributes
    ----------
    session, number : int
        Of the report.
    is_known : bool
        False if the coordinator does not know the session. The instance then
        drops its tokens and starts another one.
    grants : tuple of Grant
        Accounts that the coordinator does not know are missing.
    """

    session: int
    number: int
    is_known: bool
    grants: tuple[Grant, ...]


@functools.lru_cache(maxsize=8192)
def choose_coordinator(account: str, active: tuple[int, ...]) -> int | None:
    """Return the key of an account's coordinator by rendezvous hashing."""
    return max(active, key=lambda key: rank(f'{account} {key}'), default=None)


def rank(text: str) -> bytes:
    """Return the value by which rendezvous hashing ranks."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=4096)
def name_key(instance: str) -> int:
    """Return the key by which messages refer to the name of an instance."""
    digest = hashlib.blake2b(instance.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big')


class SharedBucket:
    """Token bucket of an account, whose tokens are partly lent.

    Starts empty, since another coordinator may have granted all tokens just
    before.

    Parameters
    ----------
    now : float
        Seconds.

    Attributes
    ----------
    level : float
        Tokens that are not lent.
    lent : int
        Tokens that instances hold and may spend.
    refused : float
        Refused requests that were told to return, less the tokens that have
        become available since.
    """

    def __init__(self, now: float):
        self.level = 0.0
        self.lent = 0
        self.refused = 0.0
        self.updated_s = now
        self.fraction = 0.0

    def refill(
        self, limit: Limit, capacity: float, fraction: float, now: float
    ) -> None:
        """Add the tokens of the time since the last call.

        Parameters
        ----------
        limit : Limit
        capacity : float
        fraction : float
            Part of the quota that this coordinator grants. It changed at an
            unknown time, so the lower of the last two values counts.
        now : float
        """
        inflow = limit.rate_per_s * min(fraction, self.fraction)
        added = inflow * max(0.0, now - self.updated_s)
        self.updated_s = now
        self.fraction = fraction
        self.level = min(
            self.level + added, max(0.0, capacity * fraction - self.lent)
        )
        self.refused = max(0.0, self.refused - added)

    def lend(self, tokens: int) -> int:
        """Lend up to a number of tokens; return how many."""
        lent = max(0, min(tokens, math.floor(self.level)))
        self.level -= lent
        self.lent += lent
        return lent

    def wait_s(self, limit: Limit, unserved: int, max_wait_s: float) -> float:
        """Return the time until one more request would get a token.

        Requests that were refused before and return come first.
        """
        if self.level >= 1.0 and unserved == 0:
            return 0.0
        inflow = limit.rate_per_s * self.fraction
        if inflow <= 0:
            return max_wait_s
        missing = 1.0 - self.level + self.refused + max(0, unserved - 1)
        return min(max_wait_s, max(0.0, missing / inflow))


class Tally:
    """Tokens of one account that one instance got from a coordinator.

    Attributes
    ----------
    granted, used, returned : int
        Totals of the session.
    """

    def __init__(self):
        self.granted = 0
        self.used = 0
        self.returned = 0

    def held(self) -> int:
        """Return the tokens that can be spent."""
        return self.granted - self.used - self.returned


class Holder:
    """An instance in the eyes of a coordinator.

    Attributes
    ----------
    number : int
        Of its newest report.
    contact_s : float
        Time of the newest reply that it confirmed.
    replied_s : dict of int to float
        Times of replies by number of the report.
    """

    def __init__(self, *, session: int, now: float):
        self.session = session
        self.number = 0
        self.contact_s = float('-inf')
        self.last_reply_s = now
        self.replied_s: dict[int, float] = {}
        self.active: tuple[int, ...] = ()
        self.fleet = 0
        self.tallies: dict[str, Tally] = {}

    def confirm(self, seen: int) -> None:
        """Record that the reply to a report has arrived."""
        replied_s = self.replied_s.get(seen)
        if replied_s is not None:
            self.contact_s = replied_s
            self.replied_s = {
                number: time_s
                for number, time_s in self.replied_s.items()
                if number >= seen
            }


class Coordinator:
    """Grants the tokens of the accounts that instances ask it for.

    Parameters
    ----------
    key : int
        ``name_key`` of this instance.
    settings : QuotaSettings
    limits : dict of str to Limit
        Limited accounts of the configuration in force.
    fleet : callable
        Returns a ``Fleet``.
    """

    def __init__(self, *, key: int, settings: QuotaSettings, limits, fleet):
        self.key = key
        self.settings = settings
        self.limits: dict[str, Limit] = limits
        self.fleet = fleet
        self.holders: dict[int, Holder] = {}
        self.buckets: dict[str, SharedBucket] = {}
        self.views: collections.Counter[tuple[int, ...]] = (
            collections.Counter()
        )
        self.divisor = MIN_FLEET
        self.surveyed_s = float('-inf')
        self.refilled_s = float('-inf')

    def set_limits(self, limits: dict[str, Limit]) -> None:
        """Use the limits of another configuration."""
        self.limits = limits
        for account in self.buckets.keys() - limits.keys():
            self.forget_account(account)

    def forget_account(self, account: str) -> None:
        """Drop the bucket of an account without a limit."""
        del self.buckets[account]
        for holder in self.holders.values():
            holder.tallies.pop(account, None)

    def receive(self, key: int, report: Report, now: float) -> Reply | None:
        """Return the reply to a report; None for an outdated report."""
        if now - self.surveyed_s >= SURVEY_INTERVAL_S:
            self.survey(now)
        holder = self.holders.get(key)
        if holder is not None and is_void(holder, now):
            self.drop(key)
            holder = None
        if holder is None or report.session > holder.session:
            if report.number != 1:
                return Reply(report.session, report.number, False, ())
            if holder is not None:
                self.drop(key)
            holder = self.holders[key] = Holder(
                session=report.session, now=now
            )
        if report.session < holder.session or report.number <= holder.number:
            return None
        holder.number = report.number
        holder.confirm(report.seen)
        holder.active = report.active
        holder.fleet = report.fleet
        grants = [
            grant
            for demand in report.demands
            if (grant := self.answer(holder, demand, now)) is not None
        ]
        holder.last_reply_s = holder.replied_s[report.number] = now
        return Reply(report.session, report.number, True, tuple(grants))

    def answer(
        self, holder: Holder, demand: Demand, now: float
    ) -> Grant | None:
        """Settle an account of a holder and lend it tokens.

        Returns None if the account has no limit in this configuration.
        """
        limit = self.limits.get(demand.account)
        if limit is None:
            return None
        bucket = self.refilled(demand.account, limit, now)
        tally = holder.tallies.setdefault(demand.account, Tally())
        self.settle(bucket, tally, demand)
        if choose_coordinator(demand.account, holder.active) == self.key:
            tally.granted += self.lend(bucket, limit, tally.held(), demand)
        bucket.refused = min(
            bucket.refused + demand.denied,
            limit.rate_per_s * self.settings.window_s,
        )
        unserved = max(0, demand.waiting - tally.held())
        wait_s = bucket.wait_s(limit, unserved, self.settings.window_s)
        return Grant(demand.account, tally.granted, wait_s)

    def refilled(self, account: str, limit: Limit, now: float) -> SharedBucket:
        """Return the bucket of an account, refilled."""
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = self.buckets[account] = SharedBucket(now)
        bucket.refill(
            limit, limit.capacity(self.settings), self.fraction(account), now
        )
        return bucket

    @staticmethod
    def settle(bucket: SharedBucket, tally: Tally, demand: Demand) -> None:
        """Record what an instance spent and returned.

        Returned tokens are available again; the next refill cuts what exceeds
        the capacity.
        """
        before = tally.held()
        used = min(demand.used, tally.granted)
        returned = min(demand.returned, tally.granted - used)
        if returned > tally.returned:
            bucket.level += returned - tally.returned
        tally.used, tally.returned = used, returned
        bucket.lent += tally.held() - before

    def lend(
        self, bucket: SharedBucket, limit: Limit, held: int, demand: Demand
    ) -> int:
        """Lend tokens for waiting requests, and some in advance."""
        lent = bucket.lend(demand.waiting - held)
        capacity = limit.capacity(self.settings) * bucket.fraction
        free = math.floor(LENDABLE_SHARE * capacity) - bucket.lent
        spare = math.floor(bucket.level - (1 - LENDABLE_SHARE) * capacity / 2)
        missing = demand.waiting + demand.wanted - held - lent
        return lent + bucket.lend(min(missing, free, spare))

    def fraction(self, account: str) -> float:
        """Return the part of an account's quota that is granted here.

        Each instance counts for the one coordinator that it would ask, and
        for none without contact, when it admits its own equal share.
        """
        heard = sum(
            count
            for active, count in self.views.items()
            if choose_coordinator(account, active) == self.key
        )
        return min(1.0, heard / self.divisor)

    def survey(self, now: float) -> None:
        """Drop instances without contact and count the others by view."""
        self.surveyed_s = now
        for key, holder in list(self.holders.items()):
            if is_void(holder, now):
                self.drop(key)
        in_contact = [
            holder
            for holder in self.holders.values()
            if now - holder.contact_s < LEASE_S - SURVEY_INTERVAL_S
        ]
        self.views = collections.Counter(
            holder.active for holder in in_contact
        )
        self.divisor = self.fleet().divisor(
            max((holder.fleet for holder in in_contact), default=0)
        )
        if now - self.refilled_s >= REFILL_INTERVAL_S:
            self.refilled_s = now
            for account, limit in self.limits.items():
                self.refilled(account, limit, now)

    def drop(self, key: int) -> None:
        """Forget an instance; its tokens are void and count as spent."""
        holder = self.holders.pop(key)
        for account, tally in holder.tallies.items():
            bucket = self.buckets.get(account)
            if bucket is not None:
                bucket.lent -= tally.held()


def is_void(holder: Holder, now: float) -> bool:
    """Return whether all tokens of an instance are void by now."""
    return now - holder.last_reply_s >= LEASE_S


class Fleet(NamedTuple):
    """What an instance knows of the size of the fleet.

    Attributes
    ----------
    largest : int
        Largest number of instances that it has ever known, itself included.
    has_met_seeds : bool
        Whether it has known all instances by which it was told to join.
    """

    largest: int
    has_met_seeds: bool

    def divisor(self, reported: int) -> int:
        """Return the instances among which a coordinator divides a quota.

        Parameters
        ----------
        reported : int
            Largest number that any instance in contact has known.
        """
        known = max(self.largest, reported, 1)
        return known if self.has_met_seeds else max(known, MIN_FLEET)

    def is_isolated(self) -> bool:
        """Return whether most of the fleet may be unknown."""
        return self.largest < MIN_FLEET and not self.has_met_seeds

    def share_divisor(self) -> int:
        """Return the instances among which equal shares divide a quota."""
        return max(self.largest, MIN_FLEET)


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


class Token(NamedTuple):
    """Token with which a request was admitted.

    Attributes
    ----------
    account : str
    tally : Tally or None
        From which it was taken; None for a token of an equal share.
    """

    account: str
    tally: Tally | None


class Refused(NamedTuple):
    """A request exceeds the quota of its account.

    Attributes
    ----------
    wait_s : float
        Time until it would be admitted.
    """

    wait_s: float


class MustAsk(NamedTuple):
    """A token has to be requested from a coordinator first."""

    coordinator: int


Decision = Token | Refused | MustAsk


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
        self.tallies: dict[str, Tally] = {}
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
        return now - self.heard_s >= LEASE_S

    def spend(self, account: str, now: float) -> Tally | None:
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

    def receive(self, reply: Reply, now: float) -> frozenset[str] | None:
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
        self.valid_until_s = sent_s + LEASE_S
        for number in [one for one in self.sent_s if one <= reply.number]:
            del self.sent_s[number], self.asked[number]
        for grant in reply.grants:
            tally = self.tallies.setdefault(grant.account, Tally())
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
        settings: QuotaSettings,
        limits,
        fleet,
        rng: random.Random,
    ):
        self.key = key
        self.settings = settings
        self.limits: dict[str, Limit] = limits
        self.fleet = fleet
        self.rng = rng
        # Replies to a previous process must not match a session of this one.
        self.last_session = rng.getrandbits(48)
        self.leases: dict[int, Lease] = {}
        self.usages: dict[str, Usage] = {}
        self.shares: dict[str, EqualShare] = {}

    def set_limits(self, limits: dict[str, Limit]) -> None:
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

    def decide(self, account: str, now: float) -> Decision:
        """Decide a request of a limited account that has just arrived."""
        self.usages.setdefault(account, Usage()).record(now)
        return self.redecide(account, now)

    def redecide(self, account: str, now: float) -> Decision:
        """Decide a request, possibly after a reply."""
        usage = self.usages.setdefault(account, Usage())
        active = self.active(now)
        coordinator = choose_coordinator(account, active)
        is_alone = active == (self.key,) and self.fleet().is_isolated()
        if coordinator is None or is_alone or now < usage.unknown_until_s:
            return self.decide_by_share(account, now)
        self.shares.pop(account, None)
        lease = self.leases[coordinator]
        tally = lease.spend(account, now)
        if tally is not None:
            return Token(account, tally)
        if now < usage.paused_until_s:
            return self.refuse(account, coordinator, now)
        return MustAsk(coordinator)

    def refuse(self, account: str, coordinator: int, now: float) -> Refused:
        """Refuse a request and let the coordinator know of the demand."""
        usage = self.usages[account]
        usage.denied += 1
        self.leases[coordinator].changed.add(account)
        return Refused(max(0.0, usage.admit_from_s - now))

    def decide_by_share(self, account: str, now: float) -> Token | Refused:
        """Decide a request without contact to a coordinator."""
        share = self.shares.get(account)
        if share is None:
            share = self.shares[account] = EqualShare(rng=self.rng, now=now)
        rate = self.limits[account].rate_per_s / self.fleet().share_divisor()
        share.refill(rate, now)
        if share.try_spend():
            return Token(account, None)
        return Refused(share.wait_s(rate))

    def give_back(self, token: Token) -> None:
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

    def make_report(self, coordinator: int, now: float) -> Report:
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
                or choose_coordinator(account, active) == coordinator
            )
        }
        demands = tuple(
            self.demand(lease, account, now)
            for account in sorted(lease.changed)[:MAX_DEMANDS]
        )
        return Report(
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
        if lease.seen > 0 or now - oldest_s >= LEASE_S:
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
                and choose_coordinator(account, active) == coordinator
            )
            if tally.held() > 0 and not is_needed:
                tally.returned += tally.held()
                lease.changed.add(account)

    def demand(self, lease: Lease, account: str, now: float) -> Demand:
        """Return what a report says about an account."""
        tally = lease.tallies.get(account) or Tally()
        usage = self.usages.setdefault(account, Usage())
        return Demand(
            account,
            max(0, tally.used),
            tally.returned,
            min(usage.wanted(now), MAX_TOKENS),
            min(usage.waiting, MAX_TOKENS),
            min(usage.denied, MAX_TOKENS),
        )

    def record_sent(
        self, coordinator: int, report: Report, now: float
    ) -> None:
        """Record that a report was sent."""
        lease = self.leases[coordinator]
        accounts = [demand.account for demand in report.demands]
        lease.record_sent(accounts, now)
        lease.changed.difference_update(accounts)
        for account in accounts:
            self.usages[account].denied = 0

    def receive(
        self, coordinator: int, reply: Reply, now: float
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

    def record_wait(self, grant: Grant, now: float) -> None:
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
