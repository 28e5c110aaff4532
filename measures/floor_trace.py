"""Traces the windows in which too few healthy servers get requests.

Runs the simulation of ``floor_share`` and prints, for each window below the
required share, which healthy servers got no request and what the instances
believed of them.
"""

import argparse
import bisect
import logging
from typing import NamedTuple
from unittest import mock

import floor_share
import gray_placement

from citronshelf_instance import coverage
from citronshelf_instance import registrations


class Scenario(NamedTuple):
    """Size of the simulated region and its mean rate of requests."""

    instances: int
    servers: int
    slots: int
    work_s: float
    rate: float


# The last two have many instances for their servers, at 0.62 of the usual rate
# of a user's services.
SCENARIOS = {
    '17': Scenario(18, 17, 2, 0.14, 30.0),
    '18': Scenario(52, 18, 3, 0.274, 29.4),
    '8': Scenario(52, 8, 3, 0.17, 22.8),
}


class Belief(NamedTuple):
    """What an instance believed of a server when it chose one."""

    now: float
    failure_probability: float
    last_used_s: float


class Recorder:
    """Records beliefs and tests at each choice of a server.

    Attributes
    ----------
    beliefs : dict
        By number of the server.
    tests : list of tuple
        Time and number of the server of each test.
    """

    def __init__(self):
        self.beliefs: dict[int, list[Belief]] = {}
        self.tests: list[tuple[float, int]] = []
        self.choose_server_to_test = coverage.choose_server_to_test

    def choose(self, servers, recent, now, rng):
        """Record the beliefs, choose as before and record the test."""
        for server in servers:
            self.beliefs.setdefault(number_of(server), []).append(
                Belief(
                    now,
                    server.estimate.failure_probability,
                    server.last_used_s,
                )
            )
        chosen = self.choose_server_to_test(servers, recent, now, rng)
        if chosen is not None:
            self.tests.append((now, number_of(chosen)))
        return chosen

    def beliefs_between(self, number, began_s, ended_s) -> list[Belief]:
        """Return the beliefs of a server in a window."""
        return [
            belief
            for belief in self.beliefs.get(number, ())
            if began_s <= belief.now < ended_s
        ]


class Window(NamedTuple):
    """One window below the required share."""

    began_s: float
    share: float
    healthy: dict[int, float]
    requests: int


class TracingSampler(floor_share.FloorSampler):
    """Keeps the windows below the required share.

    Attributes
    ----------
    windows : list of Window
        With the times at which their healthy servers last failed.
    """

    def __init__(self, region: gray_placement.Region):
        self.windows: list[Window] = []
        super().__init__(region)

    def sample_window(self) -> None:
        """Sample as before; keep the window if its share is too small."""
        count, requests = len(self.shares), self.previous_counts[0]
        super().sample_window()
        if len(self.shares) == count:
            return
        share = self.shares[-1]
        if share >= floor_share.REQUIRED_IN_USE_SHARE:
            return
        began_s = self.region.simulation.now - floor_share.WINDOW_S
        healthy = {
            number: failed_s
            for number, failed_s in self.failing_until.items()
            if failed_s <= began_s - floor_share.WINDOW_S
        }
        self.windows.append(
            Window(began_s, share, healthy, self.region.requests - requests)
        )


def number_of(server: registrations.RegisteredServer) -> int:
    """Return the number of a server in the simulation."""
    return server.registration.address.port


def simulate(scenario: Scenario, seed: int):
    """Simulate one run; return its sampler and what was recorded."""
    recorder = Recorder()
    with (
        mock.patch.multiple(
            gray_placement,
            INSTANCES=scenario.instances,
            SERVERS=scenario.servers,
            SLOTS=scenario.slots,
            WORK_S=scenario.work_s,
        ),
        mock.patch.object(floor_share, 'FloorSampler', TracingSampler),
        mock.patch.object(coverage, 'choose_server_to_test', recorder.choose),
    ):
        sampler = floor_share.simulate(seed, scenario.rate)
    return sampler, recorder


def last_request_s(region, number: int, before_s: float) -> float:
    """Return the time of the last request that reached a server."""
    received_s = region.servers[number].received_s
    count = bisect.bisect_left(received_s, before_s)
    return received_s[count - 1] if count else float('-inf')


def print_window(window: Window, region, recorder: Recorder) -> None:
    """Print one window, its tests and its unused servers.

    A test counts as repeated if another request reached the server in the
    second before it.
    """
    began_s = window.began_s
    ended_s = began_s + floor_share.WINDOW_S
    tests = [test for test in recorder.tests if began_s <= test[0] < ended_s]
    repeated = sum(
        now - last_request_s(region, number, now) < 1.0
        for now, number in tests
    )
    print(
        f'  window {began_s:.0f} s  share {window.share:.2f}'
        f'  healthy {len(window.healthy)}  requests {window.requests}'
        f'  tests {len(tests)}  repeated {repeated}'
    )
    for number, failed_s in window.healthy.items():
        used_s = last_request_s(region, number, ended_s)
        if used_s <= began_s:
            beliefs = recorder.beliefs_between(number, began_s, ended_s)
            print_server(number, began_s - used_s, began_s - failed_s, beliefs)
            print_beliefs(beliefs, began_s, used_s)


def print_server(number, silent_s, healthy_s, beliefs) -> None:
    """Print an unused server and its failure probabilities."""
    probabilities = [belief.failure_probability for belief in beliefs]
    print(
        f'    server {number}: last request {silent_s:.2f} s before,'
        f' healthy for {healthy_s:.1f} s, failing'
        f' {min(probabilities):.2f} to {max(probabilities):.2f}'
    )


def print_beliefs(beliefs, began_s: float, used_s: float) -> None:
    """Print when an unused server was thought silent, and how wrongly."""
    silent_from_s = [
        belief.now - began_s
        for belief in beliefs
        if belief.now - belief.last_used_s > coverage.IN_USE_WINDOW_S
    ]
    error_s = max(belief.last_used_s - used_s for belief in beliefs)
    first = f'{silent_from_s[0]:.2f} s on' if silent_from_s else 'never'
    print(
        f'      thought silent: {first}, in {len(silent_from_s)} of'
        f' {len(beliefs)} choices; last request thought up to'
        f' {error_s:.2f} s later than it was'
    )


def main() -> None:
    """Print the windows below the required share of some runs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--servers', choices=SCENARIOS, default='17')
    parser.add_argument('--first', type=int, default=0, help='first seed')
    parser.add_argument('--seeds', type=int, default=20)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    violations = 0
    for seed in range(options.first, options.first + options.seeds):
        sampler, recorder = simulate(SCENARIOS[options.servers], seed)
        if sampler.windows:
            violations += 1
            print(f'seed {seed}')
        for window in sampler.windows:
            print_window(window, sampler.region, recorder)
    print(f'violations in {violations} of {options.seeds} runs')


if __name__ == '__main__':
    main()
