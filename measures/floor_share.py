"""Share of the sound servers in use while many requests fail (simulated)."""

import argparse
import itertools
import logging

import gray_placement

# The users' rule: while more than a tenth but under half of a service's
# requests fail, at least this share of its sound servers gets requests in any
# two seconds; a server counts as sound two seconds after it failed.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
# Requests each second; seventeen servers of two slots carry three times that.
RATES = (30.0, 60.0)
SECONDS = 40.0


class FloorSampler:
    """Looks at every window of a simulated region."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        self.failing_until = dict.fromkeys(range(len(region.servers)), 0.0)
        self.previous_counts = (0, 0)
        self.shares = []
        self.track_failing()
        self.sample_window()

    def track_failing(self) -> None:
        """Remember until when each server failed."""
        simulation = self.region.simulation
        simulation.schedule(0.05, self.track_failing)
        for number, server in enumerate(self.region.servers):
            if server.is_failing:
                self.failing_until[number] = simulation.now

    def sample_window(self) -> None:
        """Take the share of sound servers in use in a bad window."""
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
        # The first windows have no server that has been sound for long.
        if began_s > 4 * WINDOW_S and 0.1 < failed_share < 0.5 and healthy:
            used = [
                s
                for s in healthy
                if s.received_s and s.received_s[-1] > began_s
            ]
            self.shares.append(len(used) / len(healthy))


class RecurringFailures:
    """Half of the servers begin to fail together, again and again."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        region.simulation.schedule(12.0, self.fail_half)

    def fail_half(self) -> None:
        """Begin one trouble; each server recovers at its own time."""
        self.region.simulation.schedule(10.0, self.fail_half)
        for server in self.region.servers[::2]:
            server.is_failing = True


def play(seed: int, rate: float) -> FloorSampler:
    """Play one run of requests that must run once."""
    region = gray_placement.Region(seed=seed, rate=rate, idempotent=False)
    for server in region.servers:
        server.start_failure_cycle()
    sampler = FloorSampler(region)
    RecurringFailures(region)
    region.simulation.run(SECONDS)
    return sampler


def main() -> None:
    """Print the runs that break the rule."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--first', type=int, default=0, help='first seed')
    parser.add_argument('--seeds', type=int, default=20)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    seeds = range(options.first, options.first + options.seeds)
    runs = [
        (seed, rate, play(seed, rate))
        for rate, seed in itertools.product(RATES, seeds)
    ]
    for rate in RATES:
        results = [(s, w) for s, r, w in runs if r == rate]
        broken = [
            (seed, round(min(sampler.shares), 2))
            for seed, sampler in results
            if sampler.shares and min(sampler.shares) < FLOOR_SHARE
        ]
        requests = sum(sampler.region.requests for _, sampler in results)
        failed = sum(sampler.region.failed for _, sampler in results)
        print(
            f'{rate:5.0f}/s  broken {len(broken)} of {len(results)}'
            f'  failed {failed / requests:.4f}  {broken}'
        )


if __name__ == '__main__':
    main()
