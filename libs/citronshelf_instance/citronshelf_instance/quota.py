"""Quotas of client accounts over all instances: limits and messages.

``docs/design/quotas.md`` describes the design. Each account has a coordinator
(``quota_coordinator``), which lends tokens to the instances that get requests
of the account (``quota_ledger``).
"""

import functools
import hashlib
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
# Parts of the allowed excess by which a bucket is larger than the burst, so
# that instances can hold tokens in advance. The rest is left to requests that
# run some time after they were admitted, and to shares that differ.
FLOAT_OF_OVER = 0.4
FLOAT_OF_SLACK = 0.7
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
