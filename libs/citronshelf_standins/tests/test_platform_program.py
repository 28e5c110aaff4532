"""Tests for the platform stand-in."""

import json

import tornado.testing

from citronshelf_standins import platform_program
from citronshelf_standins import read_counter


class PlatformCase(tornado.testing.AsyncHTTPTestCase):
    """A platform where nothing has been published yet."""

    def get_app(self):
        return platform_program.make_application()

    def publish(self, body, name='document'):
        url = f'/_standin/values/{name}'
        return int(self.fetch(url, method='PUT', body=body).body)

    def set_faults(self, **faults):
        body = json.dumps(faults)
        self.fetch('/_standin/faults', method='PUT', body=body)

    def read(self, query=''):
        return self.fetch(f'/v1/values/document{query}')


class TestValues(PlatformCase):
    """Each publication gets a higher revision, which ends a watch.

    A value that is too large is refused.
    """

    def test_same_bytes_get_a_new_revision(self):
        assert (self.publish(b'a'), self.publish(b'a')) == (1, 2)
        assert self.read().headers['Revision'] == '2'

    def test_watch_times_out_without_a_change(self):
        self.publish(b'a')
        assert self.read('?after=1&wait_ms=50').code == 304

    def test_watch_sees_a_publication(self):
        self.publish(b'a')
        self.io_loop.call_later(0.05, self.publish_later)
        response = self.read('?after=1&wait_ms=3000')
        assert (response.headers['Revision'], response.body) == ('2', b'b')

    async def publish_later(self):
        url = self.get_url('/_standin/values/document')
        await self.http_client.fetch(url, method='PUT', body=b'b')

    def test_refuses_a_large_value(self):
        url = '/_standin/values/document'
        response = self.fetch(url, method='PUT', body=b'x' * 1_000_001)
        assert response.code == 413


class TestFaults(PlatformCase):
    """The platform is unavailable, or serves stale or older revisions."""

    def test_away_platform_responds_503(self):
        self.publish(b'a')
        self.set_faults(away=True)
        assert self.read().code == 503

    def test_stale_and_older_serve_earlier_revisions(self):
        self.publish(b'a')
        self.publish(b'b')
        self.set_faults(stale=True)
        self.publish(b'c')
        assert self.read().body == b'b'
        self.set_faults(older=2)
        assert self.read().body == b'a'
        self.set_faults()
        assert self.read().body == b'c'

    def test_list_lag_serves_an_earlier_list(self):
        self.publish(b'[1]', 'instances')
        self.publish(b'[2]', 'instances')
        self.set_faults(list_lag_s=60)
        assert self.fetch('/v1/values/instances').body == b'[1]'


class TestReadCounter:
    """Reads beyond the rate are refused until the next second."""

    def test_limits_each_second(self):
        clock = [0.0]
        counter = read_counter.ReadCounter(
            clock=lambda: clock[0], limit_per_second=2
        )
        assert [counter.try_read() for _ in range(3)] == [True, True, False]
        clock[0] = 1.0
        assert counter.try_read()
