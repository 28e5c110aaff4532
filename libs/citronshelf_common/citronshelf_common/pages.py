"""Pages that every daemon serves: readiness and metrics; GET only."""

from collections.abc import Callable
from typing import Protocol

from tornado import httpserver
from tornado import web

from citronshelf_common import fleet


class MetricsRenderer(Protocol):
    """Counters of a daemon."""

    def render(self) -> tuple[bytes, dict]:
        """Return body and headers in the Prometheus text format."""


class ReadyHandler(web.RequestHandler):
    """``/ready``: 200 when the balancer may send callers here, else 503."""

    def initialize(self, reason: Callable[[], str]) -> None:
        """Take the function that says why callers should go elsewhere."""
        self.reason = reason

    def get(self) -> None:
        """Answer the balancer."""
        reason = self.reason()
        self.set_status(503 if reason else 200)
        self.finish({'ready': not reason, 'reason': reason})


class MetricsHandler(web.RequestHandler):
    """``/metrics``: counters in the Prometheus text format."""

    def initialize(self, metrics: MetricsRenderer) -> None:
        """Take the counters."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer a scrape."""
        body, headers = self.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def listen(address: fleet.Address, pages: list) -> httpserver.HTTPServer:
    """Serve pages at an address, without a log line for each request."""
    application = web.Application(pages, log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    server.listen(address.port, address.ip)
    return server
