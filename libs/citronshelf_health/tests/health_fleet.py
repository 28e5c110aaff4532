"""Simulated fleet with a health board, and checks shared by the tests."""

import itertools

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import board as boards
from citronshelf_health import policy as policies

Standing = fleet.Standing
ZONES = ('a', 'b', 'c', 'd')
STEP_S = 0.25
# Detection targets of docs/decisions/detection.md.
TARGET_HALF_FAILING_S = 2.0
TARGET_TEN_TIMES_SLOWER_S = 5.0
TARGET_CUT_OFF_S = 3.0


def make_pool(floor_percent):
    return model.Pool(
        slots_per_server=2,
        connections_per_server=330,
        floor_percent=floor_percent,
        minimum_servers=0,
    )


def make_class(**fields):
    return model.RequestClass(expected_ms=40, deadline_ms=5000, **fields)


class Fleet:
    """A board of zone a that receives evenly spaced outcomes.

    Every zone sends `rate` requests per second to each server that may
    receive work according to the board. `faults` maps the number of a server
    to `{field: share}`, or by zone to `{'a': {field: share}}`.
    """

    def __init__(
        self, servers=8, floor_percent=70, rate=4, region=None, **kwargs
    ):
        self.now = 50.0
        self.board = boards.HealthBoard(
            own_zone='a',
            clock=lambda: self.now,
            policy=policies.HealthPolicy(),
        )
        self.rate = rate
        self.faults = {}
        self.classes = ('c',)
        self.remainders = {}
        self.changes = []
        self.region = region or (lambda number: 'r')
        self.set_pool(floor_percent, **kwargs)
        self.list_servers(range(servers))
        self.run(10.0)

    def set_pool(self, floor_percent, **kwargs):
        self.board.set_pools({'pool': make_pool(floor_percent)}, **kwargs)

    def list_servers(self, numbers, leaving=()):
        self.numbers = list(numbers)
        self.board.set_servers(
            [self.server(number) for number in self.numbers],
            {f's{number}' for number in leaving},
        )

    def server(self, number):
        return fleet.BackendServer(
            f's{number}',
            'pool',
            fleet.Address('127.0.0.1', 9000 + number),
            fleet.Location(self.region(number), ZONES[number % 4]),
        )

    def run(self, seconds, until=None):
        """Run until a condition holds; return the elapsed time, in s."""
        started = self.now
        while self.now < started + seconds - 1e-9:
            self.now += STEP_S
            for zone in ZONES:
                self.board.record(zone, f'entry-{zone}', self.counts(zone))
            self.changes += self.board.step(self.now)
            if until is not None and until():
                break
        return self.now - started

    def counts(self, zone):
        views = self.views()
        for number, name in itertools.product(self.numbers, self.classes):
            view = views[number]
            if view.weight == 0.0 and view.standing != Standing.AVOIDED:
                continue
            fault = self.faults.get(number, {})
            fault = fault.get(zone, {} if 'a' in fault else fault)
            sent = self.count_with_carry(
                self.rate * STEP_S, number, name, zone
            )
            bad = {
                field: self.count_with_carry(
                    sent * share, number, name, zone, field
                )
                for field, share in fault.items()
            }
            good = sent - sum(bad.values())
            yield fleet.OutcomeCounts(f's{number}', name, good=good, **bad)

    def count_with_carry(self, amount, *key):
        """Return a whole count; carry the fraction over to the next step."""
        # The zones start with different remainders, which spreads the
        # outcomes evenly over the steps.
        offset = ZONES.index(key[2]) / len(ZONES)
        total = self.remainders.get(key, offset) + amount
        self.remainders[key] = total - int(total + 1e-9)
        return int(total + 1e-9)

    def views(self):
        return {
            int(view.server.server_id[1:]): view
            for view in self.board.standings()
        }

    def standing(self, number):
        return self.views()[number].standing

    def reaches(self, number, standing):
        return lambda: self.standing(number) == standing

    def without_load(self):
        return {n for n, v in self.views().items() if v.weight == 0.0}

    def inject_fault(
        self, number, fault, standing=Standing.EJECTED, limit=60.0
    ):
        """Make a server faulty; return the time to the standing, in s."""
        self.faults[number] = fault
        elapsed_s = self.run(limit, self.reaches(number, standing))
        assert self.standing(number) == standing
        return elapsed_s

    def hold_times_s(self, number):
        return [
            change.details['hold_s']
            for change in self.changes
            if change.server_id == f's{number}'
            and change.after in (Standing.EJECTED, Standing.AVOIDED)
        ]


def check_half_failing():
    elapsed_s = Fleet().inject_fault(3, {'errored': 0.5})
    assert elapsed_s <= TARGET_HALF_FAILING_S


def check_everyone_failing():
    fleet_ = Fleet()
    fleet_.faults = {number: {'errored': 0.6} for number in range(8)}
    fleet_.run(60.0)
    assert not any(c.after == Standing.EJECTED for c in fleet_.changes)


def check_everyone_slow():
    fleet_ = Fleet()
    fleet_.faults = {number: {'slow': 0.9} for number in range(8)}
    fleet_.run(60.0)
    assert not any(c.after == Standing.EJECTED for c in fleet_.changes)


def check_unreachable_from_own_zone():
    fleet_ = Fleet()
    fault = {'a': {'unreachable': 1.0}}
    assert fleet_.inject_fault(2, fault, Standing.AVOIDED) <= TARGET_CUT_OFF_S
    fleet_.run(3.0)
    assert fleet_.standing(2) == Standing.AVOIDED


def check_flapping():
    fleet_ = Fleet()
    for _ in range(5):
        fleet_.inject_fault(1, {'errored': 1.0})
        fleet_.faults.clear()
        fleet_.run(400.0, fleet_.reaches(1, Standing.ADMITTED))
    hold_times_s = fleet_.hold_times_s(1)
    assert all(later > 1.5 * earlier for earlier, later in pairs(hold_times_s))


def check_agreement():
    """Two boards eject the same servers, whatever fails first."""
    first, second = Fleet(), Fleet()
    for fleet_, numbers in ((first, (1, 4, 6)), (second, (6, 4, 1))):
        for number in numbers:
            fleet_.faults[number] = {'errored': 1.0}
            fleet_.run(1.5)
        fleet_.run(1.0)
    assert len(first.without_load()) == 2
    assert first.without_load() == second.without_load()


def check_worse_replaces():
    fleet_ = Fleet(servers=4)
    fleet_.inject_fault(0, {'errored': 0.2})
    fleet_.faults[0] = {}
    fleet_.inject_fault(1, {'errored': 1.0}, limit=3.0)
    assert fleet_.standing(0) == Standing.ADMITTED


def check_slow_return():
    fleet_ = Fleet()
    fleet_.changes.clear()
    fleet_.inject_fault(5, {'errored': 1.0})
    fleet_.faults.clear()
    fleet_.run(30.0, fleet_.reaches(5, Standing.PROBATION))
    fleet_.run(30.0, fleet_.reaches(5, Standing.ADMITTED))
    weights = [c.weight for c in fleet_.changes if c.server_id == 's5']
    assert weights[0] == 0.0
    assert weights[1] <= 0.1
    assert weights == sorted(weights)
    assert len(weights) >= 5


def pairs(values):
    return zip(values, values[1:], strict=False)
