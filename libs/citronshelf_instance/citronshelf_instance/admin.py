"""Readiness and metrics over HTTP; GET only."""

from collections.abc import Callable

from tornado import httpserver
from tornado import web

from citronshelf_common import fleet
from citronshelf_instance import metrics as instance_metrics


class ReadyHandler(web.RequestHandler):
    """``/ready``: 200 while the balancer may send callers here, else 503."""

    def initialize(self, reason: Callable[[], str]) -> None:
        """Take the function that says why callers should go elsewhere."""
        self.reason = reason

    def get(self) -> None:
        """Answer the balancer."""
        reason = self.reason()
        self.set_status(503 if reason else 200)
        self.finish({'ready': not reason, 'reason': reason})


class MetricsHandler(web.RequestHandler):
    """``/metrics``: counters and histograms in the Prometheus format."""

    def initialize(self, metrics: instance_metrics.InstanceMetrics) -> None:
        """Take the counters."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer a scrape."""
        body, fields = self.metrics.render()
        for name, value in fields.items():
            self.set_header(name, value)
        self.finish(body)


def start_ready(
    address: fleet.Address, reason: Callable[[], str]
) -> httpserver.HTTPServer:
    """Serve the readiness at an address."""
    pages = [('/ready', ReadyHandler, {'reason': reason})]
    return listen(address, pages)


def start_metrics(
    address: fleet.Address, metrics: instance_metrics.InstanceMetrics
) -> httpserver.HTTPServer:
    """Serve the metrics at an address."""
    pages = [('/metrics', MetricsHandler, {'metrics': metrics})]
    return listen(address, pages)


def listen(address: fleet.Address, pages: list) -> httpserver.HTTPServer:
    """Serve pages at an address."""
    application = web.Application(pages, log_function=lambda handler: None)
    server = httpserver.HTTPServer(application)
    server.listen(address.port, address.ip)
    return server
