"""Limits retries and hedges to a share of the new requests."""

import logging

from citronshelf_traffic import events
from citronshelf_traffic import latency
from citronshelf_traffic import work as work_module

LOG = logging.getLogger(__name__)

# Limits the extra requests that accumulate while few are needed, and so the
# burst of retries at the start of an overload.
MAX_BALANCE = 10.0
# With 2 slots per server at 80% load, 8 choices find a free slot for 96% of
# the requests; the others return to the admission queue.
MAX_CHOICES = 8
# Refused connections that need no retry budget. Two servers of a failed rack
# may refuse in succession; more refusals indicate an outage, during which
# further choices would multiply the load.
FREE_REFUSED_CHOICES = 2


class ShareBudget:
    """Permits extra requests up to a share of the new requests.

    New requests are those that are neither retries nor hedges.

    Parameters
    ----------
    percent : float
        Share from the document, 0 to 100.
    """

    def __init__(self, *, percent: float):
        self.share = percent / 100
        self.balance = 0.0

    def record_new_request(self) -> None:
        """Count one request that is neither a retry nor a hedge."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    def can_spend(self) -> bool:
        """Return whether one more extra request is within the share."""
        # Adding 0.1 ten times gives slightly less than 1.
        return self.balance >= 1 - 1e-9

    def try_spend(self) -> bool:
        """Spend one extra request; return whether it is within the share."""
        if not self.can_spend():
            return False
        self.balance = max(0.0, self.balance - 1)
        return True

    def set_percent(self, percent: float) -> None:
        """Change the share and keep the balance."""
        self.share = percent / 100


class RetryBudget(ShareBudget):
    """Retry budget of one service, for requests that were not executed."""

    def try_spend_retry(self, work, ending: work_module.Ending) -> bool:
        """Spend one retry for a request; return whether it is allowed.

        Parameters
        ----------
        work : Work
        ending : Ending
            How its last dispatch ended.
        """
        if ending not in work_module.NOT_RUN_ENDINGS:
            reason = 'may-have-run'
        elif not self.try_spend():
            reason = 'budget'
        else:
            return True
        events.log_event(
            LOG,
            events.RETRY_DENIED,
            request_id=work.request_id,
            service=work.service,
            ending=str(ending),
            reason=reason,
        )
        return False


class HedgeBudget(ShareBudget):
    """Hedge budget of one service, for idempotent stragglers.

    Parameters
    ----------
    percent : float
        Share from the document, 0 to 100; 0 disables hedging.
    """

    def __init__(self, *, percent: float):
        super().__init__(percent=percent)
        self.latencies = latency.ClassLatencies()

    def record_latency(self, work, seconds: float) -> None:
        """Record the latency of one dispatch, in s."""
        self.latencies.record(work.request_class, seconds)

    def delay_s(self, work) -> float | None:
        """Return the time after a dispatch when a hedge may start, in s.

        Returns None for requests that may not be hedged and while the latency
        of the class is not known.
        """
        if not work.idempotent or work.long or self.share <= 0:
            return None
        return self.latencies.p95(work.request_class)

    def try_spend_hedge(
        self, work, running_s: float, *, is_busy: bool
    ) -> bool:
        """Spend one hedge for a running request; return whether it may start.

        Parameters
        ----------
        work : Work
        running_s : float
            Time since its dispatch, in s.
        is_busy : bool
            Whether requests wait for admission to the same service; a hedge
            would then displace them.
        """
        delay = self.delay_s(work)
        if delay is None or running_s < delay:
            reason = 'no-straggler'
        elif is_busy:
            reason = 'fresh-work-waits'
        elif not self.try_spend():
            reason = 'budget'
        else:
            reason = None
        event = events.HEDGE_STARTED if reason is None else events.HEDGE_DENIED
        events.log_event(
            LOG,
            event,
            request_id=work.request_id,
            service=work.service,
            running_ms=round(running_s * 1000, 1),
            reason=reason or 'straggler',
        )
        return reason is None


def may_choose_again(
    ending: work_module.Ending, work, tried, now: float, retries: RetryBudget
) -> bool:
    """Return whether a request may be sent to another server.

    Spends one retry from the budget if this ending needs it.

    Parameters
    ----------
    ending : Ending
        How the last dispatch ended.
    work : Work
    tried : frozenset of str
        Servers tried before that dispatch.
    now : float
        Clock reading in s.
    retries : RetryBudget
        Budget of the service. Shed and draining responses need no budget,
        because they cost a round trip but no slot. Neither do the first
        refused connections, because the server is then backed off.
    """
    if ending not in work_module.NOT_RUN_ENDINGS:
        return False
    if len(tried) + 1 >= MAX_CHOICES or now >= work.deadline_at:
        return False
    if ending in (work_module.Ending.SHED, work_module.Ending.DRAINING):
        return True
    is_refused = ending == work_module.Ending.REFUSED
    if is_refused and len(tried) < FREE_REFUSED_CHOICES:
        return True
    return retries.try_spend_retry(work, ending)
