"""Measures how soon a server with a gray failure is avoided.

One simulated server of ``gray_placement`` fails partially or becomes slow.
Also measures how often healthy servers are suspected, both for instances that
share their observations (pooled) and for instances that do not (local).
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
# The server counts as avoided from the first time after which it receives at
# most this share of an even share of the requests during this window.
WINDOW_S = 1.0
AVOIDED_SHARE = 0.1
SAMPLE_S = 0.1


class GrayFault(NamedTuple):
    """A partial failure of a server.

    Attributes
    ----------
    name : str
        Label in the output.
    error_share : float
        Share of its requests that fail immediately.
    work_factor : float
        Service time relative to a healthy server.
    """

    name: str
    error_share: float
    work_factor: float


HEALTHY = GrayFault('healthy', 0.0, 1.0)
FAULTS = (
    GrayFault('errors 0.9', 0.9, 1.0),
    GrayFault('errors 0.45', 0.45, 1.0),
    GrayFault('slow x5', 0.0, 5.0),
    HEALTHY,
)


class SuspicionSampler:
    """Counts how often instances suspect healthy servers."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        self.samples = self.suspected = 0
        self.sample()

    def sample(self) -> None:
        """Check each instance's estimate for each healthy server."""
        region = self.region
        region.simulation.schedule(SAMPLE_S, self.sample)
        for instance in region.instances:
            for state in instance.directory.servers.values():
                server = region.servers[state.registration.address.port]
                if server.is_failing or server.work_factor > 1.0:
                    continue
                self.samples += 1
                probability = state.estimate.failure_probability
                self.suspected += (
                    probability >= registrations.SUSPECTED_PROBABILITY
                )


def inject_fault(server: gray_placement.Server, fault: GrayFault) -> None:
    """Apply a fault to a server from now on."""
    server.is_failing = True
    server.error_share = fault.error_share
    server.work_factor = fault.work_factor


def time_to_avoidance_s(server: gray_placement.Server) -> float:
    """Return the seconds from the fault until the server was avoided.

    At most ``GRAY_DURATION_S``, which is also the result if the server was
    never avoided.
    """
    fair_count = RATE / gray_placement.SERVERS * WINDOW_S
    times = [at for at in server.received_s if at >= GRAY_START_S]
    for at in [GRAY_START_S, *times]:
        later = [t for t in times if at < t <= at + WINDOW_S]
        if len(later) <= AVOIDED_SHARE * fair_count:
            return min(at - GRAY_START_S, GRAY_DURATION_S)
    return GRAY_DURATION_S


def measure(fault: GrayFault, *, pooled: bool, seeds: int) -> str:
    """Run the simulation for each seed and return one row of output."""
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
        f' (max {max(avoidance_s):5.2f})'
    )
    if fault is HEALTHY:
        # Without a fault, gaps between its requests are random.
        avoided = 'for comparison'.ljust(len(avoided))
    return (
        f'{fault.name:12} {"pooled" if pooled else "local":7} {avoided}'
        f'  requests received {statistics.mean(received):5.1f}'
        f'  healthy suspected {statistics.mean(shares):.4f}'
    )


def main() -> None:
    """Print a row for each fault, with and without pooling."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=10)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for fault, pooled in itertools.product(FAULTS, (True, False)):
        print(measure(fault, pooled=pooled, seeds=options.seeds), flush=True)


if __name__ == '__main__':
    main()
