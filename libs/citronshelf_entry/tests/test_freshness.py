"""Tests of the view lease, health checks, control link and evidence."""

import asyncio
from types import SimpleNamespace

import fleet_model
import pycurl
import pytest
import zmq
import zmq.asyncio

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_common import outcomes
from citronshelf_entry import classify
from citronshelf_entry import clock
from citronshelf_entry import control_link
from citronshelf_entry import evidence
from citronshelf_entry import freshness
from citronshelf_entry import server_checks


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class TestViewLease:
    """The age of the fleet view is counted from the request for it."""

    def setup_method(self):
        self.clock = Clock()
        self.lease = freshness.ViewLease(clock=self.clock)

    def test_age_counts_from_the_request(self):
        number = self.lease.request_refresh()
        self.clock.now_s += 1.5
        self.lease.detect_suspension()
        self.lease.confirm(number)
        assert self.lease.is_fresh()
        self.clock.now_s += 0.6
        self.lease.detect_suspension()
        assert not self.lease.is_fresh()

    def test_unsolicited_update_does_not_renew(self):
        self.lease.confirm(0)
        assert not self.lease.is_fresh()

    def test_suspension_ends_the_lease(self):
        """A response queued during a suspension must not renew the lease."""
        number = self.lease.request_refresh()
        self.clock.now_s += 2.5
        assert not self.lease.is_fresh()
        assert self.lease.detect_suspension() == 2.5
        self.lease.confirm(number)
        assert not self.lease.is_fresh()

    def test_age_of_oldest_pending_request(self):
        """An unresponsive control daemon must not delay every request."""
        self.lease.confirm(self.lease.request_refresh())
        self.lease.request_refresh()
        self.clock.now_s += 0.5
        self.lease.request_refresh()
        self.clock.now_s += 0.6
        assert round(self.lease.oldest_pending_s(), 6) == 1.1

    def test_response_closes_earlier_requests(self):
        self.lease.request_refresh()
        self.clock.now_s += 0.5
        self.lease.confirm(self.lease.request_refresh())
        assert self.lease.oldest_pending_s() == 0.0

    def test_control_is_lost_once_the_view_is_too_old(self):
        self.lease.confirm(self.lease.request_refresh())
        self.clock.now_s += 9.9
        assert not self.lease.is_control_lost()
        self.clock.now_s += 0.2
        assert self.lease.is_control_lost()


class Checks:
    """Health checks with fixed results."""

    def __init__(self, usable):
        self.usable = usable
        self.checked = []

    async def is_usable(self, server):
        self.checked.append(server.server_id)
        return server.server_id in self.usable


class StaleLink(fleet_model.Link):
    """Link to a control daemon that does not respond."""

    async def ensure_fresh(self):
        return False


@pytest.fixture
def world():
    made = fleet_model.World()
    yield made
    made.close()


class TestDispatchWithoutControl:
    """Without a fresh view only servers that pass a check get work."""

    def set_stale(self, world, usable):
        dispatcher = world.processes['0'].service.dispatcher
        dispatcher.link = StaleLink()
        dispatcher.checks = Checks(usable)
        return dispatcher.checks

    def test_checked_server_is_used(self, world):
        self.set_stale(world, {'p-1'})
        world.send_plain('0', 'w', idempotent=False)
        assert [f.upstream_request.address.port for f in world.in_flight] == [
            9001
        ]

    def test_not_run_if_every_check_fails(self, world):
        checks = self.set_stale(world, set())
        world.send_plain('0', 'w', idempotent=True)
        assert world.in_flight == []
        assert isinstance(world.replies[0].outcome, outcomes.NotRun)
        assert sorted(checks.checked) == ['p-0', 'p-1', 'p-2']

    def test_queued_work_needs_a_checked_server_when_it_leaves_the_queue(
        self, world
    ):
        for n in range(5):
            world.send_plain('0', f'w{n}', idempotent=False)
        assert len(world.in_flight) == 4
        self.set_stale(world, set())
        world.in_flight[0].phase = 'over'
        world.in_flight[0].end(pycurl.E_RECV_ERROR)
        world.settle()
        assert len(world.in_flight) == 4
        assert world.replies[-1] == fleet_model.Reply(
            'w4', outcomes.NotRun(reason='no-checked-server')
        )

    def test_service_removed_while_queued(self, world):
        """The document may change while work is queued for admission."""
        for n in range(5):
            world.send_plain('0', f'w{n}', idempotent=False)
        state = world.processes['0'].state
        document = fleet_model.PARSED.ok[0]
        state.rules.set_document(document._replace(services={}))
        world.in_flight[0].phase = 'over'
        world.in_flight[0].end(pycurl.E_RECV_ERROR)
        world.settle()
        assert world.replies[-1].outcome == outcomes.NotRun(
            reason='service-removed'
        )

    def test_suspended_while_connecting(self, world):
        """The server choice is too old once the connection is established."""
        world.send_plain('0', 'w', idempotent=False)
        world.loop.run_until_complete(asyncio.sleep(2.5))
        world.in_flight[0].send()
        world.settle()
        late, again = world.in_flight
        assert (late.phase, late.exchange.sends) == ('over', 0)
        assert again.started_s >= 2.5
        again.send()
        world.execute(again)
        again.respond(200, [], fleet_model.response_body('w'))
        world.settle()
        assert isinstance(world.replies[0].outcome, outcomes.Response)
        assert world.violation({'w'}) == ''


class TestServerChecks:
    """Each server gets at most one health request per second."""

    def test_checks_are_shared_and_repeated(self):
        now = Clock()
        checked = []

        class Client:
            async def fetch_small(self, url, _timeout_s, *, max_bytes):
                checked.append(url)
                await asyncio.sleep(0)
                state = 'draining' if ':2/' in url else 'ok'
                body = f'{{"status": "{state}"}}'.encode()
                return SimpleNamespace(code=200, body=body)

        def server(port):
            address = fleet.Address('127.0.0.1', port)
            location = fleet.Location('r', 'z')
            return fleet.BackendServer(f's{port}', 'p', address, location)

        async def run():
            checks = server_checks.ServerChecks(client=Client(), clock=now)
            first = checks.is_usable(server(1)), checks.is_usable(server(1))
            assert await asyncio.gather(*first) == [True, True]
            assert not await checks.is_usable(server(2))
            assert len(checked) == 2
            now.now_s += 1.1
            assert await checks.is_usable(server(1))
            assert len(checked) == 3

        asyncio.run(run())


class TestControlLink:
    """Only the latest incarnation of the control daemon is trusted."""

    def run_link(self, script):
        async def run():
            context = zmq.asyncio.Context()
            control = context.socket(zmq.ROUTER)
            port = control.bind_to_random_port('tcp://127.0.0.1')
            updates = []
            lease = freshness.ViewLease(clock=clock.now_s)
            link = control_link.ControlLink(
                context=context,
                address=fleet.Address('127.0.0.1', port),
                incarnation=identity.new_incarnation(instance='a'),
                lease=lease,
                on_update=updates.append,
                pop_counts=lambda: (fleet.OutcomeCounts('s', 'c', 1),),
            )
            task = asyncio.create_task(link.run())
            try:
                async with asyncio.timeout(10):
                    await script(control, link)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                control.close()
                context.destroy(0)
            return updates

        return asyncio.run(run())

    async def next_of(self, control, kind):
        while True:
            route, data = await control.recv_multipart()
            message = local_link.CODEC.decode(data).ok
            if isinstance(message, kind):
                return route, message

    def update(self, started_ms, refresh_number):
        sender = identity.Incarnation('a', started_ms, '0' * 16)
        view = fleet.FleetView(started_ms, (), 1)
        return local_link.CODEC.encode(
            local_link.ViewUpdate(sender, refresh_number, view)
        )

    def test_earlier_incarnation_is_dropped(self):
        async def script(control, link):
            route, refresh = await self.next_of(
                control, local_link.ViewRefresh
            )
            later = self.update(2, refresh.number)
            await control.send_multipart([route, later])
            await link.confirmed.wait()
            for data in (self.update(1, 0), b'\xff', self.update(2, 0)):
                await control.send_multipart([route, data])
            while link.lease.number < refresh.number + 2:
                await asyncio.sleep(0.01)

        updates = self.run_link(script)
        assert [u.sender.started_ms for u in updates] == [2, 2]

    def test_evidence_and_drain_signal_are_sent(self):
        async def script(control, link):
            await self.next_of(control, local_link.ViewRefresh)
            link.send_drain_signal('s')
            _, first = await self.next_of(control, local_link.EvidenceReport)
            _, signal = await self.next_of(control, local_link.DrainSignal)
            _, then = await self.next_of(control, local_link.EvidenceReport)
            assert signal.server_id == 's'
            assert then.sequence == first.sequence + 1

        self.run_link(script)


class TestEvidence:
    """Only failures that a server caused count against it."""

    kind = evidence.WorkKind('p', 'c', False)

    def server(self, name):
        address = fleet.Address('127.0.0.1', 9000)
        return fleet.BackendServer(
            name, 'p', address, fleet.Location('r', 'z')
        )

    def test_slow_is_relative_to_the_pool(self):
        counter = evidence.EvidenceCounter()
        for n in range(100):
            counter.count_response(
                self.server('s1'), self.kind, 200, 0.010 + n * 1e-5
            )
        counter.pop_counts()
        counter.count_response(self.server('s2'), self.kind, 200, 0.5)
        counter.count_response(self.server('s2'), self.kind, 200, 0.010)
        counter.count_response(self.server('s2'), self.kind, 404, 0.5)
        counter.count_response(self.server('s2'), self.kind, 500, 0.010)
        counter.count_failure('s2', self.kind, classify.FailureSignal.NONE)
        counter.count_failure(
            's2', self.kind, classify.FailureSignal.UNREACHABLE
        )
        assert counter.pop_counts() == (
            fleet.OutcomeCounts(
                's2', 'c', good=1, errored=1, slow=1, unreachable=1
            ),
        )

    def test_long_work_is_never_slow(self):
        counter = evidence.EvidenceCounter()
        long = self.kind._replace(long=True)
        for time_s in (*[0.01] * 50, 9.0):
            counter.count_response(self.server('s'), long, 200, time_s)
        counter.count_failure('s', long, classify.FailureSignal.SLOW)
        assert counter.pop_counts() == (
            fleet.OutcomeCounts('s', 'c', good=51),
        )


class TestWaitingForServers:
    """Work that every server shed is queued again instead of refused."""

    def test_dispatched_again_when_servers_shed(self, world):
        world.send_plain('0', 'w', idempotent=False)
        shed = ('503', ['X-Not-Run: shed'])
        for number in range(3):
            request = world.in_flight[number]
            request.send()
            request.respond(int(shed[0]), shed[1], b'no')
            world.settle()
        assert world.replies == []
        world.advance(0.1)
        assert len(world.in_flight) == 4
        world.in_flight[3].send()
        world.execute(world.in_flight[3])
        body = fleet_model.response_body('w')
        world.in_flight[3].respond(200, [], body)
        world.settle()
        assert isinstance(world.replies[0].outcome, outcomes.Response)

    # Guards against "not run" for a request that one of the servers may have
    # run, since its refusal may have belonged to an earlier request.
    @pytest.mark.parametrize(
        'proves, expected',
        [(True, outcomes.NotRun), (False, outcomes.Unknown)],
    )
    def test_outcome_of_refusals_on_kept_connections(
        self, world, proves, expected
    ):
        world.send_plain('0', 'w', idempotent=True)
        while not world.replies:
            for request in [r for r in world.in_flight if r.phase != 'over']:
                request.send()
                request_id = request.upstream_request.request_id
                own_id = [f'X-Request-Id: {request_id}'] if proves else []
                request.respond(503, ['X-Not-Run: shed', *own_id], b'no')
            world.settle()
            world.advance(0.1)
        assert isinstance(world.replies[0].outcome, expected)
