"""Model of a fleet: real data paths, simulated servers, network and time."""

import asyncio
import itertools
import logging
import random
from typing import NamedTuple
from unittest import mock

import pycurl

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_common import outcomes
from citronshelf_entry import clock
from citronshelf_entry import dispatch
from citronshelf_entry import evidence
from citronshelf_entry import exchange
from citronshelf_entry import forwarding
from citronshelf_entry import instance_state
from citronshelf_entry import job as jobs
from citronshelf_entry import key_table
from citronshelf_entry import keyed
from citronshelf_entry import keys
from citronshelf_entry import metrics
from citronshelf_entry import service
from citronshelf_traffic import virtual_loop

DOCUMENT = b"""
format = 1
[pools.p]
slots_per_server = 2
connections_per_server = 330
floor_percent = 50
prefer = "nearest"
long_work_percent = 25
[services.s]
pool = "p"
retry_budget_percent = 100
hedge_budget_percent = 100
queue_limit_ms = 2000
[classes.view]
idempotent = true
expected_ms = 10
deadline_ms = 4000
[classes.issue]
idempotent = false
expected_ms = 10
deadline_ms = 4000
key = "optional"
[routes.view]
methods = ["GET"]
path = "/view"
service = "s"
class = "view"
[routes.issue]
methods = ["POST"]
path = "/issue"
service = "s"
class = "issue"
[accounts]
default_requests_per_second = 1000.0
default_burst = 1000
[cross_region]
policy = "spare"
link_percent = 20
max_body_bytes = 65536
"""
PARSED = instance_state.parse(DOCUMENT, 1)
LOCATION = fleet.Location('r', 'z')
SECRET = b's' * 32
INSTANCES = 2
CONNECT_TIMEOUT_S = 1.0


def response_body(work: str) -> bytes:
    """Return the complete response body for one piece of work."""
    return f'answer to {work}'.encode()


class NoIoSelector(virtual_loop.SkippingSelector):
    """Selector without system calls; no file is ever registered."""

    def select(self, timeout=None):
        self.now += max(0.0, timeout)
        return []


class NoIoLoop(virtual_loop.VirtualLoop):
    """Event loop in virtual time that makes no system call per iteration."""

    def __init__(self):
        super().__init__()
        self._selector = self.virtual = NoIoSelector()


class InFlightRequest:
    """One exchange between an instance and a server.

    ``phase`` is ``connecting``, ``sent``, ``executed`` or ``over``.
    """

    def __init__(self, upstream, upstream_request, started, started_s):
        self.upstream = upstream
        self.upstream_request = upstream_request
        self.exchange = started
        self.started_s = started_s
        self.phase = 'connecting'
        self.reused = not upstream_request.new_connection
        self.work = upstream_request.target.partition('?')[2]
        started.curl = object()
        started.abort = self.abort

    @property
    def is_pending(self):
        """Return whether the instance still waits for this exchange."""
        return not self.exchange.ended and self.upstream.alive

    def end(self, errno):
        if self.is_pending:
            self.exchange.curl = None
            self.exchange.end(errno)

    def abort(self, _curl):
        self.end(pycurl.E_ABORTED_BY_CALLBACK)
        if self.phase == 'connecting':
            self.phase = 'over'

    def send(self):
        """Establish the connection and write the request, as libcurl does."""
        if not self.is_pending:
            self.phase = 'over'
            return
        if self.exchange.on_ready_to_send() == pycurl.PREREQFUNC_OK:
            self.exchange.sent_bytes += 100
            self.phase = 'sent'
        else:
            self.phase = 'over'
            self.end(pycurl.E_ABORTED_BY_CALLBACK)

    def reset(self):
        """Reset the connection; libcurl resends once if it was reused."""
        if self.reused and self.is_pending:
            self.reused = False
            self.send()
            return
        self.phase = 'over'
        self.end(pycurl.E_RECV_ERROR)

    def respond(self, status, fields, body, declared=None):
        """Send a response; ``declared`` may differ from the body length."""
        self.phase = 'over'
        if not self.is_pending:
            return
        length = len(body) if declared is None else declared
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {length}', *fields]
        for line in [*lines, '']:
            self.exchange.on_header_line(f'{line}\r\n'.encode())
        self.exchange.on_body(body)
        self.end(0 if len(body) == length else pycurl.E_PARTIAL_FILE)

    def expire(self, now_s):
        """Time out the exchange under the same conditions as libcurl."""
        limit_s = self.upstream_request.timeout_s
        if self.phase == 'connecting':
            limit_s = min(limit_s, CONNECT_TIMEOUT_S)
        if self.is_pending and now_s - self.started_s >= limit_s:
            self.end(pycurl.E_OPERATION_TIMEDOUT)
            if self.phase == 'connecting':
                self.phase = 'over'


class Upstream:
    """Test double for ``UpstreamClient`` that records exchanges."""

    def __init__(self, world):
        self.world = world
        self.alive = True

    def start(self, upstream_request):
        started = exchange.Exchange(
            method=upstream_request.method,
            request_id=upstream_request.request_id,
            max_response_bytes=upstream_request.max_response_bytes,
            once=upstream_request.new_connection,
            may_send=upstream_request.may_send,
        )
        started_s = self.world.loop.time()
        self.world.in_flight.append(
            InFlightRequest(self, upstream_request, started, started_s)
        )
        return started

    def cancel(self, _address, _request_id):
        return None


class Message(NamedTuple):
    """A message in transit between entry daemons."""

    target: fleet.Address
    route: object
    data: bytes
    body: bytes


class Network:
    """Transport of one incarnation; ``World`` delivers its messages."""

    def __init__(self, world, address):
        self.world = world
        self.address = address

    async def send(self, address, data, body):
        self.world.messages.append(Message(address, self.address, data, body))

    def reply(self, route, data, body):
        self.world.messages.append(Message(route, None, data, body))

    def disconnect(self, _address):
        return None


class Link:
    """Link to a control daemon that always responds; ignores signals."""

    async def ensure_fresh(self):
        return True

    def send_drain_signal(self, _server_id):
        return None


class EntryProcess:
    """One incarnation of an entry daemon, built from the real classes.

    Only its connections to servers, to other daemons and to the control daemon
    are simulated.
    """

    def __init__(self, world, name, number):
        self.tasks = []
        self.address = fleet.Address('127.0.0.1', 7000 + int(name))
        self.incarnation = identity.Incarnation(
            name, 1000 + number, f'{number:016x}'
        )
        self.upstream = Upstream(world)
        self.state = instance_state.InstanceState(
            instance=name,
            location=LOCATION,
            store_region='r',
            link_megabits=30.0,
            rng=random.Random(number),
        )
        self.state.put_in_force(PARSED, 1)
        self.state.apply_update(
            local_link.ViewUpdate(self.incarnation, 1, VIEW)
        )
        entry_metrics = metrics.EntryMetrics()
        dispatcher = dispatch.Dispatcher(
            state=self.state,
            client=self.upstream,
            counter=evidence.EvidenceCounter(),
            link=Link(),
            checks=None,
            metrics=entry_metrics,
        )
        self.owner = keyed.KeyOwner(
            incarnation=self.incarnation,
            forward=self.address,
            signer=keys.KeySigner(secret=SECRET),
            table=key_table.KeyTable(clock=clock.now_s),
            run=lambda request: self.service.run_keyed(request),
        )
        network = Network(world, self.address)
        self.forwarder = forwarding.OwnerForwarder(
            incarnation=self.incarnation, transport=network
        )
        self.server = forwarding.ForwardServer(
            owner=self.owner, transport=network
        )
        self.service = service.CallerService(
            state=self.state,
            dispatcher=dispatcher,
            metrics=entry_metrics,
            owner=self.owner,
            forwarder=self.forwarder,
        )

    def end(self):
        """Simulate the exit of the process; its state is lost."""
        self.upstream.alive = False
        for task in (*self.tasks, *self.owner.tasks, *self.server.tasks):
            task.cancel()


VIEW = fleet.FleetView(
    1,
    tuple(
        fleet.ServerView(
            fleet.BackendServer(
                f'p-{n}', 'p', fleet.Address('127.0.0.1', 9000 + n), LOCATION
            ),
            fleet.Standing.ADMITTED,
            1.0,
        )
        for n in range(3)
    ),
    INSTANCES,
)


class Reply(NamedTuple):
    """The outcome that a caller received for a piece of work."""

    work: str
    outcome: object


class World:
    """Instances, servers, network and time, controlled by the test."""

    def __init__(self):
        self.loop = NoIoLoop()
        asyncio.set_event_loop(self.loop)
        self.patch = mock.patch.object(clock, 'now_s', self.loop.time)
        self.patch.start()
        # Logging would take most of the time of thousands of histories.
        logging.disable(logging.CRITICAL)
        self.executions = {}
        self.in_flight = []
        self.messages = []
        self.replies = []
        self.numbers = itertools.count(1)
        self.processes = {}
        for name in map(str, range(INSTANCES)):
            self.restart(name)

    def restart(self, name):
        """Start the next incarnation of an instance; end any earlier one."""
        if name in self.processes:
            self.processes[name].end()
        self.settle()
        self.processes[name] = EntryProcess(self, name, next(self.numbers))

    def settle(self):
        """Run 16 loop iterations, so that tasks reach their next wait."""

        async def run_ready_tasks():
            for _ in range(16):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_ready_tasks())

    def advance(self, seconds):
        """Advance time, then apply libcurl's timeouts."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for request in self.in_flight:
            request.expire(self.loop.time())
        self.settle()

    def call(self, name, coroutine, work):
        """Run a caller's request as a task of an instance."""
        task = self.loop.create_task(coroutine)
        self.processes[name].tasks.append(task)

        def record_reply(done):
            if not done.cancelled() and self.processes[name].upstream.alive:
                self.replies.append(Reply(work, done.result()))

        task.add_done_callback(record_reply)
        self.settle()

    def send_keyed(self, name, text, work):
        """Send work with a key to an instance."""
        process = self.processes[name]
        request = keyed.KeyedRequest(
            request_id=f'r{next(self.numbers)}',
            method='POST',
            target=f'/issue?{work}',
            host='',
            account='a',
            headers=(),
            deadline_ms=None,
            body=work.encode(),
        )
        key = process.owner.signer.read(text).ok

        async def run():
            outcome, _ = await process.service.run_or_forward(
                key, text, request, 4.0
            )
            return outcome

        self.call(name, run(), work)

    def send_plain(self, name, work, *, idempotent):
        """Send work without a key to an instance."""
        process = self.processes[name]
        method, path = ('GET', '/view') if idempotent else ('POST', '/issue')
        match = process.state.routes.match(method, '', path).ok
        job = jobs.make_job(
            match,
            request_id=f'r{next(self.numbers)}',
            method=method,
            target=f'{path}?{work}',
            fields=(),
            body=b'',
            account='a',
            deadline_ms=None,
        )
        self.call(name, process.service.dispatcher.run(job), work)

    def deliver(self, message):
        """Deliver a message to the incarnation now at its address."""
        process = next(
            x for x in self.processes.values() if x.address == message.target
        )
        if message.route is None:
            handler = process.forwarder.on_response
            arguments = (message.data, message.body)
        else:
            handler = process.server.on_request
            arguments = (message.route, message.data, message.body)
        self.loop.call_soon(handler, *arguments)
        self.settle()

    def execute(self, request):
        """Have a server execute the work of a request that it received."""
        count = self.executions.get(request.work, 0) + 1
        self.executions[request.work] = count
        request.phase = 'executed'

    def close(self):
        for process in self.processes.values():
            process.end()
        self.settle()
        logging.disable(logging.NOTSET)
        self.patch.stop()
        self.loop.close()

    def violation(self, once: set) -> str:
        """Describe a violated guarantee to callers; empty if all hold.

        Parameters
        ----------
        once : set of str
            Work that may run at most once.
        """
        for work in once:
            if self.executions.get(work, 0) > 1:
                return f'{work} ran twice'
        for work, outcome in self.replies:
            ran = self.executions.get(work, 0)
            match outcome:
                case outcomes.NotRun() if ran:
                    return f'{work} ran after "not run"'
                case outcomes.Response() if (
                    outcome.status == 200
                    and outcome.body != response_body(work)
                ):
                    return f'{work} got {outcome.body}'
                case outcomes.Response() if not ran:
                    return f'{work} has a response but never ran'
        return ''
