"""Clock that counts while the machine is suspended."""

import time


def now_s() -> float:
    """Return seconds since boot, including time in suspension.

    The monotonic clock stops while a virtual machine is suspended, so a
    stale view would appear fresh after it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
