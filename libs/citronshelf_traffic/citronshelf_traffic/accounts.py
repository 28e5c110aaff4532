"""Limits the request rate of client accounts."""

import collections
import logging
import time
from typing import NamedTuple

from citronshelf_document import model
from expression import Error
from expression import Ok
from expression import Result

from citronshelf_traffic import events
from citronshelf_traffic import token_bucket

LOG = logging.getLogger(__name__)

# About 200 bytes each, 4 MB in total.
MAX_BUCKETS = 20_000
FULL_LOG_INTERVAL_S = 10.0


class AccountRefusal(NamedTuple):
    """An account's request was refused; nothing was sent.

    Attributes
    ----------
    reason : str
        Always 'account-limit'.
    retry_after_s : float
        Time until the bucket holds one token, in s.
    """

    reason: str
    retry_after_s: float


class AccountLimiter:
    """Token bucket for each account, up to a maximum number of buckets.

    A full bucket is equivalent to no bucket, so only full buckets are
    evicted. While none can be evicted, further accounts share one bucket:
    evicting a bucket that is not full would give its account a new burst.

    Parameters
    ----------
    accounts : model.Accounts
    clock : callable
        Returns monotonic time in seconds.
    max_buckets : int
    """

    def __init__(
        self,
        *,
        accounts: model.Accounts,
        clock=time.monotonic,
        max_buckets: int = MAX_BUCKETS,
    ):
        self.clock = clock
        self.max_buckets = max_buckets
        self.entry_instances = 1
        self.buckets = collections.OrderedDict()
        self.full_logged_at = float('-inf')
        self.set_accounts(accounts)

    def set_accounts(self, accounts: model.Accounts) -> None:
        """Set the rates of the document."""
        self.accounts = accounts
        self.resize()

    def set_entry_instances(self, count: int) -> None:
        """Set the number of live instances that share each rate.

        A count of 0 is ignored.
        """
        if count != self.entry_instances and count > 0:
            self.entry_instances = count
            self.resize()

    def resize(self) -> None:
        """Apply changed rates to all buckets; the shared one starts full."""
        now = self.clock()
        for account, bucket in self.buckets.items():
            rate, depth = self.rate_and_depth(account)
            bucket.resize(rate=rate, depth=depth, now=now)
        rate, depth = self.rate_and_depth('')
        self.shared_bucket = token_bucket.TokenBucket(
            rate=rate, depth=depth, now=now
        )

    def rate_and_depth(self, account: str) -> tuple[float, float]:
        """Return this instance's share of the rate and burst of an account.

        Returns
        -------
        rate : float
            Requests per second.
        depth : float
            Burst in requests.
        """
        limit = self.accounts.limit_of(account)
        rate = limit.requests_per_second
        # A depth below one token would refuse every request.
        depth = max(1.0, limit.burst / self.entry_instances)
        return rate / self.entry_instances, depth

    def admit(self, account: str) -> Result:
        """Admit or refuse one request of an account.

        Returns
        -------
        Result
            ``Ok`` with None, or ``Error`` with an ``AccountRefusal``.
        """
        now = self.clock()
        bucket = self.get_bucket(account, now)
        if bucket.try_spend(1, now):
            return Ok(None)
        wait_s = bucket.wait_s(1, now)
        events.log_event(
            LOG,
            events.ACCOUNT_LIMITED,
            account=account,
            rate=round(bucket.rate, 3),
            wait_s=round(wait_s, 3),
        )
        return Error(AccountRefusal('account-limit', wait_s))

    def get_bucket(self, account: str, now: float):
        """Return the bucket of an account; create it if needed.

        Returns the shared bucket if no further bucket can be created.
        """
        bucket = self.buckets.get(account)
        if bucket is not None:
            self.buckets.move_to_end(account)
            return bucket
        if len(self.buckets) >= self.max_buckets and not self.evict(now):
            self.log_full(now)
            return self.shared_bucket
        rate, depth = self.rate_and_depth(account)
        bucket = token_bucket.TokenBucket(rate=rate, depth=depth, now=now)
        self.buckets[account] = bucket
        return bucket

    def evict(self, now: float) -> bool:
        """Evict a full bucket; return whether there was one.

        Only the two least recently used buckets are checked.
        """
        oldest = next(iter(self.buckets))
        if not self.buckets[oldest].is_full(now):
            # Others may be full already if this account refills slowly.
            self.buckets.move_to_end(oldest)
            oldest = next(iter(self.buckets))
            if not self.buckets[oldest].is_full(now):
                return False
        del self.buckets[oldest]
        return True

    def log_full(self, now: float) -> None:
        """Log the use of the shared bucket, at a limited rate."""
        if now - self.full_logged_at < FULL_LOG_INTERVAL_S:
            return
        self.full_logged_at = now
        events.log_event(LOG, events.ACCOUNTS_FULL, buckets=len(self.buckets))
