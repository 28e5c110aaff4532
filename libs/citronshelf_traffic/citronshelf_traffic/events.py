"""Log events of the traffic package."""

import logging

from citronshelf_common import events
from citronshelf_common.events import Event

log_event = events.log_event

SERVER_CHOSEN = Event(1300, 'server-chosen', logging.INFO, 'server chosen')
NO_SERVER = Event(1301, 'no-server', logging.WARNING, 'no server available')
SERVER_BACKED_OFF = Event(
    1302,
    'server-backed-off',
    logging.INFO,
    'server refused a connection; backing off',
)
SERVER_SHED = Event(
    1303, 'server-shed', logging.INFO, 'server shed the request'
)
SERVER_DRAINING = Event(
    1304,
    'server-draining',
    logging.INFO,
    'server reported that it is draining',
)
VIEW_APPLIED = Event(1305, 'view-taken', logging.INFO, 'fleet view applied')

WORK_ADMITTED = Event(1310, 'work-admitted', logging.INFO, 'request admitted')
WORK_QUEUED = Event(1311, 'work-queued', logging.INFO, 'request queued')
WORK_REFUSED = Event(
    1312, 'work-refused', logging.INFO, 'request refused, not run'
)
LIMIT_CHANGED = Event(
    1313, 'limit-changed', logging.INFO, 'concurrency limit changed'
)

RETRY_DENIED = Event(1320, 'retry-denied', logging.INFO, 'retry denied')
HEDGE_DENIED = Event(1321, 'hedge-denied', logging.INFO, 'hedge denied')
HEDGE_STARTED = Event(1322, 'hedge-started', logging.INFO, 'hedge started')

ACCOUNT_LIMITED = Event(
    1330, 'account-limited', logging.INFO, 'account exceeded its rate'
)
ACCOUNTS_FULL = Event(
    1331,
    'accounts-full',
    logging.WARNING,
    'all account buckets in use; using the shared one',
)

CROSSING_DENIED = Event(
    1340, 'crossing-denied', logging.INFO, 'request may not leave the region'
)
