"""Stand-in for the platform: serves published values and injects faults."""

import asyncio
import json
import logging
import time

import tornado.web

from citronshelf_common import events as log_events
from citronshelf_common import program
from citronshelf_common import settings
from citronshelf_standins import events
from citronshelf_standins import read_counter
from citronshelf_standins import store

LOG = logging.getLogger(__name__)
# Upper bound of the wait that a watch may request.
MAX_WATCH_S = 60.0


class ValueHandler(tornado.web.RequestHandler):
    """Read or watch a value: ``GET /v1/values/<name>``."""

    def initialize(self, values, reads):
        """Set the store and the read counter."""
        self.values = values
        self.reads = reads

    async def get(self, name: str) -> None:
        """Respond with the value and its revision.

        Other statuses: 304 if the wait ends without a revision above
        ``after``, 429 over the read rate limit, 503 while the fault ``away``
        is set.
        """
        if not self.reads.try_read():
            log_events.log_event(
                LOG,
                events.READ_LIMITED,
                reads_per_second=self.reads.reads_in_second,
            )
            self.send_error(429)
            return
        if self.values.faults.get('away'):
            self.send_error(503)
            return
        value = await self.wait_for_value(name)
        if value is None:
            self.set_status(304)
            return
        if self.values.faults.get('away'):
            self.send_error(503)
            return
        self.set_header('Revision', str(value.revision))
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(value.body)

    async def wait_for_value(self, name: str):
        """Return the value once its revision is above ``after``, or None.

        Waits for such a revision up to ``wait_ms`` and at most
        ``MAX_WATCH_S``. ``after`` and ``wait_ms`` are query arguments; without
        them any revision is returned and there is no wait.
        """
        after_revision = int(self.get_argument('after', '-1'))
        wait_s = int(self.get_argument('wait_ms', '0')) / 1000
        current = self.values.read(name)
        if current is not None and current.revision > after_revision:
            return current
        if wait_s <= 0:
            return None
        return await self.values.watch(
            name, after_revision, min(wait_s, MAX_WATCH_S)
        )

    def compute_etag(self):
        """Return None: revisions identify values, so no ETag is needed."""
        return None


class PublishHandler(tornado.web.RequestHandler):
    """Publish a value: ``PUT /_standin/values/<name>``."""

    def initialize(self, values):
        """Set the store."""
        self.values = values

    async def put(self, name: str) -> None:
        """Publish the body under the next revision and respond with it.

        With the query argument ``revision``, publishes under that revision,
        even if it does not increase, and without the size check. Otherwise
        responds with 413 if the value is too large.
        """
        forced_revision = self.get_argument('revision', None)
        if forced_revision is not None:
            value = store.Value(int(forced_revision), self.request.body)
            revision = await self.values.append(name, value)
            self.finish(str(revision))
            return
        result = await self.values.publish(name, self.request.body)
        if result.is_error():
            self.set_status(413)
            self.finish(result.error)
            return
        log_events.log_event(
            LOG,
            events.VALUE_PUBLISHED,
            name_of_value=name,
            revision=result.ok,
            bytes=len(self.request.body),
        )
        self.finish(str(result.ok))


class FaultsHandler(tornado.web.RequestHandler):
    """Sets the injected faults and reports read counts.

    Serves ``/_standin/faults``.
    """

    def initialize(self, values, reads):
        """Set the store and the read counter."""
        self.values = values
        self.reads = reads

    async def put(self) -> None:
        """Replace all injected faults with those in the JSON body."""
        faults = json.loads(self.request.body)
        await self.values.set_faults(faults)
        log_events.log_event(LOG, events.PLATFORM_FAULTS_SET, faults=faults)
        self.finish({})

    def get(self) -> None:
        """Respond with the injected faults and the read counts."""
        self.finish(
            {
                'faults': self.values.faults,
                'reads': self.reads.total,
                'highest_reads_per_second': self.reads.highest_per_second,
            }
        )


def make_application() -> tornado.web.Application:
    """Return the web application, with an empty store."""
    values = store.Store(clock=time.monotonic)
    reads = read_counter.ReadCounter(clock=time.monotonic)
    shared = {'values': values, 'reads': reads}
    return tornado.web.Application(
        [
            (r'/v1/values/([a-z0-9-]+)', ValueHandler, shared),
            (
                r'/_standin/values/([a-z0-9-]+)',
                PublishHandler,
                {'values': values},
            ),
            (r'/_standin/faults', FaultsHandler, shared),
        ],
        log_function=lambda handler: None,
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the platform stand-in; return the exit status."""
    parser = program.make_parser(
        name='citronshelf-standin-platform',
        package='citronshelf-standins',
        about='Stand-in for the platform, for development and tests.',
    )
    parser.add_argument('--listen', required=True, metavar='IP:PORT')
    options = parser.parse_args(arguments)
    log_events.configure_logging()
    address = settings.parse_address(options.listen)

    async def serve(stopping: asyncio.Event) -> int:
        server = make_application().listen(
            address.port, address.ip, max_buffer_size=8 * 1024 * 1024
        )
        await stopping.wait()
        server.stop()
        return 0

    return program.run_daemon(
        name='citronshelf-standin-platform', serve=serve, listen=options.listen
    )
