"""Pauses of the garbage collector."""

import gc
import time

from citronshelf_entry import metrics as metrics_board

# A pause grows with the garbage that it finds: with 20,000 objects it took
# 12 ms on a busy machine. Small collections come often and cost little; old
# objects are few, because what is alive at the start is left out.
GENERATION_0_OBJECTS = 1000
GENERATION_1_COLLECTIONS = 20
GENERATION_2_COLLECTIONS = 100


class GcMonitor:
    """Measures each collection and makes them rare.

    Parameters
    ----------
    metrics : MetricsBoard
    """

    def __init__(self, *, metrics: metrics_board.MetricsBoard):
        self.started_s = 0.0
        self.longest_s = 0.0
        self.total_s = 0.0
        metrics.add_gauge(
            'collector_longest_seconds',
            'Longest pause of the garbage collector',
            lambda: self.longest_s,
        )
        metrics.add_gauge(
            'collector_seconds',
            'All pauses of the garbage collector',
            lambda: self.total_s,
        )

    def start(self) -> None:
        """Set the thresholds and leave out what is alive already."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(
            GENERATION_0_OBJECTS,
            GENERATION_1_COLLECTIONS,
            GENERATION_2_COLLECTIONS,
        )
        gc.callbacks.append(self.on_collection)

    def stop(self) -> None:
        """Stop measuring."""
        gc.callbacks.remove(self.on_collection)

    def on_collection(self, phase: str, _details: dict) -> None:
        """Take the begin or the end of a collection."""
        now_s = time.perf_counter()
        if phase == 'start':
            self.started_s = now_s
            return
        pause_s = now_s - self.started_s
        self.total_s += pause_s
        self.longest_s = max(self.longest_s, pause_s)
