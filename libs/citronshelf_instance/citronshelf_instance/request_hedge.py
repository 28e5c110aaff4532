"""The second attempt of one request whose response is slow."""

import logging

from citronshelf_common import events as log_events
from citronshelf_instance import dispatch
from citronshelf_instance import events
from citronshelf_instance import hedging

LOG = logging.getLogger(__name__)


class RequestHedge:
    """Starts at most one second attempt of a request, by the settings.

    Does nothing without settings, and for requests that may run only once.

    Parameters
    ----------
    running : RunningRequest

    Attributes
    ----------
    rule : Rule or None
    start_at_s : float or None
        Monotonic time at which the second attempt may start.
    first, second : Dispatch or None
        The newest attempt before the second one, and the second one.
    """

    def __init__(self, *, running):
        self.running = running
        self.hedger: hedging.Hedger | None = running.forwarder.hedger
        self.rule: hedging.Rule | None = None
        if self.hedger is not None:
            self.rule = self.hedger.find_rule(running.route, running.service)
        self.start_at_s: float | None = None
        self.first: dispatch.Dispatch | None = None
        self.second: dispatch.Dispatch | None = None
        self.is_starting = False
        self.result = 'none'

    @property
    def key(self) -> tuple[hedging.Rule, str, str]:
        """Return the rule, the route and the service for the limit."""
        return self.rule, self.running.route.name, self.running.service

    def record_request(self) -> None:
        """Count the request for the limit."""
        if self.rule is not None:
            self.hedger.record_request(*self.key)

    def plan(self, new_dispatch: dispatch.Dispatch) -> None:
        """Take note of a dispatch that starts; plan its second attempt.

        While the response times of the route are not known, a response is
        slow when it is overdue.
        """
        if self.rule is None or self.second is not None:
            return
        if self.is_starting:
            self.second = new_dispatch
            return
        self.first = new_dispatch
        delay_s = self.hedger.delay_s(self.rule, self.running.route.name)
        self.start_at_s = new_dispatch.overdue_at_s
        if delay_s is not None:
            self.start_at_s = new_dispatch.started_s + delay_s

    def check(self) -> None:
        """Start the second attempt if the response is slow."""
        if (
            self.start_at_s is None
            or self.running.forwarder.clock() < self.start_at_s
        ):
            return
        self.start_at_s = None
        if self.running.running:
            self.start()

    def start(self) -> None:
        """Start the second attempt, or log why none starts.

        Without a credit of the retry budget it is decided again when another
        instance lends one.
        """
        if self.second is not None:
            return
        doubtful = self.find_doubtful()
        objection = self.find_objection(doubtful)
        if objection is None:
            self.is_starting = True
            self.running.start(is_retry=True, excluded=frozenset(doubtful))
            self.is_starting = False
            if self.second is not None:
                self.hedger.spend(*self.key)
                self.log(
                    events.HEDGE_STARTED,
                    server=self.second.server.server_id,
                    first_server=self.first.server.server_id,
                )
                return
            if self.running.loan is not None:
                return
            objection = hedging.Objection.NOT_STARTED
        self.running.forwarder.metrics.count('hedges_denied', objection)
        self.log(events.HEDGE_DENIED, reason=objection)

    def find_doubtful(self) -> set[str]:
        """Return the ids of servers as doubtful as the first one."""
        return self.hedger.find_doubtful(
            self.first.server, self.usable_servers()
        )

    def usable_servers(self) -> list:
        """Return the servers that may get requests of the service."""
        directory = self.running.forwarder.placer.directory
        return directory.usable(self.running.service)

    def find_objection(self, doubtful: set[str]) -> hedging.Objection | None:
        """Return why no second attempt may start, or None."""
        running = self.running
        now = running.forwarder.clock()
        usual_s = running.forwarder.placer.usage_of(running.route).seconds
        servers = self.usable_servers()
        if running.dispatches >= running.route.max_servers:
            return hedging.Objection.ATTEMPTS
        if now + usual_s >= running.expires_s:
            return hedging.Objection.DEADLINE
        if self.hedger.is_over_quota(running.caller.account):
            return hedging.Objection.QUOTA
        if not self.hedger.has_credit(*self.key):
            return hedging.Objection.LIMIT
        if self.hedger.is_near_limit(servers, now):
            return hedging.Objection.NEAR_LIMIT
        ids = {server.server_id for server in servers}
        if ids <= doubtful | running.tried:
            return hedging.Objection.DOUBTFUL_SERVERS
        return None

    def record_response(self, used: dispatch.Dispatch) -> None:
        """Record the dispatch whose response is used."""
        if self.rule is None:
            return
        if self.second is None:
            self.record_time(used)
            return
        self.result = 'second' if used is self.second else 'first'
        if used is self.second:
            self.running.forwarder.metrics.count('hedges_won')
        if used is self.first:
            self.record_time(used)
        else:
            self.record_first_time()

    def record_first_time(self) -> None:
        """Record how long the first attempt has run without a response."""
        if self.rule is not None and self.first in (
            self.running.running.values()
        ):
            self.record_time(self.first, is_lower_bound=True)

    def record_time(
        self, measured: dispatch.Dispatch, *, is_lower_bound: bool = False
    ) -> None:
        """Record the time of one attempt for its route."""
        elapsed_s = self.running.forwarder.clock() - measured.started_s
        self.hedger.record_time(
            self.running.route.name, elapsed_s, is_lower_bound=is_lower_bound
        )

    def record_end(self) -> None:
        """Log the outcome of a request that had a second attempt."""
        if self.second is not None:
            self.log(events.HEDGE_ENDED, result=self.result)

    def log(self, event: log_events.Event, **fields) -> None:
        """Log an event of this request."""
        running = self.running
        waited_s = running.forwarder.clock() - self.first.started_s
        log_events.log_event(
            LOG,
            event,
            request_id=running.request.head.request_id,
            route=running.route.name,
            service=running.service,
            waited_ms=round(waited_s * 1000, 1),
            **fields,
        )
