"""Coordinators of the quotas of client accounts.

Answers one account that sends far more than its quota, through any number of
instances. A ``SharedBucket`` is a token bucket whose tokens are partly lent to
instances. Lent tokens count against the capacity until they are spent or void,
so no window of any length can see more requests than its inflow and one
capacity. Uses no network; callers pass the time.
"""

import collections
import math

from citronshelf_instance import quota

# At most this part of a bucket is lent in advance; the rest is for instances
# where a request waits.
LENDABLE_SHARE = 0.8
# Interval at which a coordinator counts the instances in contact. Contact
# ends earlier by this time, so that no instance is counted while it admits
# its equal share.
SURVEY_INTERVAL_S = 0.1
# Interval at which a coordinator refills all buckets, so that a token is ready
# for an account that nobody has asked for.
REFILL_INTERVAL_S = 1.0


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
        self, limit: quota.Limit, capacity: float, fraction: float, now: float
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

    def wait_s(
        self, limit: quota.Limit, unserved: int, max_wait_s: float
    ) -> float:
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
        self.tallies: dict[str, quota.Tally] = {}

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

    def __init__(
        self, *, key: int, settings: quota.QuotaSettings, limits, fleet
    ):
        self.key = key
        self.settings = settings
        self.limits: dict[str, quota.Limit] = limits
        self.fleet = fleet
        self.holders: dict[int, Holder] = {}
        self.buckets: dict[str, SharedBucket] = {}
        self.views: collections.Counter[tuple[int, ...]] = (
            collections.Counter()
        )
        self.divisor = quota.MIN_FLEET
        self.surveyed_s = float('-inf')
        self.refilled_s = float('-inf')

    def set_limits(self, limits: dict[str, quota.Limit]) -> None:
        """Use the limits of another configuration."""
        self.limits = limits
        for account in self.buckets.keys() - limits.keys():
            self.forget_account(account)

    def forget_account(self, account: str) -> None:
        """Drop the bucket of an account without a limit."""
        del self.buckets[account]
        for holder in self.holders.values():
            holder.tallies.pop(account, None)

    def receive(
        self, key: int, report: quota.Report, now: float
    ) -> quota.Reply | None:
        """Return the reply to a report; None for an outdated report."""
        if now - self.surveyed_s >= SURVEY_INTERVAL_S:
            self.survey(now)
        holder = self.holders.get(key)
        if holder is not None and is_void(holder, now):
            self.drop(key)
            holder = None
        if holder is None or report.session > holder.session:
            if report.number != 1:
                return quota.Reply(report.session, report.number, False, ())
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
        return quota.Reply(report.session, report.number, True, tuple(grants))

    def answer(
        self, holder: Holder, demand: quota.Demand, now: float
    ) -> quota.Grant | None:
        """Settle an account of a holder and lend it tokens.

        Returns None if the account has no limit in this configuration.
        """
        limit = self.limits.get(demand.account)
        if limit is None:
            return None
        bucket = self.refilled(demand.account, limit, now)
        tally = holder.tallies.setdefault(demand.account, quota.Tally())
        self.settle(bucket, tally, demand)
        if quota.choose_coordinator(demand.account, holder.active) == self.key:
            tally.granted += self.lend(bucket, limit, tally.held(), demand)
        bucket.refused = min(
            bucket.refused + demand.denied,
            limit.rate_per_s * self.settings.window_s,
        )
        unserved = max(0, demand.waiting - tally.held())
        wait_s = bucket.wait_s(limit, unserved, self.settings.window_s)
        return quota.Grant(demand.account, tally.granted, wait_s)

    def refilled(
        self, account: str, limit: quota.Limit, now: float
    ) -> SharedBucket:
        """Return the bucket of an account, refilled."""
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = self.buckets[account] = SharedBucket(now)
        bucket.refill(
            limit, limit.capacity(self.settings), self.fraction(account), now
        )
        return bucket

    @staticmethod
    def settle(
        bucket: SharedBucket, tally: quota.Tally, demand: quota.Demand
    ) -> None:
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
        self,
        bucket: SharedBucket,
        limit: quota.Limit,
        held: int,
        demand: quota.Demand,
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
            if quota.choose_coordinator(account, active) == self.key
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
            if now - holder.contact_s < quota.LEASE_S - SURVEY_INTERVAL_S
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
    return now - holder.last_reply_s >= quota.LEASE_S
