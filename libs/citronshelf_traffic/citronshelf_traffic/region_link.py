"""Limits the bytes that requests and responses send between regions."""

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

BITS_PER_BYTE = 8
# Burst, as a time at the full rate.
BURST_S = 1.0
# Assumed size of the headers of a request or a response.
HEADER_BYTES = 1024
# The estimated response size of a class follows its largest response and
# decays by half in about 70 responses.
SIZE_DECAY = 0.99
MAX_CLASSES = 4096


class LinkReservation(NamedTuple):
    """Bytes reserved for a request to another region and its response."""

    request_class: str
    outbound_bytes: int
    inbound_bytes: int


class RegionLink:
    """This instance's share of the link between regions.

    Each direction has a token bucket. Requests and responses of both regions
    use both directions, so each direction is divided among all live entry
    instances.

    Parameters
    ----------
    megabits : float
        Capacity of the link in Mbit/s in each direction, from the settings.
    cross_region : model.CrossRegion
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        megabits: float,
        cross_region: model.CrossRegion,
        clock=time.monotonic,
    ):
        self.megabits = megabits
        self.clock = clock
        self.entry_instances = 1
        self.response_bytes = collections.OrderedDict()
        self.cross_region = cross_region
        rate, depth = self.rate_and_depth()
        now = clock()
        self.outbound, self.inbound = (
            token_bucket.TokenBucket(rate=rate, depth=depth, now=now)
            for _ in range(2)
        )

    def set_cross_region(self, cross_region: model.CrossRegion) -> None:
        """Set the cross-region settings of the document."""
        self.cross_region = cross_region
        self.resize()

    def set_entry_instances(self, count: int) -> None:
        """Set the number of live instances that share the link.

        A count of 0 is ignored.
        """
        if count != self.entry_instances and count > 0:
            self.entry_instances = count
            self.resize()

    def rate_and_depth(self) -> tuple[float, float]:
        """Return this instance's bytes per second and burst in bytes."""
        link_bytes = self.megabits * 1e6 / BITS_PER_BYTE
        share = link_bytes * self.cross_region.link_percent / 100
        rate = share / self.entry_instances
        # With a smaller depth, the largest permitted body could never be
        # sent.
        depth = max(
            rate * BURST_S, self.cross_region.max_body_bytes + HEADER_BYTES
        )
        return rate, depth

    def resize(self) -> None:
        """Apply changed rates and depths to both buckets."""
        rate, depth = self.rate_and_depth()
        now = self.clock()
        self.outbound.resize(rate=rate, depth=depth, now=now)
        self.inbound.resize(rate=rate, depth=depth, now=now)

    def expected_response_bytes(self, work) -> int:
        """Return the bytes to reserve for the response body."""
        estimate_bytes = self.response_bytes.get(work.request_class)
        if estimate_bytes is None:
            # Reserves the largest permitted body, so that a class of unknown
            # size can be sent once and its response measured.
            return min(
                work.max_response_bytes, self.cross_region.max_body_bytes
            )
        return int(estimate_bytes)

    def reserve(self, work) -> Result:
        """Reserve the bytes of one request and its response.

        Returns
        -------
        Result
            ``Ok`` with a ``LinkReservation`` or ``Error`` with a reason:
            'policy', 'body' or 'budget'.
        """
        response_bytes = self.expected_response_bytes(work)
        reason = self.denial_reason(work, response_bytes)
        if reason is None:
            reservation = LinkReservation(
                work.request_class,
                work.body_bytes + HEADER_BYTES,
                response_bytes + HEADER_BYTES,
            )
            now = self.clock()
            if self.try_spend(reservation, now):
                return Ok(reservation)
            reason = 'budget'
        events.log_event(
            LOG,
            events.CROSSING_DENIED,
            request_id=work.request_id,
            request_class=work.request_class,
            reason=reason,
            body_bytes=work.body_bytes,
            answer_bytes=response_bytes,
        )
        return Error(reason)

    def denial_reason(self, work, response_bytes: int) -> str | None:
        """Return why a request may not be sent, regardless of the budget."""
        if self.cross_region.policy == 'never':
            return 'policy'
        if (
            max(work.body_bytes, response_bytes)
            > self.cross_region.max_body_bytes
        ):
            return 'body'
        return None

    def try_spend(self, reservation: LinkReservation, now: float) -> bool:
        """Spend the bytes in both directions, or none and return False."""
        if self.inbound.refill(now) < reservation.inbound_bytes:
            return False
        if not self.outbound.try_spend(reservation.outbound_bytes, now):
            return False
        return self.inbound.try_spend(reservation.inbound_bytes, now)

    def settle(
        self, reservation: LinkReservation, response_bytes: int
    ) -> None:
        """Correct the reservation to the actual size of the response.

        Parameters
        ----------
        reservation : LinkReservation
        response_bytes : int
            Size of the response body; 0 without a response.
        """
        now = self.clock()
        actual = response_bytes + HEADER_BYTES
        self.inbound.charge(actual - reservation.inbound_bytes, now)

    def record_response_size(
        self, request_class: str, response_bytes: int
    ) -> None:
        """Record the size of a response body from any region."""
        estimate_bytes = self.response_bytes.get(request_class, 0.0)
        size = max(float(response_bytes), estimate_bytes * SIZE_DECAY)
        self.response_bytes[request_class] = size
        if len(self.response_bytes) > MAX_CLASSES:
            self.response_bytes.popitem(last=False)
