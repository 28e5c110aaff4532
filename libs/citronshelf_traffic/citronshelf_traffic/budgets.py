"""Retries and hedges as shares of fresh requests."""

import logging

from citronshelf_traffic import events
from citronshelf_traffic import latency
from citronshelf_traffic import work as work_module

LOG = logging.getLogger(__name__)

# A quiet hour must not save up a burst of retries for the next overload.
MAX_BALANCE = 10.0
# With 2 slots per server at 80% load, 8 choices find a free slot for 96% of
# the requests; the rest waits again at the entry.
MAX_CHOICES = 8
# Two servers of a failed rack may refuse one after the other; more refusals
# than that are an outage, in which choices must not multiply.
FREE_REFUSED_CHOICES = 2


class ShareBudget:
    """Lets through at most a share of fresh requests.

    Parameters
    ----------
    percent : float
        Share of the document, 0 to 100.
    """

    def __init__(self, *, percent: float):
        self.share = percent / 100
        self.balance = 0.0

    def record_fresh(self) -> None:
        """Count one request that is neither retry nor hedge."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    def can_spend(self) -> bool:
        """Tell whether one more is within the share."""
        # Adding ten times 0.1 gives a little less than 1.
        return self.balance >= 1 - 1e-9

    def try_spend(self) -> bool:
        """Spend one if it is within the share."""
        if not self.can_spend():
            return False
        self.balance = max(0.0, self.balance - 1)
        return True

    def set_percent(self, percent: float) -> None:
        """Change the share; what is saved stays."""
        self.share = percent / 100


class RetryBudget(ShareBudget):
    """Retries of one service, only of work that did not run."""

    def allow(self, work, ending: work_module.Ending) -> bool:
        """Spend one retry for a request.

        Parameters
        ----------
        work : Work
        ending : Ending
            How its last dispatch ended.
        """
        if ending not in work_module.NOT_RUN:
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
    """Hedges of one service, only for idempotent stragglers.

    Parameters
    ----------
    percent : float
    """

    def __init__(self, *, percent: float):
        super().__init__(percent=percent)
        self.latencies = latency.ClassLatencies()

    def record_answer(self, work, seconds: float) -> None:
        """Note how long a dispatch of a class took."""
        self.latencies.record(work.request_class, seconds)

    def delay_s(self, work) -> float | None:
        """Return after how long a hedge may start, None for never."""
        if not work.idempotent or work.long or self.share <= 0:
            return None
        return self.latencies.p95(work.request_class)

    def allow(self, work, running_s: float, *, is_busy: bool) -> bool:
        """Spend one hedge for a request that is still running.

        Parameters
        ----------
        work : Work
        running_s : float
            Time since its dispatch.
        is_busy : bool
            Whether fresh work waits for the same service: a second copy
            would then take the place of fresh work.
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
    """Tell whether a request may be sent to another server.

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
        Of the service; spent by what is not free. Shed and draining answers
        are free: they cost a round trip and no slot. The first refused
        connections are free, because the refusing server is then left out.
    """
    if ending not in work_module.NOT_RUN:
        return False
    if len(tried) + 1 >= MAX_CHOICES or now >= work.deadline_at:
        return False
    if ending in (work_module.Ending.SHED, work_module.Ending.DRAINING):
        return True
    is_refused = ending == work_module.Ending.REFUSED
    if is_refused and len(tried) < FREE_REFUSED_CHOICES:
        return True
    return retries.allow(work, ending)
