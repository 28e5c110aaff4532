"""Stand-in of a backend server: real slots, switched gray failures."""

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
from citronshelf_standins import answers
from citronshelf_standins import events
from citronshelf_standins import faults as fault_switches
from citronshelf_standins import work

LOG = logging.getLogger(__name__)
EXIT_STATUS_AFTER_EXECUTION = 70
MAX_BODY_BYTES = 16 * 1024 * 1024


class ServerHandler(tornado.web.RequestHandler):
    """Base of all handlers: shares the worker and states the load."""

    def initialize(self, worker: work.Worker, name: str) -> None:
        """Take the shared state."""
        self.worker = worker
        self.name = name

    def set_load_headers(self) -> None:
        """Set the headers that state load and draining."""
        load = self.worker.load()
        text = 'busy={busy} slots={slots} queue={queue}'.format(**load)
        self.set_header('X-Load', text)
        if self.worker.draining:
            self.set_header('X-Draining', '1')

    def compute_etag(self):
        """Send no ETag."""
        return None


class WorkHandler(ServerHandler):
    """Any other path: real work."""

    async def get(self) -> None:
        """Work without a body."""
        await self.run_work()

    async def post(self) -> None:
        """Work with a body."""
        await self.run_work()

    def parse_work_request(self) -> work.WorkRequest:
        """Read what the request asks."""
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
        """Run the work as a task that a cancellation can end."""
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
        """Answer with the "not run" marker."""
        self.set_status(503)
        self.set_header('X-Not-Run', reason)
        self.set_load_headers()
        self.finish(f'not run: {reason}\n')

    async def respond(
        self, request: work.WorkRequest, executions: int
    ) -> None:
        """Answer executed work, as the faults have it."""
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
        """Return a sheet of the stated size or a short JSON body."""
        size = self.get_query_argument('bytes', None)
        if size:
            self.set_header('Content-Type', 'application/octet-stream')
            return answers.sheet_bytes(int(size))
        self.set_header('Content-Type', 'application/json')
        return answers.work_body(self.name, request.work_id, executions)

    async def send_malformed(self, kind: str, body: bytes) -> None:
        """Write a response that is not whole and close the connection."""
        stream = self.detach()
        try:
            await stream.write(answers.malformed_response(kind, body))
        except tornado.iostream.StreamClosedError:
            return
        stream.close()


class HealthHandler(ServerHandler):
    """``GET /_server/health``."""

    def get(self) -> None:
        """Answer with the health that the server claims."""
        self.set_load_headers()
        self.finish({'status': self.worker.health()})


class LoadHandler(ServerHandler):
    """``GET /_server/load``."""

    def get(self) -> None:
        """Answer with the load that the server claims."""
        self.finish(self.worker.load())


class CancelHandler(ServerHandler):
    """``DELETE /_server/requests/<id>``."""

    def delete(self, request_id: str) -> None:
        """Cancel a request; its work may have run all the same."""
        found = self.worker.cancel(request_id)
        self.set_status(204 if found else 404)


class StandinHandler(ServerHandler):
    """``/_standin/faults``, ``/_standin/drain``, ``/_standin/executions``."""

    def put(self, resource: str) -> None:
        """Switch faults or draining."""
        if resource == 'drain':
            self.worker.draining = json.loads(self.request.body or b'true')
            self.finish({})
            return
        try:
            switches = msgspec.json.decode(
                self.request.body, type=fault_switches.ServerFaults
            )
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(f'{error}\n')
            return
        self.worker.faults = switches
        log_events.log_event(
            LOG, events.SERVER_FAULTS_SET, server=self.name, faults=switches
        )
        self.finish({})

    def get(self, resource: str) -> None:
        """Answer with the executions by work identity."""
        self.finish(
            {
                'executions': dict(self.worker.executions),
                'shed': self.worker.shed,
                'cancelled': self.worker.cancelled,
            }
        )


def log_execution(server: str, request: work.WorkRequest) -> None:
    """Log an execution; the log outlives a killed server."""
    log_events.log_event(
        LOG,
        events.WORK_EXECUTED,
        server=server,
        work=request.work_id,
        request=request.request_id,
        at_ms=int(time.time() * 1000),
    )


def make_application(worker: work.Worker, name: str):
    """Return the application of one server."""
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
    """Return the parser of the command line."""
    parser = program.make_parser(
        name='citronshelf-standin-backend',
        package='citronshelf-standins',
        about='Stand-in of a backend server, for development and tests.',
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
    """Run one backend server stand-in."""
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
