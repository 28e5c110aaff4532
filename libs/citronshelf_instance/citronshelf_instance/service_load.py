"""Estimates of the time that requests wait in the queues of a service.

They answer bursts of one class of requests, slow servers and long tails of
processing times. Requests that servers shed are no sign of load: servers may
shed at random while they are idle.
"""

import statistics

from citronshelf_instance import registrations

# The estimate is computed at most this often for each service.
UPDATE_INTERVAL_S = 0.05
# Processing times that vary make requests slower than usual without a queue.
# The slowness without a queue is learned: it follows a smaller one within
# seconds and a larger one slowly, so that bursts of some seconds count as
# queues.
CALM_FALL_S = 2.0
CALM_RISE_S = 60.0
# Weight of the newest request in the mean of the usual times.
USUAL_TIME_WEIGHT = 0.05
# A service is near its limit from this wait on, as a share of the usual time.
NEAR_LIMIT_SHARE = 0.5


class ServiceLoad:
    """What this instance knows of the load of one service.

    Attributes
    ----------
    usual_s : float
        Mean usual time of the requests of this instance; 0 before the first.
    slowness : float
        Median slowness of the servers; 1.0 is normal.
    calm_slowness : float
        The same without a queue.
    """

    def __init__(self, *, now: float):
        self.usual_s = 0.0
        self.slowness = 1.0
        self.calm_slowness = 1.0
        self.updated_s = now

    def record_request(self, usual_s: float) -> None:
        """Add the usual time of a request to the mean."""
        if not self.usual_s:
            self.usual_s = usual_s
        self.usual_s += USUAL_TIME_WEIGHT * (usual_s - self.usual_s)

    def update(
        self, servers: list[registrations.RegisteredServer], now: float
    ) -> None:
        """Update the slowness from the estimates for the servers.

        A server without observations is soon as slow as usual.
        """
        elapsed_s = now - self.updated_s
        self.updated_s = now
        for server in servers:
            server.estimate.advance(now)
        values = [server.estimate.slowness for server in servers]
        # The median ignores the few servers that run a very long request.
        self.slowness = statistics.median(values) if values else 1.0
        change = self.slowness - self.calm_slowness
        time_s = CALM_RISE_S if change > 0 else CALM_FALL_S
        self.calm_slowness += change * min(1.0, elapsed_s / time_s)

    def wait_s(self) -> float:
        """Return the estimated time in a queue in seconds, 0 if unknown."""
        return max(0.0, self.slowness - self.calm_slowness) * self.usual_s

    def least_wait_s(
        self, servers: list[registrations.RegisteredServer], now: float
    ) -> float:
        """Return the estimated wait at the server with the shortest queue.

        Servers in backoff count only if there are no others. A server without
        an observation counts as calm.
        """
        ready = [s for s in servers if s.backoff_until_s <= now] or servers
        for server in ready:
            server.estimate.advance(now)
        least = min((s.estimate.slowness for s in ready), default=1.0)
        return max(0.0, least - self.calm_slowness) * self.usual_s


class ServiceLoads:
    """Loads by service.

    Parameters
    ----------
    directory : Directory
    clock : callable
        Monotonic seconds.
    is_in_region : callable
        Returns whether a server is in the region of this instance. Others are
        rarely observed, so they count only if there are none.
    """

    def __init__(
        self,
        *,
        directory: registrations.Directory,
        clock,
        is_in_region=lambda server: True,
    ):
        self.directory = directory
        self.clock = clock
        self.is_in_region = is_in_region
        self.by_service: dict[str, ServiceLoad] = {}

    def get(self, service: str) -> ServiceLoad:
        """Return the load of a service, updated if that is due."""
        now = self.clock()
        load = self.by_service.get(service)
        if load is None:
            load = self.by_service[service] = ServiceLoad(now=now)
        if now - load.updated_s >= UPDATE_INTERVAL_S:
            usable = self.directory.usable(service)
            in_region = [s for s in usable if self.is_in_region(s)]
            load.update(in_region or usable, now)
        return load

    def record_request(self, service: str, usual_s: float) -> None:
        """Record a request to a service with the usual time of its route."""
        self.get(service).record_request(usual_s)

    def is_near_limit(self, service: str) -> bool:
        """Return whether extra work would delay the requests of a service."""
        load = self.get(service)
        return load.wait_s() > NEAR_LIMIT_SHARE * load.usual_s

    def longest_wait_s(self) -> float:
        """Return the longest estimated wait at any service in seconds."""
        return max((self.get(s).wait_s() for s in self.by_service), default=0)
