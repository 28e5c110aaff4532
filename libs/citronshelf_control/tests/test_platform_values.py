"""Tests of the platform client."""

import asyncio

from tornado import httpserver
from tornado import testing
from tornado import web

from citronshelf_common import fleet
from citronshelf_control import platform_values


class PlatformHandler(web.RequestHandler):
    """Sends the response that the test configured for a value."""

    def initialize(self, responses):
        self.responses = responses

    def get(self, name):
        code, revision, body = self.responses[name]
        self.set_status(code)
        if revision is not None:
            self.set_header('Revision', revision)
        if code != 304:
            self.finish(body)


RESPONSES = {
    'good': (200, '7', b'text'),
    'unchanged': (304, None, b''),
    'no-revision': (200, None, b'text'),
    'bad-revision': (200, '-3', b'text'),
    'huge-revision': (200, '9' * 19, b'text'),
    'zero': (200, '0', b'text'),
    'too-large': (200, '7', b'x' * (platform_values.MAX_VALUE_BYTES + 1)),
    'busy': (429, None, b''),
    'away': (503, None, b''),
}


async def read_all():
    application = web.Application(
        [('/v1/values/(.*)', PlatformHandler, {'responses': RESPONSES})],
        log_function=lambda handler: None,
    )
    socket, port = testing.bind_unused_port(address='127.0.0.1')
    server = httpserver.HTTPServer(application)
    server.add_sockets([socket])
    client = platform_values.PlatformClient(
        address=fleet.Address('127.0.0.1', port), clock=lambda: 5.0
    )
    results = {}
    for name in RESPONSES:
        results[name] = await client.read(name, after=0, wait_ms=0)
        results[f'{name} reachable'] = client.reachable
    server.stop()
    results['gone'] = await client.read('good', after=3, wait_ms=10)
    client.close()
    return results


class TestPlatformClient:
    """A value is accepted only with status 200 and a valid revision.

    Status 304 means that the value has not changed.
    """

    def test_accepted_and_failed_responses(self):
        results = asyncio.run(read_all())
        assert results['good'].ok == (7, b'text')
        assert results['unchanged'].ok == (0, None)
        good = {name for name in RESPONSES if results[name].is_ok()}
        assert good == {'good', 'unchanged'}
        assert results['unchanged reachable']
        assert not results['away reachable']
        assert results['gone'].is_error()
