"""Log events of citronshelf_instance, numbers 1900 to 1999."""

import logging

from citronshelf_common.events import Event

REQUEST_ENDED = Event(1900, 'request-ended', logging.INFO, 'request finished')
REQUEST_REFUSED = Event(
    1901, 'request-refused', logging.INFO, 'request refused'
)
SERVER_CHOSEN = Event(
    1902, 'server-chosen', logging.INFO, 'backend server chosen'
)
NO_SERVER = Event(
    1903,
    'no-server',
    logging.WARNING,
    'no server is available for the request',
)
DISPATCH_ENDED = Event(
    1904, 'dispatch-ended', logging.INFO, 'dispatch to a server ended'
)
RETRY_DENIED = Event(
    1905,
    'repeat-denied',
    logging.INFO,
    'retry denied: the retry budget is exhausted',
)
CALLER_GONE = Event(
    1906,
    'caller-gone',
    logging.INFO,
    'caller closed its connection; request cancelled',
)
REQUEST_FAULT = Event(
    1907,
    'request-fault',
    logging.ERROR,
    'internal error while handling a request',
)
RETRY_ALLOWED = Event(
    1908,
    'repeat-allowed',
    logging.INFO,
    'request is sent again; the retry budget pays for it',
)
CONFIGURATION_IN_FORCE = Event(
    1910,
    'configuration-in-force',
    logging.INFO,
    'new configuration in force',
)
SERVER_REGISTERED = Event(
    1911, 'server-registered', logging.INFO, 'server registered'
)
SERVER_DRAINING = Event(
    1912, 'server-draining', logging.INFO, 'server started or stopped draining'
)
SERVER_REMOVED = Event(1913, 'server-removed', logging.INFO, 'server removed')
STORE_LOST = Event(
    1914,
    'store-lost',
    logging.WARNING,
    'store is unreachable or has lost its history',
)
STORE_REGAINED = Event(
    1915, 'store-regained', logging.INFO, 'store reachable again'
)
ENTRY_UNREADABLE = Event(
    1916,
    'entry-unreadable',
    logging.WARNING,
    'published entry is unreadable; ignoring it',
)
STATE_FROM_PEER = Event(
    1917,
    'state-from-peer',
    logging.INFO,
    'applied the published state of a peer',
)
SERVER_SUSPECTED = Event(
    1918,
    'server-suspected',
    logging.WARNING,
    'server suspected of failing',
)
SUSPICION_CLEARED = Event(
    1919,
    'server-trusted',
    logging.INFO,
    'server no longer suspected of failing',
)
SERVER_UNREACHABLE = Event(
    1920,
    'server-unreachable',
    logging.WARNING,
    'connection to a server failed; avoiding it for a while',
)
RESPONSE_DROPPED = Event(
    1921,
    'response-dropped',
    logging.WARNING,
    'memory for responses is full; the largest one is ended',
)
SERVER_LEAVING = Event(
    1922,
    'server-leaving',
    logging.INFO,
    'server announced in a response that it is leaving',
)
SERVER_ASKED_FOR_TIME = Event(
    1923,
    'server-asked-for-time',
    logging.INFO,
    'server refused a request and wants none for some time',
)
RETRY_TIME_INVALID = Event(
    1924,
    'retry-time-invalid',
    logging.WARNING,
    'server asked for a time that is no number of seconds; ignoring it',
)
PEER_FOUND = Event(1930, 'peer-found', logging.INFO, 'instance joined')
PEER_LOST = Event(1931, 'peer-lost', logging.INFO, 'instance left or expired')
PEER_MESSAGE_REFUSED = Event(
    1932,
    'peer-message-refused',
    logging.WARNING,
    'invalid message from a peer; ignoring it',
)
SETTINGS_RELOADED = Event(
    1940, 'settings-reloaded', logging.INFO, 'settings reloaded'
)
SETTINGS_REFUSED = Event(
    1941,
    'settings-refused',
    logging.ERROR,
    'changed settings are invalid; keeping the current ones',
)
SHUTDOWN_STEP = Event(
    1942, 'shutdown-step', logging.INFO, 'shutdown step reached'
)
LOOP_DELAYED = Event(
    1943, 'loop-delayed', logging.WARNING, 'event loop ran late'
)
ACCOUNTS_IN_FORCE = Event(
    1950, 'accounts-in-force', logging.INFO, 'accounts in force'
)
CALLER_CHANGED = Event(
    1951,
    'caller-changed',
    logging.INFO,
    'a new configuration changed the identity of a waiting caller',
)
QUOTA_EXCEEDED = Event(
    1955,
    'quota-exceeded',
    logging.INFO,
    'account exceeds its quota; refusing its requests',
)
QUOTA_COORDINATOR_SILENT = Event(
    1956,
    'quota-coordinator-silent',
    logging.WARNING,
    'coordinator of quotas does not reply',
)
QUOTA_COORDINATOR_HEARD = Event(
    1957,
    'quota-coordinator-heard',
    logging.INFO,
    'coordinator of quotas replies again',
)
QUOTA_SHARE_USED = Event(
    1958,
    'quota-share-used',
    logging.WARNING,
    'no coordinator of quotas is in contact; admitting equal shares',
)
QUOTA_LIMITS_IN_FORCE = Event(
    1959,
    'quota-limits-in-force',
    logging.INFO,
    'limits of accounts in force',
)
REQUEST_NOT_ADMITTED = Event(
    1960,
    'request-not-admitted',
    logging.INFO,
    'request refused: its service is overloaded',
)
REQUEST_TOO_LATE = Event(
    1961,
    'request-too-late',
    logging.INFO,
    'request refused: it would end after its time',
)
SERVICE_OVERLOADED = Event(
    1962,
    'service-overloaded',
    logging.WARNING,
    'queues of a service are too long; refusing a share of its requests',
)
SERVICE_CALM = Event(
    1963,
    'service-calm',
    logging.INFO,
    'queues of a service are short again; refusing nothing',
)
ACCOUNT_OVER_SHARE = Event(
    1964,
    'account-over-share',
    logging.INFO,
    'account sends more than its share; refusing more of its requests',
)
CONFIGURATION_PASSED_ON = Event(
    1965,
    'configuration-passed-on',
    logging.INFO,
    'configuration sent to other instances',
)
CONFIGURATION_FROM_PEER = Event(
    1966,
    'configuration-from-peer',
    logging.INFO,
    'configuration received from another instance',
)
CONFIGURATION_REQUESTED = Event(
    1967,
    'configuration-requested',
    logging.INFO,
    'announced configuration has not arrived; requesting it',
)
CONFIGURATION_TRANSFER_REFUSED = Event(
    1968,
    'configuration-transfer-refused',
    logging.WARNING,
    'configuration of another instance cannot be used',
)
STORE_CALL_SUPERSEDED = Event(
    1969,
    'store-call-superseded',
    logging.INFO,
    'response of the store is abandoned for a newer state of an instance',
)
HEDGE_STARTED = Event(
    1970, 'hedge-started', logging.INFO, 'second attempt started'
)
HEDGE_DENIED = Event(
    1971, 'hedge-denied', logging.INFO, 'second attempt not started'
)
HEDGE_ENDED = Event(
    1972, 'hedge-ended', logging.INFO, 'request with a second attempt ended'
)
