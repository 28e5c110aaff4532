"""The instance daemon, which connects all components."""

import asyncio
import logging
import random
import signal
import time
import traceback

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import log_stream
from citronshelf_common import pages
from citronshelf_common import settings as common_settings
from citronshelf_entry import request_head
from citronshelf_entry import response_memory
from citronshelf_entry import upstream
from citronshelf_instance import caller_connection
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import dispatch
from citronshelf_instance import events
from citronshelf_instance import forwarding
from citronshelf_instance import membership
from citronshelf_instance import metrics
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import placement
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from citronshelf_instance import settings
from citronshelf_instance import shutdown
from citronshelf_instance import store_reader
from citronshelf_peering import links

LOG = logging.getLogger(__name__)
# Descriptors that are reserved for other uses than caller connections: files,
# peers, the store, and a server connection for every second caller.
RESERVED_DESCRIPTORS = 600
MIN_CONNECTIONS = 64
# Share of the instance's memory for responses, and of that for a single one.
# The program itself uses a quarter of the smallest instance and bodies of
# requests at most a fifth; the rest is for sockets and for copies of responses
# while they are completed.
RESPONSE_MEMORY_SHARE = 0.2
SINGLE_RESPONSE_SHARE = 0.5
SETTINGS_POLL_INTERVAL_S = 5.0
# Requests that arrive while the process starts wait for the first read of the
# store, which takes about a tenth of this.
FIRST_READ_WAIT_S = 0.5
# Only the end of a traceback, with the exception itself, is logged.
MAX_TRACE_CHARACTERS = 2000
# Settings tables whose changes require a restart.
RESTART_TABLES = ('instance', 'listen', 'store', 'log')

parse_address = common_settings.parse_address


class InstanceDaemon:
    """Serves callers, follows the store and communicates with peers.

    Parameters
    ----------
    table : Settings
        Checked settings.
    make_store : callable
        Called with the store's address and an ``UpstreamClient``; returns a
        ``Store``.
    names : HeaderNames
    log_output : BoundedLogStream
    read_settings : callable
        Rereads and validates the settings file; returns a ``Result``.
    """

    def __init__(
        self,
        *,
        table: settings.Settings,
        make_store,
        names: caller_request.HeaderNames,
        log_output: log_stream.BoundedLogStream,
        read_settings,
    ):
        self.table = table
        self.read_settings = read_settings
        self.names = names
        self.stopping = False
        self.settings_fault = None
        self.rng = random.Random()
        clock = time.monotonic
        self.metrics = metrics.InstanceMetrics()
        self.directory = registrations.Directory(clock=clock)
        self.state = published.PublishedState(
            directory=self.directory, clock=clock, rng=self.rng
        )
        self.response_memory = response_memory.ResponseMemory(
            limit_bytes=response_memory_bytes(table),
            on_drop=self.record_dropped_response,
        )
        self.client = upstream.UpstreamClient(memory=self.response_memory)
        self.own = own_member(table)
        self.members = membership.Membership(
            own=self.own, clock=clock, rng=self.rng
        )
        self.readers = reader_group.ReaderGroup(
            members=self.members, clock=clock
        )
        self.links = links.ZmqLinks(address=self.own.address, keys=None)
        self.peers = peers.Peers(
            own=self.own,
            seeds=[parse_address(text) for text in table['peers']['seeds']],
            links=self.links,
            state=self.state,
            members=self.members,
            readers=self.readers,
            clock=clock,
            rng=self.rng,
        )
        self.reader = store_reader.StoreReader(
            store=make_store(
                parse_address(table['store']['address']), self.client
            ),
            state=self.state,
            fetch_from_peers=self.peers.fetch_state,
            group=self.readers,
            send_report=self.peers.send_report,
            clock=clock,
            rng=self.rng,
        )
        self.state.on_change = self.peers.announce_change
        self.peers.on_peer_revision = self.reader.handle_peer_revision
        self.peers.is_store_current = self.reader.is_current
        self.forwarder = self.make_forwarder(clock)
        self.server = self.make_server()
        self.add_gauges(log_output)

    def make_forwarder(self, clock) -> forwarding.Forwarder:
        """Return the forwarder to backend servers."""
        placer = placement.Placer(
            directory=self.directory,
            location=self.own.location,
            regions=self.table['regions'],
            distances=make_distance_costs(self.table),
            clock=clock,
            rng=self.rng,
        )
        return forwarding.Forwarder(
            placer=placer,
            client=self.client,
            names=self.names,
            budget_settings=make_budget_settings(self.table),
            instances=self.members.peak_count,
            observe=self.peers.record_observation,
            metrics=self.metrics,
            clock=clock,
            max_response_bytes=min(
                dispatch.MAX_RESPONSE_BYTES,
                int(self.response_memory.limit_bytes * SINGLE_RESPONSE_SHARE),
            ),
        )

    def record_dropped_response(
        self, holder: response_memory.Holder, held_bytes: int
    ) -> None:
        """Log and count a response that is ended for memory."""
        log_events.log_event(
            LOG,
            events.RESPONSE_DROPPED,
            request_id=holder.request_id,
            held_bytes=held_bytes,
            limit_bytes=self.response_memory.limit_bytes,
            responses=len(self.response_memory.held),
        )
        self.metrics.count('responses_dropped')

    def make_server(self) -> caller_connection.CallerServer:
        """Return the server for caller connections."""
        descriptors = self.table['instance']['max_descriptors']
        max_connections = max(
            MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS
        )
        application = caller_connection.Application(
            handle=self.handle,
            may_run_concurrently=self.may_run_concurrently,
            limits=lambda: self.state.limits,
            names=self.names,
        )
        return caller_connection.CallerServer(
            application=application,
            max_connections=max_connections,
            memory=self.response_memory,
        )

    def add_gauges(self, log_output: log_stream.BoundedLogStream) -> None:
        """Add the gauges, which are read when metrics are rendered."""
        add = self.metrics.add_gauge
        add(
            'configuration_revision',
            'Revision in force',
            lambda: (
                self.state.configuration.revision
                if self.state.configuration
                else 0
            ),
        )
        add(
            'servers',
            'Registered servers',
            lambda: len(self.directory.servers),
        )
        add('instances', 'Instances known alive', self.members.count)
        add('store_calls', 'Calls to the store', lambda: self.reader.calls)
        add(
            'store_answers',
            'Store reachable',
            lambda: self.reader.is_reachable,
        )
        add(
            'peer_messages_dropped',
            'Messages to instances that could not be queued',
            lambda: self.links.dropped,
        )
        add(
            'response_bytes',
            'Bytes held for responses',
            lambda: self.response_memory.total_bytes,
        )
        add('log_dropped', 'Dropped lines', lambda: log_output.dropped)

    async def serve(self, stopping: asyncio.Event) -> int:
        """Serve until the event is set, then shut down gracefully.

        Returns the exit status of the process.
        """
        listen = self.table['listen']
        callers = parse_address(listen['callers'])
        ready_server = pages.listen(
            parse_address(listen['ready']),
            [('/ready', pages.ReadyHandler, {'reason': self.unready_reason})],
        )
        metrics_server = pages.listen(
            parse_address(listen['metrics']),
            [('/metrics', pages.MetricsHandler, {'metrics': self.metrics})],
        )
        self.server.listen(
            callers.port,
            callers.ip,
            backlog=caller_connection.LISTEN_BACKLOG,
        )
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self.links.run()),
                group.create_task(self.peers.run()),
                group.create_task(self.reader.run()),
                group.create_task(self.watch_settings()),
            ]
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGHUP, self.reload)
            await stopping.wait()
            self.stopping = True
            self.peers.leave()
            await shutdown.shut_down(self.server, self.table['shutdown'])
            for task in tasks:
                task.cancel()
        ready_server.stop()
        metrics_server.stop()
        self.peers.close()
        self.links.close()
        self.client.close()
        return 0

    async def watch_settings(self) -> None:
        """Reload the settings periodically; ``SIGHUP`` does so at once."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Reload the settings file and apply what needs no restart.

        Invalid settings are logged once and the current ones are kept.
        """
        read = self.read_settings()
        if read.is_error():
            if read.error != self.settings_fault:
                log_events.log_event(
                    LOG, events.SETTINGS_REFUSED, reason=read.error.render()
                )
            self.settings_fault = read.error
            return
        self.settings_fault = None
        if read.ok == self.table:
            return
        changed_tables = [
            key for key in RESTART_TABLES if read.ok[key] != self.table[key]
        ]
        self.table = read.ok
        self.apply_settings()
        log_events.log_event(
            LOG, events.SETTINGS_RELOADED, needs_restart=changed_tables
        )

    def apply_settings(self) -> None:
        """Apply seeds, retry budgets and distance costs from the settings."""
        seeds = self.table['peers']['seeds']
        self.peers.set_seeds([parse_address(text) for text in seeds])
        self.forwarder.set_budget_settings(make_budget_settings(self.table))
        self.forwarder.placer.distances = make_distance_costs(self.table)

    def unready_reason(self) -> str:
        """Return why the instance is not ready, or an empty string."""
        if self.stopping:
            return 'stopping'
        if not self.state.is_routable():
            return 'no configuration'
        return ''

    def may_run_concurrently(self, head: caller_request.RequestHead) -> bool:
        """Return whether a request may run before earlier ones have finished.

        Only requests to non-idempotent routes must wait for them.
        """
        if self.state.routes is None:
            return True
        route = self.state.routes.match(head.host, head.path)
        return route is None or route.idempotent

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Return the response to a request and record its metrics.

        An internal error is logged and gives a response with status 502.
        """
        try:
            response, route_name = await self.respond(request)
        except Exception as error:
            trace = ''.join(traceback.format_exception(error))
            log_events.log_event(
                LOG,
                events.REQUEST_FAULT,
                request_id=request.head.request_id,
                reason=trace[-MAX_TRACE_CHARACTERS:],
            )
            response = caller_response.error_response(
                502, 'unknown', 'internal-fault'
            )
            route_name = ''
        elapsed_s = time.monotonic() - request.arrived_s
        self.metrics.record_request(route_name, response.status, elapsed_s)
        return response

    async def respond(
        self, request: caller_request.CallerRequest
    ) -> tuple[caller_response.CallerResponse, str]:
        """Return the response to a request and the name of its route.

        The name is empty if no route was found.
        """
        head = request.head
        if not await self.state.wait_routable(FIRST_READ_WAIT_S):
            response = caller_response.error_response(
                503, 'not-run', 'no configuration'
            )
            self.log_request_end(request, response, '', '')
            return response, ''
        route = self.state.routes.match(head.host, head.path)
        if route is None:
            refusal = request_head.RequestRefusal(404, 'no such route')
            response = caller_response.from_refusal(
                refusal, closes_connection=False
            )
            self.log_request_end(request, response, '', '')
            return response, ''
        routed = self.state.routes.assign(route)
        outcome = await self.forwarder.run(request, routed)
        response = caller_response.from_outcome(outcome, head, self.names)
        reason = getattr(outcome, 'reason', '')
        self.log_request_end(request, response, route.name, reason)
        return response, route.name

    def log_request_end(
        self, request, response, route_name: str, reason: str
    ) -> None:
        """Log the final response to a request and the reason for it."""
        head = request.head
        elapsed_s = time.monotonic() - request.arrived_s
        log_events.log_event(
            LOG,
            events.REQUEST_ENDED,
            request_id=head.request_id,
            method=head.method,
            host=head.host,
            path=head.path[:200],
            route=route_name,
            configuration_revision=self.state.configuration.revision
            if self.state.configuration
            else 0,
            deadline_s=head.deadline_s,
            status=response.status,
            reason=reason,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )


def response_memory_bytes(table: settings.Settings) -> int:
    """Return the limit on the bytes held for all responses."""
    memory_mb = table['instance'].get('memory_mb', settings.DEFAULT_MEMORY_MB)
    return int(memory_mb * 1024 * 1024 * RESPONSE_MEMORY_SHARE)


def make_distance_costs(table: settings.Settings) -> placement.DistanceCosts:
    """Return the costs of distance from the settings."""
    costs = table['placement']
    return placement.DistanceCosts(
        costs['zone_loss_per_kb'],
        costs['region_loss_per_kb'],
        costs['region_latency_s'],
    )


def make_budget_settings(
    table: settings.Settings,
) -> forwarding.BudgetSettings:
    """Return the settings of the retry budgets."""
    retries = table['retries']
    return forwarding.BudgetSettings(
        retries['ratio'], retries['slack'], retries['window_s']
    )


def own_member(table: settings.Settings) -> peer_messages.Member:
    """Return this instance as a member, with a new nonce."""
    instance = table['instance']
    return peer_messages.Member(
        instance['name'],
        identity.new_incarnation(instance=instance['name']).nonce,
        parse_address(table['listen']['peers']),
        fleet.Location(instance['region'], instance['zone']),
        0.0,
    )
