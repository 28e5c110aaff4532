"""HTTP handlers of every daemon for readiness and metrics; GET only."""

from collections.abc import Callable
from typing import Protocol

from tornado import httpserver
from tornado import web

from citronshelf_common import fleet


class MetricsRenderer(Protocol):
    """Renders the metrics of a daemon."""

    def render(self) -> tuple[bytes, dict]:
        """Return a body in the Prometheus text format, and its headers."""


class ReadyHandler(web.RequestHandler):
    """``/ready``: 200 if the load balancer may send callers, else 503."""

    def initialize(self, reason: Callable[[], str]) -> None:
        """Set the function that returns why the daemon is not ready.

        An empty reason means that it is ready.
        """
        self.reason = reason

    def get(self) -> None:
        """Respond to a readiness check of the load balancer."""
        reason = self.reason()
        self.set_status(503 if reason else 200)
        self.finish({'ready': not reason, 'reason': reason})


class MetricsHandler(web.RequestHandler):
    """``/metrics``: metrics in the Prometheus text format."""

    def initialize(self, metrics: MetricsRenderer) -> None:
        """Set the metrics to render."""
        self.metrics = metrics

    def get(self) -> None:
        """Respond to a scrape."""
        body, headers = self.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def listen(address: fleet.Address, pages: list) -> httpserver.HTTPServer:
    """Serve handlers at an address without logging each request."""
    application = web.Application(pages, log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    server.listen(address.port, address.ip)
    return server
