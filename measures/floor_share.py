"""Measures the share of healthy servers in use while requests fail.

Uses the simulation of ``gray_placement``.
"""

import argparse
import itertools
import logging

import gray_placement

# Required by the users: while more than a tenth but less than half of the
# requests of a service fail, at least this share of its healthy servers
# receives requests in any two seconds. A server counts as healthy two seconds
# after its failure ended.
REQUIRED_IN_USE_SHARE = 0.7
WINDOW_S = 2.0
# Requests per second. Seventeen servers with two slots each can serve three
# times the higher rate.
RATES = (30.0, 60.0)
SECONDS = 40.0


class FloorSampler:
    """Samples the share of healthy servers in use in each window.

    Attributes
    ----------
    shares : list of float
        One entry for each window to which ``REQUIRED_IN_USE_SHARE`` applies.
    """

    def __init__(self, region: gray_placement.Region):
        self.region = region
        self.failing_until = dict.fromkeys(range(len(region.servers)), 0.0)
        self.previous_counts = (0, 0)
        self.shares = []
        self.track_failing()
        self.sample_window()

    def track_failing(self) -> None:
        """Record when each server was last failing."""
        simulation = self.region.simulation
        simulation.schedule(0.05, self.track_failing)
        for number, server in enumerate(self.region.servers):
            if server.is_failing:
                self.failing_until[number] = simulation.now

    def sample_window(self) -> None:
        """Record the share of healthy servers in use in the last window.

        Skips windows to which ``REQUIRED_IN_USE_SHARE`` does not apply.
        """
        region, simulation = self.region, self.region.simulation
        simulation.schedule(WINDOW_S, self.sample_window)
        requests, failed = region.requests, region.failed
        failed_share = (failed - self.previous_counts[1]) / max(
            1, requests - self.previous_counts[0]
        )
        self.previous_counts = (requests, failed)
        began_s = simulation.now - WINDOW_S
        healthy = [
            server
            for number, server in enumerate(region.servers)
            if self.failing_until[number] <= began_s - WINDOW_S
        ]
        # In the first windows no server has been healthy for long enough.
        if began_s > 4 * WINDOW_S and 0.1 < failed_share < 0.5 and healthy:
            used = [
                s
                for s in healthy
                if s.received_s and s.received_s[-1] > began_s
            ]
            self.shares.append(len(used) / len(healthy))


class RecurringFailures:
    """Makes half of the servers fail at the same time, every 10 s."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        region.simulation.schedule(12.0, self.fail_half)

    def fail_half(self) -> None:
        """Make every other server fail; each recovers at a random time."""
        self.region.simulation.schedule(10.0, self.fail_half)
        for server in self.region.servers[::2]:
            server.is_failing = True


def simulate(seed: int, rate: float) -> FloorSampler:
    """Simulate one run with non-idempotent requests."""
    region = gray_placement.Region(seed=seed, rate=rate, idempotent=False)
    for server in region.servers:
        server.start_failure_cycle()
    sampler = FloorSampler(region)
    RecurringFailures(region)
    region.simulation.run(SECONDS)
    return sampler


def main() -> None:
    """Print, for each rate, the runs below ``REQUIRED_IN_USE_SHARE``."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--first', type=int, default=0, help='first seed')
    parser.add_argument('--seeds', type=int, default=20)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    seeds = range(options.first, options.first + options.seeds)
    runs = [
        (seed, rate, simulate(seed, rate))
        for rate, seed in itertools.product(RATES, seeds)
    ]
    for rate in RATES:
        results = [(s, w) for s, r, w in runs if r == rate]
        violations = [
            (seed, round(min(sampler.shares), 2))
            for seed, sampler in results
            if sampler.shares and min(sampler.shares) < REQUIRED_IN_USE_SHARE
        ]
        requests = sum(sampler.region.requests for _, sampler in results)
        failed = sum(sampler.region.failed for _, sampler in results)
        print(
            f'{rate:5.0f}/s  violations {len(violations)} of {len(results)}'
            f'  failed {failed / requests:.4f}  {violations}'
        )


if __name__ == '__main__':
    main()
