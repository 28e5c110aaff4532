"""Admin pages of the entry daemon: readiness, metrics and routing."""

from collections.abc import Callable

from tornado import httpserver
from tornado import web

from citronshelf_common import fleet
from citronshelf_common import pages
from citronshelf_entry import instance_state
from citronshelf_entry import metrics as entry_metrics

MAX_LISTED_SERVERS = 50


class ExplainHandler(web.RequestHandler):
    """``/explain?method=M&host=H&path=P``: how a request is routed."""

    def initialize(self, state: instance_state.InstanceState) -> None:
        """Store the state to explain; called by tornado."""
        self.state = state

    def get(self) -> None:
        """Respond with the route and the standings of its pool's servers."""
        method = self.get_query_argument('method', 'GET')
        host = self.get_query_argument('host', '')
        path = self.get_query_argument('path', '/')
        if self.state.routes is None:
            self.set_status(503)
            self.finish({'reason': 'no document in force'})
            return
        found = self.state.routes.match(method, host, path)
        if found.is_error():
            self.set_status(404)
            self.finish({'reason': found.error.reason})
            return
        self.finish(explain(self.state, found.ok))


def explain(state: instance_state.InstanceState, match) -> dict:
    """Return a route, its request class and its servers' standings.

    At most ``MAX_LISTED_SERVERS`` servers of the pool are listed.
    """
    servers = [
        view
        for view in (state.view.servers if state.view else ())
        if view.server.pool == match.pool_name
    ]
    return {
        'revision': state.revision,
        'route': match.route_name,
        'service': match.service_name,
        'request_class': match.class_name,
        'pool': match.pool_name,
        'idempotent': match.request_class.idempotent,
        'deadline_ms': match.request_class.deadline_ms,
        'servers': [
            {
                'server': view.server.server_id,
                'zone': view.server.location.zone,
                'standing': view.standing.value,
                'weight': view.weight,
            }
            for view in servers[:MAX_LISTED_SERVERS]
        ],
        'servers_in_all': len(servers),
    }


def start_admin(
    *,
    address: fleet.Address,
    reason: Callable[[], str],
    metrics: entry_metrics.EntryMetrics,
    state: instance_state.InstanceState,
) -> httpserver.HTTPServer:
    """Start serving the admin pages.

    ``reason`` returns why the instance is not ready; empty if it is ready.
    """
    return pages.listen(
        address,
        [
            ('/ready', pages.ReadyHandler, {'reason': reason}),
            ('/metrics', pages.MetricsHandler, {'metrics': metrics}),
            ('/explain', ExplainHandler, {'state': state}),
        ],
    )
