"""Second attempts of idempotent requests whose response is slow.

Answers this load: a few requests take far longer than most, although their
servers have room. Decides without a network; the clock and the random numbers
are injected.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random
import statistics
from typing import NamedTuple

import ddsketch

from citronshelf_instance import evidence
from citronshelf_instance import registrations
from citronshelf_instance import retry_budget
from citronshelf_instance import settings

# The limit holds in windows of this length. An instance completes a credit in
# 1 to 2 minutes at 1 request per second and a limit of 1%, and a credit lives
# for a quarter of the window: in shorter windows most would expire unused.
WINDOW_S = 60.0
# Used if the settings have neither ``quantile`` nor ``after_s``.
DEFAULT_QUANTILE = 0.95
# Relative error of quantiles. With 256 bins, the sketch covers a ratio of
# 360,000 between the shortest and the longest time, and takes about 2 KB.
SKETCH_ACCURACY = 0.025
SKETCH_BINS = 256
# Response times count for one to two of these periods.
PERIOD_S = 30.0
# With fewer response times, the 95th percentile is the largest or unreliable.
MIN_SAMPLES = 20
# Quantiles are computed again after this many new response times.
RECOMPUTE_SAMPLES = 20
# Steps of the search for the quantile of a time.
QUANTILE_STEPS = 12
# The start is chosen among this many times, from the quantile on.
START_STEPS = 40
# A start follows a time by more than the width of a bin of the sketch, so that
# it is after all times of that bin.
START_MARGIN = 1 + 2 * SKETCH_ACCURACY
# Beyond this many routes, the times of the one added first are dropped.
MAX_ROUTES = 512
# Median slowness of the servers from which their service counts as near its
# limit: queueing takes as long as the work.
NEAR_LIMIT_SLOWNESS = 2.0
# The same if half of the servers also refused requests recently. Refusals
# alone are no sign of load.
NEAR_LIMIT_SLOWNESS_WITH_SHEDS = 1.5


class Objection(enum.StrEnum):
    """Why no second attempt starts."""

    ATTEMPTS = 'attempts'
    DEADLINE = 'deadline'
    QUOTA = 'quota'
    LIMIT = 'limit'
    NEAR_LIMIT = 'near-limit'
    DOUBTFUL_SERVERS = 'doubtful-servers'
    # No server may be chosen, or the retry budget has no credit.
    NOT_STARTED = 'not-started'


class Rule(NamedTuple):
    """Settings that apply to the requests of one route at one service.

    Attributes
    ----------
    scope : str
        Table that sets the limit: empty, ``service`` or ``route``.
    limit : float
        Share of the idempotent requests that may get a second attempt.
    quantile : float
        Quantile of the response times after which one may start.
    after_s : float or None
        Time after which one may start, instead of the quantile.
    """

    scope: str
    limit: float
    quantile: float = DEFAULT_QUANTILE
    after_s: float | None = None


def find_rule(
    table: settings.HedgingTable | None, route: str, service: str
) -> Rule | None:
    """Return the rule for a route and a service; None without a table.

    The settings of the route take precedence over those of the service, and
    these over the general ones.
    """
    if table is None:
        return None
    rule = Rule('', table['limit'])._replace(**start_time(table))
    parts = {
        'service': table.get('services', {}).get(service, {}),
        'route': table.get('routes', {}).get(route, {}),
    }
    for scope, part in parts.items():
        if 'limit' in part:
            rule = rule._replace(scope=scope, limit=part['limit'])
        rule = rule._replace(**start_time(part))
    return rule


def start_time(part: Mapping) -> dict[str, float | None]:
    """Return the fields of ``Rule`` that one table sets for the start."""
    if 'after_s' in part:
        return {'after_s': part['after_s']}
    if 'quantile' in part:
        return {'quantile': part['quantile'], 'after_s': None}
    return {}


def new_sketch() -> ddsketch.LogCollapsingLowestDenseDDSketch:
    """Return an empty sketch; those of all instances can be merged."""
    return ddsketch.LogCollapsingLowestDenseDDSketch(
        relative_accuracy=SKETCH_ACCURACY, bin_limit=SKETCH_BINS
    )


class RouteTimes:
    """Recent response times of one route, in two mergeable sketches.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    current, previous : LogCollapsingLowestDenseDDSketch
        Times of the running period and of the one before it, in seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.current = new_sketch()
        self.previous = new_sketch()
        self.begun_s = clock()
        self.computed: dict[tuple[float, float], float] = {}
        self.unseen = 0

    def record(self, seconds: float) -> None:
        """Record one response time.

        A period lasts longer if it has few responses.
        """
        now = self.clock()
        is_over = now - self.begun_s >= PERIOD_S
        if is_over and self.current.count >= MIN_SAMPLES:
            self.previous, self.current = self.current, new_sketch()
            self.begun_s = now
            self.computed.clear()
        self.current.add(seconds)
        self.unseen += 1
        if self.unseen >= RECOMPUTE_SAMPLES:
            self.unseen = 0
            self.computed.clear()

    def merged(self) -> ddsketch.LogCollapsingLowestDenseDDSketch:
        """Return one sketch of both periods."""
        sketch = new_sketch()
        sketch.merge(self.previous)
        sketch.merge(self.current)
        return sketch

    def is_known(self) -> bool:
        """Return whether there are enough response times."""
        return self.previous.count + self.current.count >= MIN_SAMPLES

    def start_s(self, quantile: float, share: float) -> float | None:
        """Return when a second attempt may start; None if not known.

        Parameters
        ----------
        quantile : float
            The second attempt starts at this quantile or later.
        share : float
            Share of the requests that have a credit for one.
        """
        if not self.is_known():
            return None
        key = (quantile, share)
        if key not in self.computed:
            sketch = self.merged()
            tail_s = [
                sketch.get_quantile_value(
                    quantile + (1 - quantile) * step / START_STEPS
                )
                for step in range(START_STEPS)
            ]
            self.computed[key] = choose_start_s(
                tail_s,
                usual_s=sketch.get_quantile_value(0.5),
                share=share / (1 - quantile),
            )
        return self.computed[key]

    def draw_longer(self, seconds: float, rng: random.Random) -> float:
        """Draw a recent response time that is longer than a lower bound.

        Returns the bound if there is none.
        """
        sketch = self.merged()
        if not self.is_known() or sketch.get_quantile_value(1.0) <= seconds:
            return seconds
        shorter, longer = 0.0, 1.0
        for _ in range(QUANTILE_STEPS):
            middle = (shorter + longer) / 2
            if sketch.get_quantile_value(middle) > seconds:
                longer = middle
            else:
                shorter = middle
        return sketch.get_quantile_value(rng.uniform(longer, 1.0))


def choose_start_s(
    tail_s: list[float], *, usual_s: float, share: float
) -> float:
    """Return the start that saves most time with limited second attempts.

    A start saves the expected remaining time less the usual time, for all
    slower requests or as many as have a credit. Without any saving it is
    after the longest time.

    Parameters
    ----------
    tail_s : list of float
        Sorted response times of the slow requests, all as frequent.
    usual_s : float
        Time of a second attempt.
    share : float
        Share of the slow requests that have a credit.
    """
    best_s, best_saving = START_MARGIN * tail_s[-1], 0.0
    for time_s in tail_s:
        start_s = START_MARGIN * time_s
        slower = tail_s[bisect.bisect_right(tail_s, start_s) :]
        if not slower:
            break
        saved_s = sum(max(0.0, each - start_s - usual_s) for each in slower)
        given = min(1.0, share * len(tail_s) / len(slower))
        if given * saved_s > best_saving:
            best_s, best_saving = start_s, given * saved_s
    return best_s


def is_near_limit(
    servers: Iterable[registrations.RegisteredServer], now: float
) -> bool:
    """Return whether the servers of a service have no room for extra work.

    Without servers or observations they have room. A server that is in
    backoff refused a request recently, or could not be reached.
    """
    servers = list(servers)
    if not servers:
        return False
    for server in servers:
        server.estimate.advance(now)
    slowness = statistics.median(s.estimate.slowness for s in servers)
    held = sum(server.backoff_until_s > now for server in servers)
    if 2 * held >= len(servers):
        return slowness >= NEAR_LIMIT_SLOWNESS_WITH_SHEDS
    return slowness >= NEAR_LIMIT_SLOWNESS


def is_less_doubtful(
    second: registrations.RegisteredServer,
    first: registrations.RegisteredServer,
    now: float,
) -> bool:
    """Return whether a server is a better place for a second attempt.

    It must be at most as likely to fail as a healthy one, or less likely than
    the first; the same holds for its slowness. It must not be in backoff.
    """
    for server in (second, first):
        server.estimate.advance(now)
    failing = second.estimate.failure_probability
    slowness = second.estimate.slowness
    return (
        second.backoff_until_s <= now
        and (
            failing <= evidence.MIN_FAILURE_PROBABILITY
            or failing < first.estimate.failure_probability
        )
        and (
            slowness < NEAR_LIMIT_SLOWNESS
            or slowness < first.estimate.slowness
        )
    )


class Hedger:
    """Decides about second attempts of this instance.

    The share of second attempts is bounded like that of retries: each request
    that may be repeated earns a part of a credit, each second attempt costs
    one that was earned recently, and no two are paid for by the same request.
    So the bound holds for the sum over all instances, whichever of them know
    each other. Each service has credits of its own, and so have the routes
    whose settings have a limit.

    Parameters
    ----------
    table : HedgingTable or None
    clock : callable
        Monotonic seconds.
    rng : random.Random
    is_near_limit : callable
        Called with the servers of a service and the time; returns whether
        they have no room for extra work.
    is_over_quota : callable
        Called with the account of a caller or None.
    """

    def __init__(
        self,
        *,
        table: settings.HedgingTable | None,
        clock,
        rng: random.Random,
        is_near_limit=is_near_limit,
        is_over_quota=lambda account: False,
    ):
        self.table = table
        self.clock = clock
        self.rng = rng
        self.is_near_limit = is_near_limit
        self.is_over_quota = is_over_quota
        self.credits: dict[tuple[str, ...], retry_budget.RetryBudget] = {}
        self.times: collections.OrderedDict[str, RouteTimes] = (
            collections.OrderedDict()
        )

    def find_rule(self, route, service: str) -> Rule | None:
        """Return the rule for requests of a route at a service.

        None without the settings, and for a route that is not idempotent.
        """
        if not route.idempotent:
            return None
        return find_rule(self.table, route.name, service)

    def credits_of(
        self, rule: Rule, route: str, service: str
    ) -> retry_budget.RetryBudget:
        """Return the credits that pay for requests under a rule."""
        key = (rule.scope, service)
        if rule.scope == 'route':
            key = (rule.scope, service, route)
        limits = retry_budget.BudgetSettings(rule.limit, WINDOW_S)
        found = self.credits.get(key)
        if found is None:
            found = self.credits[key] = retry_budget.RetryBudget(
                settings=limits, clock=self.clock, rng=self.rng
            )
        found.settings = limits
        return found

    def record_request(self, rule: Rule, route: str, service: str) -> None:
        """Record a new request, which earns a part of a credit."""
        self.credits_of(rule, route, service).record_request()

    def has_credit(self, rule: Rule, route: str, service: str) -> bool:
        """Return whether the limit allows one more second attempt."""
        found = self.credits_of(rule, route, service)
        found.expire(self.clock())
        return rule.limit > 0 and bool(found.expiries_s)

    def spend(self, rule: Rule, route: str, service: str) -> None:
        """Spend the credit for a second attempt that starts."""
        self.credits_of(rule, route, service).try_spend()

    def record_time(
        self, route: str, seconds: float, *, is_lower_bound: bool = False
    ) -> None:
        """Record the response time of a first attempt.

        If it was cancelled, because the second one was faster, the time until
        then is a lower bound. It counts as one of the longer times: without
        them the tail would be forgotten, and second attempts would stop.
        """
        times = self.times.get(route)
        if times is None:
            times = self.times[route] = RouteTimes(clock=self.clock)
            if len(self.times) > MAX_ROUTES:
                self.times.popitem(last=False)
        if is_lower_bound:
            seconds = times.draw_longer(seconds, self.rng)
        times.record(seconds)

    def delay_s(self, rule: Rule, route: str) -> float | None:
        """Return the time after which a second attempt may start.

        In seconds; None if the response times of the route are not known.
        """
        if rule.after_s is not None:
            return rule.after_s
        times = self.times.get(route)
        if times is None:
            return None
        # No more than this share of the requests complete a credit.
        share = rule.limit / (1 + retry_budget.CREDIT_LIFE_SHARE)
        return times.start_s(rule.quantile, share)

    def find_doubtful(
        self,
        first: registrations.RegisteredServer,
        servers: Iterable[registrations.RegisteredServer],
    ) -> set[str]:
        """Return the ids of servers that must not get the second attempt."""
        now = self.clock()
        return {
            server.server_id
            for server in servers
            if server is first or not is_less_doubtful(server, first, now)
        }
