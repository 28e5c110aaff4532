"""Read-only HTTP server for status and metrics on the admin address."""

import json

import aioprometheus
from tornado import httpserver
from tornado import netutil
from tornado import web

from citronshelf_common import fleet


class StatusHandler(web.RequestHandler):
    """``GET /status``."""

    def initialize(self, source):
        """Set the object whose ``status()`` is served."""
        self.source = source

    def get(self):
        """Respond with the status as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.set_header('Cache-Control', 'no-store')
        self.finish(json.dumps(self.source.status(), indent=1) + '\n')


class MetricsHandler(web.RequestHandler):
    """``GET /metrics``."""

    def initialize(self, source):
        """Set the object whose ``metrics()`` are served."""
        self.source = source

    def get(self):
        """Respond with the metrics in a format from the ``Accept`` header."""
        accepts = [self.request.headers.get('Accept', 'text/plain')]
        registry = self.source.metrics()
        content, headers = aioprometheus.render(registry, accepts)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)


def start_admin(address: fleet.Address, source) -> httpserver.HTTPServer:
    """Start an HTTP server on the admin address.

    Parameters
    ----------
    address : Address
    source : object
        ``status()`` returns a dictionary that is JSON serialisable,
        ``metrics()`` an ``aioprometheus.Registry``.

    Returns
    -------
    HTTPServer
    """
    application = web.Application(
        [
            ('/status', StatusHandler, {'source': source}),
            ('/metrics', MetricsHandler, {'source': source}),
        ],
        log_function=lambda handler: None,
    )
    server = httpserver.HTTPServer(
        application, idle_connection_timeout=60, max_body_size=4096
    )
    server.add_sockets(netutil.bind_sockets(address.port, address.ip))
    return server
