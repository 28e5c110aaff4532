"""Tests for the backend server stand-in."""

import json
import random
import time

import pytest
import tornado.gen
import tornado.httpclient
import tornado.testing

from citronshelf_standins import backend_program
from citronshelf_standins import responses
from citronshelf_standins import work


class BackendCase(tornado.testing.AsyncHTTPTestCase):
    """A server with two slots and no queue."""

    def get_app(self):
        self.worker = work.Worker(
            settings=work.WorkSettings(2, 0, 1.0, 0.0),
            clock=time.monotonic,
            rng=random.Random(1),
        )
        return backend_program.make_application(self.worker, 's1')

    def set_faults(self, **faults):
        url = '/_standin/faults'
        response = self.fetch(url, method='PUT', body=json.dumps(faults))
        assert response.code == 200

    async def post(self, work_id, query=''):
        return await self.http_client.fetch(
            self.get_url(f'/issue{query}'),
            method='POST',
            body='',
            headers={'X-Work-Id': work_id, 'X-Request-Id': work_id},
            raise_error=False,
        )


class TestWork(BackendCase):
    """Executions are counted by work ID, also when they are cancelled.

    Work is refused without execution if it is shed or the server drains.
    """

    def test_counts_executions(self):
        async def twice():
            return [await self.post('a'), await self.post('a')]

        responses = self.io_loop.run_sync(twice)
        assert [json.loads(r.body)['executions'] for r in responses] == [1, 2]

    def test_sheds_beyond_its_slots(self):
        async def three():
            return await tornado.gen.multi(
                [self.post(name, '?ms=100') for name in 'abc']
            )

        responses = self.io_loop.run_sync(three)
        shed = [r for r in responses if r.code == 503]
        assert len(shed) == 1
        assert shed[0].headers['X-Not-Run'] == 'shed'
        assert sum(self.worker.executions.values()) == 2

    def test_draining_server_refuses_work(self):
        self.fetch('/_standin/drain', method='PUT', body='true')
        response = self.io_loop.run_sync(lambda: self.post('a'))
        assert response.headers['X-Not-Run'] == 'draining'
        assert response.headers['X-Draining'] == '1'
        assert response.headers['X-Leaving'] == '1'
        assert 'Retry-After' not in response.headers
        health = json.loads(self.fetch('/_server/health').body)
        assert health['status'] == 'draining'

    def test_announcements_are_faults(self):
        self.set_faults(announce_leaving=True)
        response = self.io_loop.run_sync(lambda: self.post('a'))
        assert (response.code, response.headers['X-Leaving']) == (200, '1')
        assert 'X-Draining' not in response.headers
        self.set_faults(shed=True, retry_after_s=1.5)
        response = self.io_loop.run_sync(lambda: self.post('b'))
        assert (response.code, response.headers['Retry-After']) == (503, '1.5')
        assert 'X-Leaving' not in response.headers

    def test_cancellation_keeps_the_count(self):
        async def cancelled():
            pending = self.post('a', '?ms=5000')
            future = tornado.gen.convert_yielded(pending)
            while 'a' not in self.worker.running:
                await tornado.gen.sleep(0.01)
            await tornado.gen.sleep(0.01)
            await self.http_client.fetch(
                self.get_url('/_server/requests/a'), method='DELETE'
            )
            return await future

        response = self.io_loop.run_sync(cancelled)
        assert response.code == 499
        assert self.worker.executions['a'] == 1
        assert self.worker.busy == 0

    def test_large_response(self):
        body = self.fetch('/sheets/1?bytes=3000000').body
        assert body == responses.pattern_bytes(3000000)


class TestFaults(BackendCase):
    """Injected faults affect responses; an invalid fault is refused."""

    def test_fails_while_healthy(self):
        self.set_faults(fail_share=1.0)
        assert self.fetch('/x').code == 500
        health = json.loads(self.fetch('/_server/health').body)
        assert health['status'] == 'ok'

    def test_truncated_responses_fail_at_the_client(self):
        for kind in ('short', 'chunk-cut'):
            self.set_faults(truncate=kind)
            with pytest.raises(tornado.httpclient.HTTPError):
                self.fetch('/x', raise_error=True)

    def test_closes_after_execution(self):
        self.set_faults(close_after_execution=True)
        with pytest.raises(tornado.httpclient.HTTPError):
            self.io_loop.run_sync(lambda: self.post('a'))
        assert self.worker.executions['a'] == 1

    def test_refuses_an_unknown_value(self):
        body = '{"truncate": "sometimes"}'
        response = self.fetch('/_standin/faults', method='PUT', body=body)
        assert response.code == 400
