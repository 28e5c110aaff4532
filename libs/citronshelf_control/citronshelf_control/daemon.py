"""Control daemon of one instance; connects its components."""

import asyncio
import logging
import random
import time

from expression import Error
from expression import Result

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import settings
from citronshelf_control import admin
from citronshelf_control import entry_link
from citronshelf_control import events
from citronshelf_control import fleet_list
from citronshelf_control import metrics
from citronshelf_control import platform_values
from citronshelf_control import prober
from citronshelf_control import standings
from citronshelf_control import status
from citronshelf_document import parsing
from citronshelf_peering import links
from citronshelf_peering import neighbour_table
from citronshelf_peering import peering
from citronshelf_peering import timers

LOG = logging.getLogger(__name__)


def check_document(body: bytes) -> Result:
    """Parse a document; an ``Error`` holds its faults as a tuple of texts."""
    parsed = parsing.parse_document(body, 'document')
    if parsed.is_error():
        return Error(tuple(fault.render() for fault in parsed.error))
    return parsed


def check_list(body: bytes) -> Result:
    """Parse a fleet list; an ``Error`` holds a tuple with one fault text."""
    parsed = fleet_list.parse_list(body)
    return Error((parsed.error,)) if parsed.is_error() else parsed


class ControlDaemon:
    """Connects platform, peers, health board, prober and entry daemon.

    Parameters
    ----------
    table : InstanceSettings
        Validated settings.
    """

    def __init__(self, *, table: settings.InstanceSettings):
        self.table = table
        self.timers = timers.SystemTimers()
        instance = table['instance']
        self.identity = neighbour_table.Identity(
            identity.new_incarnation(instance=instance['name']),
            fleet.Location(instance['region'], instance['zone']),
            settings.parse_address(table['control']['peer']),
            settings.parse_address(table['control']['admin']),
        )
        self.standings = standings.Standings(
            own_zone=instance['zone'], clock=self.timers.clock
        )
        self.applied_list: object = None
        self.control_metrics = metrics.ControlMetrics()

    async def serve(self, stopping: asyncio.Event) -> int:
        """Run until ``stopping`` is set; return exit status 0."""
        self.open()
        try:
            server = admin.start_admin(self.identity.admin, self)
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(self.peering.run()),
                    group.create_task(self.entry_link.run()),
                    group.create_task(self.entry_link.watch_entry()),
                    group.create_task(self.prober.run()),
                    group.create_task(self.run_health_steps()),
                ]
                await stopping.wait()
                for task in tasks:
                    task.cancel()
            server.stop()
        finally:
            self.close()
        return 0

    def open(self) -> None:
        """Create the components; bind the peer socket and the local link."""
        table = self.table
        secrets = table['secrets']
        keys = links.KeyPair(
            secrets['curve_public'].encode(), secrets['curve_secret'].encode()
        )
        self.links = links.ZmqLinks(address=self.identity.peer, keys=keys)
        self.platform = platform_values.PlatformClient(
            address=settings.parse_address(table['platform']['address']),
            clock=self.timers.clock,
        )
        self.prober = prober.Prober(
            wall_clock=time.time,
            on_result=self.handle_probe_result,
            ejected=self.standings.ejected_without_traffic,
        )
        self.peering = peering.Peering(
            identity=self.identity,
            seeds=[settings.parse_address(s) for s in table['peers']['seeds']],
            links=self.links,
            timers=self.timers,
            rng=random.Random(),
            platform=self.platform,
            check_document=check_document,
            check_list=check_list,
            listener=self,
        )
        self.entry_link = entry_link.EntryLink(
            address=settings.parse_address(table['control']['local']),
            incarnation=self.identity.incarnation,
            clock=self.timers.clock,
            source=self,
        )

    def close(self) -> None:
        """Close the sockets and the platform client."""
        self.entry_link.close()
        self.links.close()
        self.platform.close()

    async def run_health_steps(self) -> None:
        """Step the health board periodically; push the view after a change."""
        while True:
            await asyncio.sleep(standings.STEP_INTERVAL_S)
            # The expiry of a leaving mark does not trigger `on_change`, so it
            # is detected here.
            servers_changed = self.update_servers()
            if self.standings.step() or servers_changed:
                self.entry_link.push_view()

    def on_change(self) -> None:
        """Apply a new document, fleet list, leaving mark or confirmation.

        Steps the health board and pushes the view to the entry daemon.
        """
        self.standings.set_document(self.peering.document.parsed)
        self.update_servers()
        self.standings.step()
        self.entry_link.push_view()

    def update_servers(self) -> bool:
        """Apply the current fleet list and leaving marks.

        Returns
        -------
        bool
            Whether the fleet list or the leaving servers changed.
        """
        current_list = self.peering.fleet_list.parsed
        marked_leaving = self.peering.marks.current()
        if current_list is not None and current_list is not self.applied_list:
            self.applied_list = current_list
            self.apply_list(current_list)
        return self.standings.set_servers(current_list, marked_leaving)

    def apply_list(self, current_list: fleet_list.FleetList) -> None:
        """Accept evidence for the servers of a new list; plan their probes.

        Logs how many rows of the list were ignored, and why the first was.
        """
        if current_list.faults:
            common_events.log_event(
                LOG,
                events.LIST_ROWS_IGNORED,
                rows=len(current_list.faults),
                reason=current_list.faults[0][:200],
            )
        self.peering.evidence_pool.known_servers = frozenset(
            server.server_id for server in current_list.servers
        )
        self.prober.plan = prober.ProbePlan(
            own_instance=self.identity.incarnation.instance,
            instances=[entry.instance for entry in current_list.entries],
            servers=current_list.servers,
        )

    def on_evidence(self, zone: str, source: str, counts) -> None:
        """Record increments of the evidence of a zone."""
        self.standings.record(zone, source, counts)

    def handle_probe_result(self, server_id: str, result: str) -> None:
        """Record the result of a probe by this instance.

        A draining server is marked as leaving.
        """
        self.standings.record_probe(server_id, result == 'ok')
        if result == 'draining':
            self.peering.mark_leaving(server_id)

    def is_confirmed(self) -> bool:
        """Return whether the view may be sent to the entry daemon."""
        return self.peering.confirmation.is_confirmed()

    def view(self) -> fleet.FleetView:
        """Return the current view of the fleet."""
        return fleet.FleetView(
            self.peering.document.revision(),
            self.standings.views(),
            len(self.peering.roster.entries),
        )

    def document(self) -> bytes:
        """Return the document in force; empty if there is none."""
        held = self.peering.document.held
        return held.body if held else b''

    def record_outcomes(self, counts: tuple[fleet.OutcomeCounts, ...]) -> None:
        """Add outcome counts of the entry daemon to the pooled evidence."""
        self.peering.evidence_pool.record(counts)

    def handle_drain_signal(self, server_id: str) -> None:
        """Mark a server as leaving; ignored if it is not listed."""
        if server_id in self.peering.evidence_pool.known_servers:
            self.peering.mark_leaving(server_id)

    def status(self) -> dict:
        """Return the status as shown by ``GET /status``."""
        return status.make_status(self)

    def metrics(self):
        """Return the registry of metrics, set to the current values."""
        status.fill_metrics(self.control_metrics, self)
        return self.control_metrics.registry
