"""How soon a gray server is avoided, and how often a sound one is suspected.

One of the simulated servers of ``gray_placement`` becomes gray; the figures
are for instances that pool what they see and for those that do not.
"""

import argparse
import itertools
import logging
import statistics
from typing import NamedTuple

import gray_placement

from citronshelf_instance import registrations

GRAY_START_S = 20.0
GRAY_DURATION_S = 10.0
RATE = 60.0
# The server is avoided from the first moment after which it gets less than a
# tenth of an even share for this long.
WINDOW_S = 1.0
AVOIDED_SHARE = 0.1
SAMPLE_S = 0.1


class GrayFault(NamedTuple):
    """How a server is gray.

    Attributes
    ----------
    name : str
    error_share : float
        Share of its requests that fail at once.
    work_factor : float
        How much longer it works than a sound one.
    """

    name: str
    error_share: float
    work_factor: float


HEALTHY = GrayFault('sound', 0.0, 1.0)
FAULTS = (
    GrayFault('errors 0.9', 0.9, 1.0),
    GrayFault('errors 0.45', 0.45, 1.0),
    GrayFault('slow x5', 0.0, 5.0),
    HEALTHY,
)


class SuspicionSampler:
    """Notes how often a sound server is suspected by an instance."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        self.samples = self.suspected = 0
        self.sample()

    def sample(self) -> None:
        """Look at every belief about every sound server."""
        region = self.region
        region.simulation.schedule(SAMPLE_S, self.sample)
        for instance in region.instances:
            for state in instance.directory.servers.values():
                server = region.servers[state.registration.address.port]
                if server.is_failing or server.work_factor > 1.0:
                    continue
                self.samples += 1
                probability = state.evidence.failure_probability
                self.suspected += (
                    probability >= registrations.SUSPECTED_PROBABILITY
                )


def inject_fault(server: gray_placement.Server, fault: GrayFault) -> None:
    """Begin to fail in one way."""
    server.is_failing = True
    server.error_share = fault.error_share
    server.work_factor = fault.work_factor


def time_to_avoidance_s(server: gray_placement.Server) -> float:
    """Return when a gray server was avoided, at most ``GRAY_FOR_S``."""
    fair_count = RATE / gray_placement.SERVERS * WINDOW_S
    times = [at for at in server.received_s if at >= GRAY_START_S]
    for at in [GRAY_START_S, *times]:
        later = [t for t in times if at < t <= at + WINDOW_S]
        if len(later) <= AVOIDED_SHARE * fair_count:
            return min(at - GRAY_START_S, GRAY_DURATION_S)
    return GRAY_DURATION_S


def measure(fault: GrayFault, *, pooled: bool, seeds: int) -> str:
    """Return one row of figures."""
    avoidance_s, received, shares = [], [], []
    for seed in range(seeds):
        region = gray_placement.Region(
            seed=seed, rate=RATE, idempotent=True, pooled=pooled
        )
        sampler = SuspicionSampler(region)
        server = region.servers[0]
        region.simulation.schedule(GRAY_START_S, inject_fault, server, fault)
        region.simulation.run(GRAY_START_S + GRAY_DURATION_S)
        avoidance_s.append(time_to_avoidance_s(server))
        received.append(sum(t >= GRAY_START_S for t in server.received_s))
        shares.append(sampler.suspected / sampler.samples)
    avoided = (
        f'avoided after {statistics.median(avoidance_s):5.2f} s'
        f' (most {max(avoidance_s):5.2f})'
    )
    if fault is HEALTHY:
        # What its gaps would be called is chance.
        avoided = 'for comparison'.ljust(len(avoided))
    return (
        f'{fault.name:12} {"pooled" if pooled else "local":7} {avoided}'
        f'  requests there {statistics.mean(received):5.1f}'
        f'  sound suspected {statistics.mean(shares):.4f}'
    )


def main() -> None:
    """Print a row for each kind."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=10)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for fault, pooled in itertools.product(FAULTS, (True, False)):
        print(measure(fault, pooled=pooled, seeds=options.seeds), flush=True)


if __name__ == '__main__':
    main()
