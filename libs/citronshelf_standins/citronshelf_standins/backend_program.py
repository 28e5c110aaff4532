"""Stand-in for a backend server with limited slots and injected faults."""

import asyncio
import json
import logging
import os
import random
import time

import msgspec
import tornado.iostream
import tornado.web

from citronshelf_common import events as log_events
from citronshelf_common import program
from citronshelf_common import settings
from citronshelf_standins import events
from citronshelf_standins import faults as fault_settings
from citronshelf_standins import responses
from citronshelf_standins import work

LOG = logging.getLogger(__name__)
EXIT_STATUS_AFTER_EXECUTION = 70
MAX_BODY_BYTES = 16 * 1024 * 1024


class ServerHandler(tornado.web.RequestHandler):
    """Base class of all handlers, with the worker and the load headers."""

    def initialize(self, worker: work.Worker, name: str) -> None:
        """Set the worker and server name shared by all handlers.

        Responses return the request's ``X-Request-Id``.
        """
        self.worker = worker
        self.name = name
        request_id = self.request.headers.get('X-Request-Id')
        if request_id:
            self.set_header('X-Request-Id', request_id)

    def set_load_headers(self) -> None:
        """Set ``X-Load`` and what the server announces about itself.

        That is ``X-Draining`` for ``citronshelf-entry`` and ``X-Leaving`` for
        ``citronshelf-instance``.
        """
        load = self.worker.load()
        text = 'busy={busy} slots={slots} queue={queue}'.format(**load)
        self.set_header('X-Load', text)
        if self.worker.draining:
            self.set_header('X-Draining', '1')
        active = self.worker.active_faults()
        if self.worker.draining or active.get('announce_leaving'):
            self.set_header('X-Leaving', '1')

    def compute_etag(self):
        """Return None, so that responses carry no ETag."""
        return None


class WorkHandler(ServerHandler):
    """Executes work at every path that no other handler serves."""

    async def get(self) -> None:
        """Execute a request that has no body."""
        await self.run_work()

    async def post(self) -> None:
        """Execute a request that has a body; the body is ignored."""
        await self.run_work()

    def parse_work_request(self) -> work.WorkRequest:
        """Parse the headers and the ``ms`` query argument.

        The work ID defaults to the request ID.
        """
        headers = self.request.headers
        request_id = headers.get('X-Request-Id', '')
        duration = self.get_query_argument('ms', None)
        deadline = headers.get('X-Deadline-Ms')
        return work.WorkRequest(
            request_id,
            headers.get('X-Work-Id', request_id),
            float(duration) if duration else None,
            float(deadline) if deadline else None,
        )

    async def run_work(self) -> None:
        """Run the work in a task, so that ``CancelHandler`` can cancel it.

        Responds with status 499 if the work is cancelled.
        """
        request = self.parse_work_request()
        task = asyncio.ensure_future(self.worker.run(request))
        self.worker.running[request.request_id] = task
        try:
            result = await task
        except asyncio.CancelledError:
            self.set_status(499, 'Cancelled')
            return
        finally:
            self.worker.running.pop(request.request_id, None)
        if result.is_error():
            self.refuse(result.error)
            return
        await self.respond(request, result.ok)

    def refuse(self, reason: str) -> None:
        """Respond with 503 and the reason in ``X-Not-Run``.

        A fault adds ``Retry-After``.
        """
        self.set_status(503)
        self.set_header('X-Not-Run', reason)
        retry_after_s = self.worker.active_faults().get('retry_after_s')
        if retry_after_s is not None:
            self.set_header('Retry-After', f'{retry_after_s:g}')
        self.set_load_headers()
        self.finish(f'not run: {reason}\n')

    async def respond(
        self, request: work.WorkRequest, executions: int
    ) -> None:
        """Respond after the execution, subject to the active faults."""
        active = self.worker.active_faults()
        if active.get('die_after_execution'):
            log_events.log_event(
                LOG,
                events.SERVER_KILLED,
                server=self.name,
                work=request.work_id,
            )
            os._exit(EXIT_STATUS_AFTER_EXECUTION)
        await asyncio.sleep(active.get('late_ms', 0.0) / 1000)
        if active.get('close_after_execution'):
            self.request.connection.stream.close()
            return
        if self.worker.rng.random() < active.get('fail_share', 0.0):
            self.set_status(500)
            self.set_load_headers()
            self.finish('internal error\n')
            return
        body = self.response_body(request, executions)
        kind = active.get('truncate', 'none')
        if kind != 'none':
            await self.send_malformed(kind, body)
            return
        self.set_load_headers()
        self.finish(body)

    def response_body(
        self, request: work.WorkRequest, executions: int
    ) -> bytes:
        """Return the body and set its content type.

        The body is a pattern of the size in the query argument ``bytes``, or
        the JSON of ``responses.work_body`` without this argument.
        """
        size = self.get_query_argument('bytes', None)
        if size:
            self.set_header('Content-Type', 'application/octet-stream')
            return responses.pattern_bytes(int(size))
        self.set_header('Content-Type', 'application/json')
        return responses.work_body(self.name, request.work_id, executions)

    async def send_malformed(self, kind: str, body: bytes) -> None:
        """Write a malformed response and close the connection."""
        stream = self.detach()
        try:
            await stream.write(responses.malformed_response(kind, body))
        except tornado.iostream.StreamClosedError:
            return
        stream.close()


class HealthHandler(ServerHandler):
    """Reports the health: ``GET /_server/health``."""

    def get(self) -> None:
        """Respond with the health to report, which a fault may override."""
        self.set_load_headers()
        self.finish({'status': self.worker.health()})


class LoadHandler(ServerHandler):
    """Reports the load: ``GET /_server/load``."""

    def get(self) -> None:
        """Respond with the load to report; a fault may override ``busy``."""
        self.finish(self.worker.load())


class CancelHandler(ServerHandler):
    """Cancels requests: ``DELETE /_server/requests/<id>``."""

    def delete(self, request_id: str) -> None:
        """Cancel a queued or running request.

        Responds with 204, or with 404 if there is no such request.
        """
        found = self.worker.cancel(request_id)
        self.set_status(204 if found else 404)


class StandinHandler(ServerHandler):
    """Control endpoints of the stand-in, used by tests.

    ``/_standin/faults``, ``/_standin/drain`` and ``/_standin/executions``.
    """

    def put(self, resource: str) -> None:
        """Set draining (``drain``) or replace the faults (other resources).

        The body is JSON; an empty one for ``drain`` means true. Responds with
        400 if the faults are invalid.
        """
        if resource == 'drain':
            self.worker.draining = json.loads(self.request.body or b'true')
            self.finish({})
            return
        try:
            new_faults = msgspec.json.decode(
                self.request.body, type=fault_settings.ServerFaults
            )
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(f'{error}\n')
            return
        self.worker.faults = new_faults
        log_events.log_event(
            LOG, events.SERVER_FAULTS_SET, server=self.name, faults=new_faults
        )
        self.finish({})

    def get(self, resource: str) -> None:
        """Respond with the executions by work ID and with total counts.

        The totals are those of refused work, under ``shed``, and of cancelled
        requests. The response is the same for every resource.
        """
        self.finish(
            {
                'executions': dict(self.worker.executions),
                'shed': self.worker.refused,
                'cancelled': self.worker.cancelled,
            }
        )


def log_execution(server: str, request: work.WorkRequest) -> None:
    """Log an execution; the log remains if the server is killed."""
    log_events.log_event(
        LOG,
        events.WORK_EXECUTED,
        server=server,
        work=request.work_id,
        request=request.request_id,
        at_ms=int(time.time() * 1000),
    )


def make_application(worker: work.Worker, name: str):
    """Return the web application of one server."""
    shared = {'worker': worker, 'name': name}
    return tornado.web.Application(
        [
            (r'/_server/health', HealthHandler, shared),
            (r'/_server/load', LoadHandler, shared),
            (r'/_server/requests/(.+)', CancelHandler, shared),
            (r'/_standin/(faults|drain|executions)', StandinHandler, shared),
            (r'/.*', WorkHandler, shared),
        ],
        log_function=lambda handler: None,
    )


def make_parser():
    """Return the command-line parser."""
    parser = program.make_parser(
        name='citronshelf-standin-backend',
        package='citronshelf-standins',
        about='Stand-in for a backend server, for development and tests.',
    )
    parser.add_argument('--listen', required=True, metavar='IP:PORT')
    parser.add_argument('--name', required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--queue', type=int, default=4)
    parser.add_argument('--work-ms', type=float, default=5.0)
    parser.add_argument('--cold-s', type=float, default=0.0)
    parser.add_argument('--seed', type=int, default=0)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one backend server stand-in; return the exit status."""
    options = make_parser().parse_args(arguments)
    log_events.configure_logging()
    address = settings.parse_address(options.listen)

    async def serve(stopping: asyncio.Event) -> int:
        worker = work.Worker(
            settings=work.WorkSettings(
                options.slots, options.queue, options.work_ms, options.cold_s
            ),
            clock=time.monotonic,
            rng=random.Random(options.seed),
            on_execution=lambda request: log_execution(options.name, request),
        )
        server = make_application(worker, options.name).listen(
            address.port, address.ip, max_buffer_size=MAX_BODY_BYTES
        )
        await stopping.wait()
        server.stop()
        await server.close_all_connections()
        return 0

    return program.run_daemon(
        name='citronshelf-standin-backend', serve=serve, server=options.name
    )
