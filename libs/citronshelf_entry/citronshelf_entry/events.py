"""Log events of the entry daemon."""

import logging

from citronshelf_common import events

ROUTE_CHOSEN = events.Event(
    1500, 'route-chosen', logging.INFO, 'request routed'
)
ROUTE_REFUSED = events.Event(
    1501, 'route-refused', logging.INFO, 'request refused without being run'
)
EXCHANGE_FAILED = events.Event(
    1504,
    'exchange-failed',
    logging.WARNING,
    'no complete response from the server',
)
CONNECTION_REFUSED = events.Event(
    1502,
    'connection-refused',
    logging.WARNING,
    'too many connections from callers',
)
RESPONSE_BROKEN = events.Event(
    1505,
    'answer-broken',
    logging.WARNING,
    'response broke off after its head; connection to the caller closed',
)
DOCUMENT_IN_FORCE = events.Event(
    1510, 'document-in-force', logging.INFO, 'document put in force'
)
DOCUMENT_REFUSED = events.Event(
    1511, 'document-refused', logging.ERROR, 'document refused'
)
CONTROL_UNRESPONSIVE = events.Event(
    1512,
    'control-silent',
    logging.WARNING,
    'lease of the fleet view expired; checking servers before dispatch',
)
CONTROL_RESPONDING = events.Event(
    1513, 'control-heard', logging.INFO, 'fleet view is fresh again'
)
PROCESS_RESUMED = events.Event(
    1514,
    'process-resumed',
    logging.WARNING,
    'process resumed after a suspension',
)
MESSAGE_DROPPED = events.Event(
    1515, 'message-dropped', logging.WARNING, 'message dropped'
)
SERVER_CHECK_FAILED = events.Event(
    1516,
    'server-check-failed',
    logging.WARNING,
    'server failed a health check by this instance',
)
SERVER_DRAINING = events.Event(
    1517,
    'server-draining',
    logging.INFO,
    'server reported that it is draining',
)
FORWARD_SENT = events.Event(
    1520, 'forward-sent', logging.INFO, 'request sent to the owner of its key'
)
FORWARD_FAILED = events.Event(
    1521,
    'forward-unanswered',
    logging.WARNING,
    'no usable response from the owner of the key',
)
FORWARD_REFUSED = events.Event(
    1522, 'forward-refused', logging.WARNING, 'forwarded request refused'
)
KEY_REFUSED = events.Event(
    1523, 'key-refused', logging.INFO, 'idempotency key refused'
)
SHUTDOWN_STARTED = events.Event(
    1530,
    'drain-started',
    logging.INFO,
    'shutdown started; not ready but still accepting connections',
)
LISTEN_STOPPED = events.Event(
    1531, 'listen-stopped', logging.INFO, 'stopped accepting connections'
)
SHUTDOWN_FINISHED = events.Event(
    1532,
    'drain-finished',
    logging.INFO,
    'shutdown finished; all requests are completed',
)
INTERNAL_ERROR = events.Event(
    1540,
    'request-fault',
    logging.ERROR,
    'request failed because of an internal error',
)
