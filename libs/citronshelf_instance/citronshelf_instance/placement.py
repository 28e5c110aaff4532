"""Random choice of a backend server, weighted by the expected loss."""

import logging
import math
import random
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import coverage
from citronshelf_instance import events
from citronshelf_instance import registrations

LOG = logging.getLogger(__name__)

# Losses are fractions of a request's worth to its caller. Servers whose losses
# differ by less than this share the load; larger values spread it more evenly.
LOSS_SPREAD = 0.05
# A failed request loses all of its worth; an idempotent one is mostly rescued
# by a retry on a second server.
FAILURE_LOSS = 1.0
IDEMPOTENT_FAILURE_LOSS = 0.3
# Loss of a response at the target time; it grows with the square of the time.
# Late responses are worth a third, and few of those expected at the target
# time are much later.
LATE_LOSS = 0.1
# Least slowness assumed of a server that is still warming up, as a multiple of
# the usual time.
WARM_UP_SLOWNESS = 2.0
# Assumed response time of a route before its first response, as a share of its
# target latency.
INITIAL_TIME_SHARE = 0.3
# The usual time follows short times faster than long ones, so that it stays
# close to the time at a server without a queue.
SHORT_TIME_WEIGHT = 0.1
LONG_TIME_WEIGHT = 0.02
# Weight of a longer time relative to that while the service is overloaded:
# then it is longer because of a queue.
QUEUED_WEIGHT = 0.1
# Weight of the newest request in the mean usual time of a service.
SERVICE_TIME_WEIGHT = 0.05
# A body of this size or more is spread by the bytes that are in progress at
# each server. Assumed speeds of sending: that of a small instance, and the
# share of one instance in a link between regions that several use.
LARGE_BODY_BYTES = 32 * 1024
SEND_BYTES_PER_S = 1.25e6
REGION_BYTES_PER_S = 1e6
INITIAL_RESPONSE_BYTES = 4096.0
RESPONSE_BYTES_WEIGHT = 0.1


class DistanceCosts(NamedTuple):
    """Costs of requests to other zones and regions.

    Attributes
    ----------
    zone_loss_per_kb : float
        Share of a request's worth that a kilobyte between zones costs.
    region_loss_per_kb : float
        The same between regions.
    region_latency_s : float
        Round-trip time to another region.
    """

    zone_loss_per_kb: float
    region_loss_per_kb: float
    region_latency_s: float


class RouteUsage:
    """Usual time and response size of one route.

    Attributes
    ----------
    seconds : float
        Time at a healthy server without a queue.
    response_bytes : float
        Moving average of the size of response bodies.
    is_queued : bool
        Admission control refuses requests to the service.
    """

    def __init__(self, *, seconds: float):
        self.seconds = seconds
        self.response_bytes = INITIAL_RESPONSE_BYTES
        self.is_queued = False

    def record(self, seconds: float, response_bytes: int) -> None:
        """Record one good response.

        A straggler counts as at most three times the usual time, so that a
        few of them do not distort the time of most requests.
        """
        change = min(seconds, 3 * self.seconds) - self.seconds
        weight = LONG_TIME_WEIGHT if change > 0 else SHORT_TIME_WEIGHT
        if change > 0 and self.is_queued:
            weight *= QUEUED_WEIGHT
        self.seconds += weight * change
        self.response_bytes += RESPONSE_BYTES_WEIGHT * (
            response_bytes - self.response_bytes
        )


class Candidate(NamedTuple):
    """A server and the expected loss of sending a request to it."""

    server: registrations.RegisteredServer
    loss: float
    failure_share: float


class Placer:
    """Chooses the server for each dispatch.

    Parameters
    ----------
    directory : Directory
    location : Location
        Location of this instance.
    regions : mapping of str to str
        Region of each zone.
    distances : DistanceCosts
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random

    Attributes
    ----------
    service_times_s : dict of str to float
        Mean usual time of the requests of this instance to each service.
    longest_list_age_s : float
        Longest age of the list of servers at a choice since the value was
        last taken.
    """

    def __init__(
        self,
        *,
        directory: registrations.Directory,
        location: fleet.Location,
        regions,
        distances: DistanceCosts,
        clock,
        rng: random.Random,
    ):
        self.directory = directory
        self.location = location
        self.regions = regions
        self.distances = distances
        self.clock = clock
        self.rng = rng
        self.usage: dict[str, RouteUsage] = {}
        self.service_times_s: dict[str, float] = {}
        self.longest_list_age_s = 0.0

    def usage_of(self, route: configuration.Route) -> RouteUsage:
        """Return the usage of a route, created on first use."""
        usage = self.usage.get(route.name)
        if usage is None:
            seconds = INITIAL_TIME_SHARE * route.target_latency_s
            usage = self.usage[route.name] = RouteUsage(seconds=seconds)
        return usage

    def choose(
        self, route, service: str, request_id: str, body_bytes: int, tried
    ) -> registrations.RegisteredServer | None:
        """Choose the server for one dispatch and log the choice.

        Returns None if no usable server is left. Servers in backoff are chosen
        only if no others are left.

        Parameters
        ----------
        route : Route
        service : str
        request_id : str
        body_bytes : int
        tried : collection of str
            Ids of servers that this request must not use again.
        """
        now = self.clock()
        self.record_time(service, self.usage_of(route).seconds)
        servers = [
            server
            for server in self.directory.usable(service)
            if server.server_id not in tried
        ]
        # A server in backoff is better than none.
        eligible = [s for s in servers if s.backoff_until_s <= now] or servers
        candidates = [
            self.estimate_loss(server, route, body_bytes, now)
            for server in eligible
        ]
        test_target = self.find_server_to_test(candidates, service, now)
        chosen = test_target or self.draw(candidates)
        self.log(
            chosen, candidates, service, request_id, tried, now, test_target
        )
        return chosen.server if chosen else None

    def record_time(self, service: str, usual_s: float) -> None:
        """Add the usual time of a request to the mean of its service."""
        mean_s = self.service_times_s.get(service, usual_s)
        mean_s += SERVICE_TIME_WEIGHT * (usual_s - mean_s)
        self.service_times_s[service] = mean_s

    def find_server_to_test(
        self, candidates: list[Candidate], service: str, now: float
    ) -> Candidate | None:
        """Return a candidate that needs a request to stay in use.

        Only servers of this instance's region are considered. Returns None if
        this request is not needed for that.
        """
        in_region = {
            candidate.server: candidate
            for candidate in candidates
            if self.is_in_region(candidate.server)
        }
        recent = self.directory.recent_dispatches(service)
        # ``estimate_loss`` advanced the candidates' estimates to ``now``.
        server = coverage.choose_server_to_test(
            list(in_region), recent, now, self.rng
        )
        return in_region.get(server)

    def take_longest_list_age(self) -> float:
        """Return and reset ``longest_list_age_s``."""
        longest_s, self.longest_list_age_s = self.longest_list_age_s, 0.0
        return longest_s

    def is_in_region(self, server: registrations.RegisteredServer) -> bool:
        """Return whether a server is in the region of this instance."""
        zone = server.registration.zone
        return self.regions.get(zone) == self.location.region

    def draw(self, candidates: list[Candidate]) -> Candidate | None:
        """Return a random candidate, favouring those with a small loss."""
        if not candidates:
            return None
        least = min(candidate.loss for candidate in candidates)
        weights = [
            math.exp((least - c.loss) / LOSS_SPREAD) for c in candidates
        ]
        return self.rng.choices(candidates, weights)[0]

    def estimate_loss(
        self, server, route, body_bytes: int, now: float
    ) -> Candidate:
        """Estimate the loss of a dispatch to a server."""
        usage = self.usage_of(route)
        failure_share = server.estimate.failure_share(now)
        weight = IDEMPOTENT_FAILURE_LOSS if route.idempotent else FAILURE_LOSS
        kilobytes = (body_bytes + usage.response_bytes) / 1024
        distance_loss, latency_s = self.distance(server, kilobytes)
        # Servers that are faster than usual must not attract all requests.
        slowness = max(1.0, server.estimate.slowness)
        if now < server.warm_up_end_s:
            slowness = max(slowness, WARM_UP_SLOWNESS)
        load = server.running / max(1, server.registration.slots)
        # A short request waits as long in a queue as others do.
        service = server.registration.service
        queued_s = max(usage.seconds, self.service_times_s.get(service, 0.0))
        wait_s = (slowness - 1) * queued_s
        seconds = (
            latency_s
            + usage.seconds
            + wait_s
            + usage.seconds * slowness * load
            + self.sending_time_s(server, body_bytes)
        )
        late_loss = LATE_LOSS * min(2.0, seconds / route.target_latency_s) ** 2
        loss = weight * failure_share + distance_loss + late_loss
        return Candidate(server, loss, failure_share)

    def sending_time_s(self, server, body_bytes: int) -> float:
        """Return the assumed time to send a large body, in seconds.

        It is shared with the other bodies of this instance in progress there.
        """
        if body_bytes < LARGE_BODY_BYTES:
            return 0.0
        seconds = (server.body_bytes + body_bytes) / SEND_BYTES_PER_S
        if not self.is_in_region(server):
            seconds += body_bytes / REGION_BYTES_PER_S
        return seconds

    def distance(self, server, kilobytes: float) -> tuple[float, float]:
        """Return the loss and the latency in seconds due to the distance.

        A zone without a known region counts as one of another region.
        """
        zone = server.registration.zone
        if zone == self.location.zone:
            return 0.0, 0.0
        if self.regions.get(zone) == self.location.region:
            return kilobytes * self.distances.zone_loss_per_kb, 0.0
        loss = kilobytes * self.distances.region_loss_per_kb
        return loss, self.distances.region_latency_s

    def log(
        self, chosen, candidates, service, request_id, tried, now, test_target
    ) -> None:
        """Log the choice of a server with its inputs."""
        list_age_s = self.directory.age_s()
        if list_age_s is not None:
            self.longest_list_age_s = max(self.longest_list_age_s, list_age_s)
        fields = {
            'request_id': request_id,
            'service': service,
            'candidates': len(candidates),
            'tried': len(tried),
            'directory_revision': self.directory.revision,
            'directory_age_s': round(now - self.directory.revised_s, 3),
            'list_age_s': None if list_age_s is None else round(list_age_s, 3),
        }
        if chosen is None:
            log_events.log_event(LOG, events.NO_SERVER, **fields)
            return
        log_events.log_event(
            LOG,
            events.SERVER_CHOSEN,
            server=chosen.server.server_id,
            loss=round(chosen.loss, 4),
            failing=round(chosen.server.estimate.failure_probability, 3),
            slowness=round(chosen.server.estimate.slowness, 2),
            running=chosen.server.running,
            is_test=test_target is not None,
            **fields,
        )
