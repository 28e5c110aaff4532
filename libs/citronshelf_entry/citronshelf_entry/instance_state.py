"""The operators' document, its routes and the fleet view in force."""

import asyncio
import logging
import random

from expression import Ok
from expression import Result

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import local_link
from citronshelf_document import parsing
from citronshelf_document import routing
from citronshelf_entry import events
from citronshelf_entry import traffic_rules

LOG = logging.getLogger(__name__)


class InstanceState:
    """Document and fleet view in force; document revisions never decrease.

    Parameters
    ----------
    instance : str
    location : Location
    store_region : str
    link_megabits : float
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        instance: str,
        location: fleet.Location,
        store_region: str,
        link_megabits: float,
        rng: random.Random | None = None,
    ):
        self.instance = instance
        self.location = location
        self.store_region = store_region
        self.link_megabits = link_megabits
        self.rng = rng
        self.revision = 0
        self.known_revision = 0
        self.parsing: set[asyncio.Task] = set()
        self.routes: routing.RouteTable | None = None
        self.rules: traffic_rules.TrafficRules | None = None
        self.view: fleet.FleetView | None = None

    def apply_update(self, update: local_link.ViewUpdate) -> None:
        """Apply an update from the control daemon."""
        revision = update.view.revision
        if update.document is not None and revision > self.known_revision:
            self.known_revision = revision
            self.apply_document(update.document, revision)
        if self.rules is not None and update.view != self.view:
            self.rules.set_view(update.view)
        self.view = update.view

    def apply_document(self, data: bytes, revision: int) -> None:
        """Parse a document and put it in force.

        Parsing 1 MB takes seconds, so it runs in a thread while requests are
        served under the previous document. The first document is parsed
        directly, since no request can be served without one.
        """
        if self.rules is None:
            self.put_in_force(parse(data, revision), revision)
            return
        task = asyncio.create_task(self.parse_in_thread(data, revision))
        self.parsing.add(task)
        task.add_done_callback(self.parsing.discard)

    async def parse_in_thread(self, data: bytes, revision: int) -> None:
        """Parse a document in a thread and put it in force.

        It is ignored unless it is newer than the document then in force.
        """
        result = await asyncio.to_thread(parse, data, revision)
        if revision > self.revision:
            self.put_in_force(result, revision)

    def put_in_force(self, result: Result, revision: int) -> None:
        """Put a parsed document in force, or log why it is refused."""
        if result.is_error():
            log_events.log_event(
                LOG,
                events.DOCUMENT_REFUSED,
                revision=revision,
                reason=result.error[0].render(),
            )
            return
        document, self.routes = result.ok
        if self.rules is None:
            self.rules = traffic_rules.TrafficRules(
                instance=self.instance,
                location=self.location,
                store_region=self.store_region,
                link_megabits=self.link_megabits,
                document=document,
                rng=self.rng,
            )
            if self.view is not None:
                self.rules.set_view(self.view)
        else:
            self.rules.set_document(document)
        self.revision = revision
        log_events.log_event(LOG, events.DOCUMENT_IN_FORCE, revision=revision)


def parse(data: bytes, revision: int) -> Result:
    """Return ``Ok`` with the document and its routes, or its faults."""
    parsed = parsing.parse_document(data, f'revision {revision}')
    if parsed.is_error():
        return parsed
    return Ok((parsed.ok, routing.RouteTable(document=parsed.ok)))
