"""The instance daemon, which connects all components."""

import asyncio
import logging
import random
import resource
import signal
import time

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import log_stream
from citronshelf_common import pages
from citronshelf_common import settings as common_settings
from citronshelf_entry import response_memory
from citronshelf_entry import upstream
from citronshelf_instance import admission
from citronshelf_instance import caller_connection
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import dispatch
from citronshelf_instance import events
from citronshelf_instance import forwarding
from citronshelf_instance import hedging
from citronshelf_instance import loop_delay
from citronshelf_instance import membership
from citronshelf_instance import metrics
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import placement
from citronshelf_instance import published
from citronshelf_instance import quota
from citronshelf_instance import quota_exchange
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from citronshelf_instance import request_handler
from citronshelf_instance import retry_budget
from citronshelf_instance import retry_loans
from citronshelf_instance import service_load
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
            members=self.members, list_age_s=self.state.age_s
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
        self.reader.on_unchanged = self.peers.send_report
        exchange = self.peers.configurations
        self.reader.share_configuration = exchange.share
        self.reader.expects_configuration = exchange.is_expecting
        self.reader.lacks_announced = exchange.lacks_announced
        exchange.on_applied = self.reader.end_superseded_watch
        self.budgets = retry_budget.RetryBudgets(
            settings=make_budget_settings(table), clock=clock, rng=self.rng
        )
        self.loans = retry_loans.RetryLoans(
            budgets=self.budgets,
            ask=self.peers.ask_for_credit,
            clock=clock,
            rng=self.rng,
        )
        self.peers.lend_credit = self.loans.lend
        self.peers.on_credit_reply = self.loans.receive
        self.identifier = caller_identity.CallerIdentifier(
            state=self.state,
            is_up_to_date=self.reader.is_up_to_date,
            names=names,
        )
        self.quotas = quota_exchange.QuotaExchange(
            own=self.own,
            settings=make_quota_settings(table),
            state=self.state,
            members=self.members,
            links=self.peers,
            metrics=self.metrics,
            rng=self.rng,
        )
        self.peers.on_quota_report = self.quotas.receive_report
        self.peers.on_quota_reply = self.quotas.receive_reply
        self.hedger = hedging.Hedger(
            table=table.get('hedging'),
            clock=clock,
            rng=self.rng,
            is_over_quota=self.quotas.is_over_quota,
        )
        self.forwarder = self.make_forwarder(clock)
        self.loads = service_load.ServiceLoads(
            directory=self.directory,
            clock=clock,
            is_in_region=self.forwarder.placer.is_in_region,
        )
        self.admission = admission.Admission(
            loads=self.loads,
            placer=self.forwarder.placer,
            settings=make_admission_settings(table),
            weight_of=self.account_weight,
            metrics=self.metrics,
            clock=clock,
            rng=self.rng,
        )
        self.handler = request_handler.RequestHandler(
            state=self.state,
            reader=self.reader,
            identifier=self.identifier,
            forwarder=self.forwarder,
            metrics=self.metrics,
            clock=clock,
            quotas=self.quotas,
            admission_control=self.admission,
        )
        self.server = self.make_server()
        self.loop_delay = loop_delay.LoopDelay(clock=clock)
        self.add_gauges(log_output)
        self.add_load_gauges()
        self.quotas.add_gauges(self.metrics)

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
            hedger=self.hedger,
            placer=placer,
            client=self.client,
            names=self.names,
            budgets=self.budgets,
            borrow=self.loans.borrow,
            observe=self.peers.evidence.record,
            report_leaving=self.peers.evidence.report_leaving,
            identifier=self.identifier,
            metrics=self.metrics,
            clock=clock,
            max_response_bytes=min(
                dispatch.MAX_RESPONSE_BYTES,
                int(self.response_memory.limit_bytes * SINGLE_RESPONSE_SHARE),
            ),
            max_resends=max_resends(self.table),
        )

    def account_weight(self, name: str) -> float:
        """Return the permitted rate of an account, 1 if it has no limit."""
        published_configuration = self.state.configuration
        accounts = (
            published_configuration.accounts if published_configuration else ()
        )
        for account in accounts:
            if account.name == name:
                return account.rate_per_s or 1.0
        return 1.0

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
            handle=self.handler.handle,
            may_run_concurrently=self.handler.may_run_concurrently,
            limits=lambda: self.state.limits,
            is_up_to_date=self.reader.is_up_to_date,
            names=self.names,
            record_refusal=self.handler.record_unread_request,
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
            'account_keys',
            'Keys of client accounts in force',
            lambda: len(self.state.accounts.by_digest),
        )
        add(
            'servers',
            'Registered servers',
            lambda: len(self.directory.servers),
        )
        add(
            'servers_leaving',
            'Servers that announced in a response that they leave',
            self.directory.count_leaving,
        )
        add(
            'servers_waiting',
            'Servers that want no request of this instance for some time',
            self.directory.count_waiting,
        )
        add('instances', 'Instances known alive', self.members.count)
        add('store_calls', 'Calls to the store', lambda: self.reader.calls)
        add(
            'store_answers',
            'Store reachable',
            lambda: self.reader.is_reachable,
        )
        add(
            'configuration_bytes_sent',
            'Bytes of configurations sent to other instances',
            lambda: self.peers.configurations.bytes_sent,
        )
        add(
            'configuration_requests',
            'Requests for configurations that did not arrive',
            lambda: self.peers.configurations.requests,
        )
        add(
            'configurations_received',
            'Configurations in force that other instances sent',
            lambda: self.peers.configurations.received,
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
        add(
            'routable',
            'Configuration and registrations received',
            lambda: int(self.state.is_routable()),
        )
        add(
            'behind_peers',
            'Another instance knows a newer change',
            lambda: int(self.reader.is_behind()),
        )

    def add_load_gauges(self) -> None:
        """Add the gauges of the load on this process."""
        add = self.metrics.add_gauge
        add(
            'requests_running',
            'Requests in progress',
            lambda: len(self.server.tasks),
        )
        add(
            'queue_seconds',
            'Longest estimated wait in the queues of a service; 0 without'
            ' admission control',
            self.loads.longest_wait_s,
        )
        add(
            'services_overloaded',
            'Services of which admission control refuses requests',
            self.admission.count_overloaded,
        )
        add(
            'caller_connections',
            'Open connections of callers',
            lambda: len(self.server.connections),
        )
        add(
            'peak_memory_bytes',
            'Highest resident memory',
            lambda: resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
        )
        add(
            'list_age_seconds',
            'Longest age of the list of servers at a choice since this page'
            ' was last read',
            self.forwarder.placer.take_longest_list_age,
        )
        add(
            'loop_delay_seconds',
            'Longest delay of the event loop since this page was last read',
            self.loop_delay.take_longest,
        )

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
                group.create_task(self.quotas.run()),
                group.create_task(self.watch_settings()),
                group.create_task(self.loop_delay.run()),
            ]
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGHUP, self.reload)
            await stopping.wait()
            self.stopping = True
            self.peers.leave()
            await shutdown.shut_down(
                self.server, self.table['shutdown'], self.end_requests
            )
            for task in tasks:
                task.cancel()
        ready_server.stop()
        metrics_server.stop()
        self.quotas.close()
        self.peers.close()
        self.links.close()
        self.client.close()
        return 0

    def end_requests(self) -> None:
        """End the running requests with final responses."""
        self.forwarder.ending = True
        self.server.end_requests()

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
        """Apply the settings that need no restart."""
        seeds = self.table['peers']['seeds']
        self.peers.set_seeds([parse_address(text) for text in seeds])
        self.budgets.set_settings(make_budget_settings(self.table))
        self.admission.set_settings(make_admission_settings(self.table))
        self.forwarder.max_resends = max_resends(self.table)
        self.quotas.set_settings(make_quota_settings(self.table))
        self.forwarder.placer.distances = make_distance_costs(self.table)
        self.hedger.table = self.table.get('hedging')

    def unready_reason(self) -> str:
        """Return why the instance is not ready, or an empty string."""
        if self.stopping:
            return 'stopping'
        if not self.state.is_routable():
            return 'no configuration'
        return ''


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
) -> retry_budget.BudgetSettings:
    """Return the settings of the retry budgets."""
    retries = table['retries']
    return retry_budget.BudgetSettings(
        retries['ratio'], retries['window_s'], retries.get('kept_credits')
    )


def make_admission_settings(
    table: settings.Settings,
) -> admission.AdmissionSettings | None:
    """Return the settings of admission control, None without its table."""
    if 'admission' not in table:
        return None
    return admission.AdmissionSettings(table['admission']['min_share'])


def max_resends(table: settings.Settings) -> int:
    """Return how often a request may go to a server that shed it before.

    Credits that expire are too few for it.
    """
    keeps_credits = 'kept_credits' in table['retries']
    return forwarding.MAX_RESENDS if keeps_credits else 0


def make_quota_settings(
    table: settings.Settings,
) -> quota.QuotaSettings | None:
    """Return the settings of quotas, or None if there are none."""
    quotas = table.get('quotas')
    if quotas is None:
        return None
    return quota.QuotaSettings(
        quotas['window_s'], quotas['over'], quotas['slack']
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
