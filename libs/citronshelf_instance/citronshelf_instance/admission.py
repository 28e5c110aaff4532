"""Admission of requests by the time that they would take at their service.

Answers bursts of one class, accounts far over their usual rate, slow servers
and the return of a crowd of refused callers. Servers that shed at random and
single long requests cause no queueing time, so they cause no refusals.

A priority class is the set of requests with the same priority. Each instance
decides alone, from the slowness of servers that all instances of its region
observe.
"""

import logging
import math
import random
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_entry import request_head
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import events
from citronshelf_instance import fair_share
from citronshelf_instance import forwarding
from citronshelf_instance import placement
from citronshelf_instance import routing
from citronshelf_instance import service_load

LOG = logging.getLogger(__name__)

# Interval in which the refused shares are changed.
STEP_INTERVAL_S = 0.05
MAX_STEP_S = 0.5
# The wait may use this share of the time between the usual time and the target
# latency of a class: waits vary around their mean.
WAIT_SHARE = 0.5
# An observed wait is about a second old: it ends with a response, and some
# observations wait for a message. The refused shares therefore follow the wait
# that its trend predicts for this much later.
LEAD_S = 0.7
TREND_SMOOTHING_S = 0.3
# Change of the refused share per second for a predicted wait of twice the
# permitted one, and without any wait. More urgent classes change slower and
# recover faster: they are refused for long overloads only.
RISE_PER_S = 1.0
URGENT_RISE_PER_S = 0.3
FALL_PER_S = 0.4
URGENT_FALL_PER_S = 2.0
NEGLIGIBLE_SHARE = 0.01
# A class counts as present for this long after its last request.
PRESENT_S = 5.0
# The largest time between the usual time and the target of a class that is
# assumed to be permitted for waiting, if the usual time exceeds the target.
MIN_ALLOWED_WAIT_S = 0.02
# A Retry-After is drawn between the estimated wait and this many times it, so
# that refused callers do not all return together.
RETURN_SPREAD = 2.0
LATE_REASON = 'too late'
OVERLOAD_REASON = 'overloaded'


class AdmissionSettings(NamedTuple):
    """Settings of admission control.

    Attributes
    ----------
    min_share : float
        Share of the requests of each class and account that is admitted in
        any case.
    """

    min_share: float


class PriorityClass:
    """Requests with one priority to one service.

    Attributes
    ----------
    refused_share : float
    allowed_wait_s : float
        Wait with which its requests meet their target latency; the least of
        its routes.
    allowed_at_s : float
        Monotonic time at which ``allowed_wait_s`` was seen.
    seen_s : float
        Monotonic time of the last request.
    shares : FairShares
    """

    def __init__(self, *, shares: fair_share.FairShares):
        self.refused_share = 0.0
        self.allowed_wait_s = math.inf
        self.allowed_at_s = -math.inf
        self.seen_s = -math.inf
        self.shares = shares

    def record(self, allowed_wait_s: float, now: float) -> None:
        """Record a request and the wait with which it meets its target."""
        self.seen_s = now
        is_old = self.allowed_at_s < now - PRESENT_S
        if is_old or allowed_wait_s <= self.allowed_wait_s:
            self.allowed_wait_s = allowed_wait_s
            self.allowed_at_s = now


class ServiceAdmission:
    """Refused shares of the priority classes of one service.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    def __init__(self, *, now: float):
        self.classes: dict[int, PriorityClass] = {}
        self.stepped_s = now
        self.wait_s = 0.0
        self.trend = 0.0

    def is_overloaded(self) -> bool:
        """Return whether requests of any class are refused."""
        return any(one.refused_share > 0 for one in self.classes.values())

    def step(self, wait_s: float, now: float, min_share: float) -> None:
        """Change the refused shares by the wait and its trend.

        The least urgent class is refused first; the share of a class rises
        only while all less urgent classes are refused as far as permitted, and
        falls only while no more urgent class is refused. A class is refused
        only for its own target and for those of more urgent classes.
        """
        elapsed_s = min(MAX_STEP_S, now - self.stepped_s)
        if elapsed_s < STEP_INTERVAL_S:
            return
        self.stepped_s = now
        self.drop_absent(now)
        ratios = self.wait_ratios(self.predict(wait_s, elapsed_s))
        self.raise_shares(ratios, elapsed_s, 1.0 - min_share)
        self.lower_shares(ratios, elapsed_s)
        for one in self.classes.values():
            one.shares.update(now, 1.0 - one.refused_share)

    def predict(self, wait_s: float, elapsed_s: float) -> float:
        """Return the wait that is expected ``LEAD_S`` later."""
        weight = 1.0 - math.exp(-elapsed_s / TREND_SMOOTHING_S)
        slope = (wait_s - self.wait_s) / elapsed_s
        self.wait_s = wait_s
        self.trend += weight * (slope - self.trend)
        return max(0.0, wait_s + LEAD_S * self.trend)

    def raise_shares(
        self, ratios: dict[int, float], elapsed_s: float, max_share: float
    ) -> None:
        """Refuse more of the least urgent class that may be refused more."""
        rise_per_s = RISE_PER_S
        for priority in sorted(self.classes, reverse=True):
            one = self.classes[priority]
            excess = min(1.0, ratios[priority] - 1.0)
            if excess <= 0:
                return
            if one.refused_share < max_share:
                change = rise_per_s * excess * elapsed_s
                one.refused_share = min(max_share, one.refused_share + change)
                return
            rise_per_s = URGENT_RISE_PER_S

    def lower_shares(self, ratios: dict[int, float], elapsed_s: float) -> None:
        """Refuse less of the most urgent class that is refused."""
        least_urgent = max(self.classes, default=0)
        for priority in sorted(self.classes):
            one = self.classes[priority]
            if not one.refused_share:
                continue
            fall_per_s = URGENT_FALL_PER_S
            if priority == least_urgent:
                fall_per_s = FALL_PER_S
            room = max(0.0, 1.0 - ratios[priority])
            one.refused_share -= fall_per_s * room * elapsed_s
            if room and one.refused_share < NEGLIGIBLE_SHARE:
                one.refused_share = 0.0
            return

    def wait_ratios(self, wait_s: float) -> dict[int, float]:
        """Return the wait relative to the permitted one, by class.

        A class may make those wait that are as urgent or more.
        """
        allowed_wait_s = math.inf
        ratios = {}
        for priority, one in sorted(self.classes.items()):
            allowed_wait_s = min(allowed_wait_s, one.allowed_wait_s)
            ratios[priority] = wait_s / (WAIT_SHARE * allowed_wait_s)
        return ratios

    def drop_absent(self, now: float) -> None:
        """Drop the classes without recent requests."""
        for priority, one in list(self.classes.items()):
            if one.seen_s < now - PRESENT_S:
                del self.classes[priority]


class Admission:
    """Decides which requests an instance refuses before it forwards them.

    Parameters
    ----------
    loads : ServiceLoads
    placer : Placer
        Knows the usual time of each route.
    settings : AdmissionSettings or None
        Nothing is refused if None.
    weight_of : callable
        Returns the weight of an account in its class, above 0.
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        loads: service_load.ServiceLoads,
        placer: placement.Placer,
        settings: AdmissionSettings | None,
        metrics,
        clock,
        rng: random.Random,
        weight_of=lambda account: 1.0,
    ):
        self.loads = loads
        self.placer = placer
        self.settings = settings
        self.weight_of = weight_of
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.by_service: dict[str, ServiceAdmission] = {}

    def set_settings(self, settings: AdmissionSettings | None) -> None:
        """Use other settings; without any, forget all overloads."""
        self.settings = settings
        if settings is None:
            self.by_service.clear()
            for usage in self.placer.usage.values():
                usage.is_queued = False

    def check(
        self,
        request: caller_request.CallerRequest,
        routed: routing.RoutedService,
        caller: caller_identity.Caller,
    ) -> request_head.RequestRefusal | None:
        """Return the refusal of a request, or None if it is admitted."""
        if self.settings is None:
            return None
        now = self.clock()
        service, route = routed.service, routed.route
        usage = self.placer.usage_of(route)
        load = self.loads.get(service)
        load.record_request(usage.seconds)
        state = self.state_of(service, now)
        priority = priority_of(route, caller)
        one = self.class_of(state, priority)
        one.record(
            max(MIN_ALLOWED_WAIT_S, route.target_latency_s - usage.seconds),
            now,
        )
        self.step(service, state, load.wait_s(), now)
        name = one.shares.record(caller.account)
        usage.is_queued = state.is_overloaded()
        if self.is_hopeless(request, route, service, load, now):
            return self.refuse(
                events.REQUEST_TOO_LATE,
                LATE_REASON,
                request,
                service=service,
                priority=priority,
                wait_s=load.wait_s(),
            )
        if not one.refused_share:
            return None
        share = one.shares.admitted_share(name, self.settings.min_share)
        self.log_share(one, name, share, service, priority)
        if one.shares.try_admit(name, share):
            return None
        return self.refuse(
            events.REQUEST_NOT_ADMITTED,
            OVERLOAD_REASON,
            request,
            service=service,
            priority=priority,
            wait_s=load.wait_s(),
            admitted_share=round(share, 3),
        )

    def state_of(self, service: str, now: float) -> ServiceAdmission:
        """Return the state of a service, created on first use."""
        state = self.by_service.get(service)
        if state is None:
            state = self.by_service[service] = ServiceAdmission(now=now)
        return state

    def class_of(self, state: ServiceAdmission, priority: int):
        """Return a priority class of a service, created on first use."""
        one = state.classes.get(priority)
        if one is None:
            shares = fair_share.FairShares(
                rng=self.rng, weight_of=self.weight_of
            )
            one = state.classes[priority] = PriorityClass(shares=shares)
        return one

    def step(
        self, service: str, state: ServiceAdmission, wait_s: float, now: float
    ) -> None:
        """Change the refused shares; log the begin and end of an overload."""
        was_overloaded = state.is_overloaded()
        state.step(wait_s, now, self.settings.min_share)
        if state.is_overloaded() != was_overloaded:
            event = events.SERVICE_CALM
            if not was_overloaded:
                event = events.SERVICE_OVERLOADED
            log_events.log_event(
                LOG, event, service=service, wait_s=round(wait_s, 3)
            )

    def is_hopeless(self, request, route, service, load, now: float) -> bool:
        """Return whether a request would end after its time at any server."""
        usage = self.placer.usage_of(route)
        left_s = request.arrived_s + time_limit_s(request, route) - now
        if load.wait_s() + usage.seconds <= left_s:
            return False
        servers = self.placer.directory.usable(service)
        least_s = load.least_wait_s(servers, now) + usage.seconds
        # Without any wait, a server may be faster than its route usually is.
        return load.wait_s() > 0 and least_s > left_s

    def refuse(
        self, event, reason: str, request, *, wait_s: float, **fields
    ) -> request_head.RequestRefusal:
        """Log and count a refusal and return it."""
        retry_after_s = self.rng.uniform(wait_s, RETURN_SPREAD * wait_s)
        log_events.log_event(
            LOG,
            event,
            request_id=request.head.request_id,
            wait_s=round(wait_s, 3),
            retry_after_s=round(retry_after_s, 3),
            **fields,
        )
        self.metrics.count('admission_refusals', reason)
        return request_head.RequestRefusal(
            503, reason, retry_after_s=retry_after_s
        )

    def log_share(
        self, one: PriorityClass, name: str, share: float, service, priority
    ) -> None:
        """Log that an account starts to send far more than its share."""
        counted = one.shares.accounts[name]
        is_over = share < fair_share.OVER_SHARE * (1.0 - one.refused_share)
        if is_over and not counted.is_over_share:
            log_events.log_event(
                LOG,
                events.ACCOUNT_OVER_SHARE,
                service=service,
                priority=priority,
                account=name,
                admitted_share=round(share, 3),
                class_share=round(1.0 - one.refused_share, 3),
            )
        counted.is_over_share = is_over

    def count_overloaded(self) -> int:
        """Return the number of services with refused requests."""
        return sum(state.is_overloaded() for state in self.by_service.values())


def priority_of(route, caller: caller_identity.Caller) -> int:
    """Return the priority of a request: its account's, or its route's."""
    return route.priority if caller.priority is None else caller.priority


def time_limit_s(request, route) -> float:
    """Return the seconds after the arrival in which a request must end."""
    limit_s = min(request.head.timeout_s, route.timeout_s)
    return limit_s - forwarding.RESPONSE_MARGIN_S
