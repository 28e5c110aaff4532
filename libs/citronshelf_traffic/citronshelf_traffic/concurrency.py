"""Concurrency limit that adapts to shed answers and reported queues."""

from citronshelf_common import fleet

from citronshelf_traffic import work as work_module

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
DECREASE_FACTOR = 0.9
# Reported queue, in slots, from which a server counts as overloaded.
OVERLOAD_QUEUE_PER_SLOT = 1.0


class AdaptiveLimit:
    """Requests of one service that may run at the same time.

    Grows by one for each limit's worth of answers from servers without a
    long queue while the limit is in use. Shrinks by a tenth, at most once per
    service time so that one burst of signs counts once. A shed answer of a
    server that keeps no queue is no such sign: with two slots such servers
    shed half of all dispatches at 80% load while other slots are idle.
    """

    def __init__(self):
        self.value = INITIAL_LIMIT
        self.decreased_at = float('-inf')

    def max_running(self) -> int:
        """Return how many requests may run."""
        return int(self.value)

    def observe(
        self,
        ending: work_module.Ending,
        load: fleet.LoadReport | None,
        *,
        is_at_limit: bool,
    ) -> bool:
        """Learn from one dispatch; tell whether servers are overloaded.

        Parameters
        ----------
        ending : Ending
        load : fleet.LoadReport, optional
        is_at_limit : bool
            Whether all places were taken.
        """
        if (
            load is not None
            and load.queue > OVERLOAD_QUEUE_PER_SLOT * load.slots
        ):
            return True
        if ending == work_module.Ending.ANSWERED and is_at_limit:
            self.value = min(MAX_LIMIT, self.value + 1 / self.value)
        return False

    def decrease(self, now: float, service_s: float) -> None:
        """Shrink, at most once per service time."""
        if now - self.decreased_at >= service_s:
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
            self.decreased_at = now
