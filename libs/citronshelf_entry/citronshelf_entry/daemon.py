"""The entry daemon: assembles the parts of the data path."""

import asyncio

import zmq.asyncio

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import program
from citronshelf_common import settings as instance_settings
from citronshelf_entry import admin
from citronshelf_entry import caller_server
from citronshelf_entry import clock
from citronshelf_entry import control_link
from citronshelf_entry import dispatch
from citronshelf_entry import evidence
from citronshelf_entry import forward_link
from citronshelf_entry import forwarding
from citronshelf_entry import freshness
from citronshelf_entry import gc_monitor
from citronshelf_entry import instance_state
from citronshelf_entry import key_table
from citronshelf_entry import keyed
from citronshelf_entry import keys
from citronshelf_entry import metrics as entry_metrics
from citronshelf_entry import response_memory
from citronshelf_entry import server_checks
from citronshelf_entry import service
from citronshelf_entry import shutdown
from citronshelf_entry import upstream
from citronshelf_peering import links

DEFAULT_BALANCER_LAG_S = 5.0
DEFAULT_GRACE_S = 30.0
MAX_REPORTED_AGE_S = 1e6
# Time for sending the last responses to other instances before the exit.
FLUSH_MS = 500
# Limit on all responses while they are received: a fifth of the memory of the
# smallest instance.
MAX_RESPONSE_MEMORY_BYTES = 40 * 1024 * 1024


class EntryDaemon:
    """Data path of one instance.

    Parameters
    ----------
    settings : InstanceSettings
    """

    def __init__(self, *, settings: instance_settings.InstanceSettings):
        self.settings = settings
        instance = settings['instance']
        self.incarnation = identity.new_incarnation(instance=instance['name'])
        self.lease = freshness.ViewLease(clock=clock.now_s)
        self.metrics = entry_metrics.EntryMetrics()
        self.gc_monitor = gc_monitor.GcMonitor(metrics=self.metrics)
        self.counter = evidence.EvidenceCounter()
        self.context = zmq.asyncio.Context()
        self.state = instance_state.InstanceState(
            instance=instance['name'],
            location=fleet.Location(instance['region'], instance['zone']),
            store_region=instance['store_region'],
            link_megabits=instance['region_link_megabits'],
        )
        self.link = control_link.ControlLink(
            context=self.context,
            address=self.address('control', 'local'),
            incarnation=self.incarnation,
            lease=self.lease,
            on_update=self.apply_update,
            pop_counts=self.counter.pop_counts,
        )
        self.response_memory = response_memory.ResponseMemory(
            limit_bytes=MAX_RESPONSE_MEMORY_BYTES
        )
        self.client = upstream.UpstreamClient(memory=self.response_memory)
        self.dispatcher = dispatch.Dispatcher(
            state=self.state,
            client=self.client,
            counter=self.counter,
            link=self.link,
            checks=server_checks.ServerChecks(
                client=self.client, clock=clock.now_s
            ),
            metrics=self.metrics,
        )
        self.owner = keyed.KeyOwner(
            incarnation=self.incarnation,
            forward=self.address('entry', 'forward'),
            signer=keys.KeySigner(
                secret=bytes.fromhex(settings['secrets']['key_signing'])
            ),
            table=key_table.KeyTable(clock=clock.now_s),
            run=self.run_keyed,
        )
        self.authenticator, self.forward_link = self.make_forward_link()
        self.forwarder = forwarding.OwnerForwarder(
            incarnation=self.incarnation, transport=self.forward_link
        )
        self.forward_server = forwarding.ForwardServer(
            owner=self.owner, transport=self.forward_link
        )
        self.forward_link.on_connection_lost = (
            self.forwarder.on_connection_lost
        )
        self.forward_link.on_response = self.forwarder.on_response
        self.forward_link.on_request = self.forward_server.on_request
        self.service = service.CallerService(
            state=self.state,
            dispatcher=self.dispatcher,
            metrics=self.metrics,
            owner=self.owner,
            forwarder=self.forwarder,
        )
        self.callers = caller_server.CallerServer(
            route=self.service.route,
            handle=self.service.handle,
            on_disconnect=self.service.on_disconnect,
            record_duration=self.metrics.record_time,
        )
        self.add_gauges()

    def address(self, table: str, key: str) -> fleet.Address:
        """Return an address from the settings."""
        return instance_settings.parse_address(self.settings[table][key])

    def make_forward_link(self):
        """Return the authenticator and the link to other entry daemons."""
        secrets = self.settings['secrets']
        pair = links.KeyPair(
            secrets['curve_public'].encode(), secrets['curve_secret'].encode()
        )
        authenticator = forward_link.start_authenticator(self.context, pair)
        link = forward_link.ForwardLink(
            context=self.context,
            address=self.address('entry', 'forward'),
            pair=pair,
        )
        return authenticator, link

    async def run_keyed(self, request):
        """Run a keyed request.

        The key owner gets this method since it is created before the service.
        """
        return await self.service.run_keyed(request)

    def apply_update(self, update) -> None:
        """Apply an update; later requests for the view name its revision."""
        self.state.apply_update(update)
        self.link.revision = self.state.known_revision

    def add_gauges(self) -> None:
        """Register gauges for state that is held in memory."""
        table = self.owner.table
        self.metrics.add_gauge(
            'keys', 'Live idempotency keys', lambda: len(table.records)
        )
        self.metrics.add_gauge(
            'stored_answer_bytes',
            'Bytes of stored answers',
            lambda: table.stored_bytes,
        )
        self.metrics.add_gauge(
            'response_bytes',
            'Bytes held for responses that are being received',
            lambda: self.response_memory.total_bytes,
        )
        self.metrics.add_gauge(
            'requests_in_flight',
            'Requests of callers that are not answered yet',
            lambda: len(self.callers.requests),
        )
        self.metrics.add_gauge(
            'view_age_seconds',
            'Age of the view of control',
            lambda: min(self.lease.age_s(), MAX_REPORTED_AGE_S),
        )
        self.metrics.add_gauge(
            'document_revision',
            'Revision of the document in force',
            lambda: self.state.revision,
        )

    def unready_reason(self) -> str:
        """Return why the instance is not ready for callers; empty if it is."""
        if self.callers.closing:
            return 'stopping'
        if self.state.rules is None:
            return 'no document in force'
        if self.lease.is_control_lost():
            return 'no view from control'
        return ''

    async def serve(self, stopping: asyncio.Event) -> int:
        """Serve until the event is set, then shut down gracefully.

        Returns
        -------
        int
            Exit status of the process.
        """
        admin_server = admin.start_admin(
            address=self.address('entry', 'admin'),
            reason=self.unready_reason,
            metrics=self.metrics,
            state=self.state,
        )
        self.callers.listen(self.address('entry', 'listen'))
        running = [
            program.start_task(self.link.run(), name='control-link'),
            program.start_task(self.forward_link.run(), name='forward-link'),
        ]
        self.gc_monitor.start()
        await stopping.wait()
        entry = self.settings['entry']
        await shutdown.shut_down(
            callers=self.callers,
            owner=self.owner,
            forward_server=self.forward_server,
            service=self.service,
            times=shutdown.ShutdownTimes(
                balancer_lag_s=entry.get(
                    'balancer_lag_s', DEFAULT_BALANCER_LAG_S
                ),
                grace_s=entry.get('grace_s', DEFAULT_GRACE_S),
            ),
        )
        self.gc_monitor.stop()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        admin_server.stop()
        self.authenticator.stop()
        self.client.close()
        self.context.destroy(linger=FLUSH_MS)
        return 0
