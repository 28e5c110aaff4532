"""Concurrency limit that adapts to the load of the servers."""

from citronshelf_common import fleet

from citronshelf_traffic import work as work_module

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1024.0
DECREASE_FACTOR = 0.9
# A server counts as overloaded if its queue per slot is longer than this.
OVERLOAD_QUEUE_PER_SLOT = 1.0


class AdaptiveLimit:
    """Limit of concurrent requests of one service.

    Additive increase, multiplicative decrease: while the limit is reached, it
    grows by one per ``limit`` responses from servers without a long queue. It
    shrinks by a tenth, at most once per service time so that one burst of
    overload signals counts once. A shed response from a server without a
    queue is not an overload signal: with two slots, such servers shed half of
    all dispatches at 80% load while other slots are idle.
    """

    def __init__(self):
        self.value = INITIAL_LIMIT
        self.decreased_at = float('-inf')

    def max_running(self) -> int:
        """Return the number of requests that may run concurrently."""
        return int(self.value)

    def record_ending(
        self,
        ending: work_module.Ending,
        load: fleet.LoadReport | None,
        *,
        is_at_limit: bool,
    ) -> bool:
        """Process one dispatch; return whether its server is overloaded.

        Increases the limit, but leaves the decrease to the caller.

        Parameters
        ----------
        ending : Ending
        load : fleet.LoadReport, optional
        is_at_limit : bool
            Whether as many requests were running as the limit permits.
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
        """Decrease the limit, at most once per service time."""
        if now - self.decreased_at >= service_s:
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
            self.decreased_at = now
