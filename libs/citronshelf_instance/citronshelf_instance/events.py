"""Log events of citronshelf_instance, numbers 1900 to 1999."""

import logging

from citronshelf_common.events import Event

REQUEST_ENDED = Event(
    1900, 'request-ended', logging.INFO, 'a request has its final answer'
)
REQUEST_REFUSED = Event(
    1901, 'request-refused', logging.INFO, 'a request was refused'
)
SERVER_CHOSEN = Event(
    1902, 'server-chosen', logging.INFO, 'a server was chosen'
)
NO_SERVER = Event(
    1903, 'no-server', logging.WARNING, 'no server can take the request'
)
DISPATCH_ENDED = Event(
    1904, 'dispatch-ended', logging.INFO, 'a dispatch to a server ended'
)
REPEAT_DENIED = Event(
    1905, 'repeat-denied', logging.INFO, 'the retry budget is spent'
)
CALLER_GONE = Event(
    1906, 'caller-gone', logging.INFO, 'the caller closed its connection'
)
REQUEST_FAULT = Event(
    1907, 'request-fault', logging.ERROR, 'a fault of this instance'
)
CONFIGURATION_IN_FORCE = Event(
    1910,
    'configuration-in-force',
    logging.INFO,
    'a configuration is in force',
)
SERVER_REGISTERED = Event(
    1911, 'server-registered', logging.INFO, 'a server was registered'
)
SERVER_DRAINING = Event(
    1912, 'server-draining', logging.INFO, 'a server began or ceased to drain'
)
SERVER_REMOVED = Event(
    1913, 'server-removed', logging.INFO, 'a server is gone'
)
STORE_LOST = Event(
    1914, 'store-lost', logging.WARNING, 'the store does not answer'
)
STORE_REGAINED = Event(
    1915, 'store-regained', logging.INFO, 'the store answers again'
)
ENTRY_UNREADABLE = Event(
    1916,
    'entry-unreadable',
    logging.WARNING,
    'a published entry cannot be read; it is not used',
)
STATE_FROM_PEER = Event(
    1917,
    'state-from-peer',
    logging.INFO,
    'took the published state from another instance',
)
SERVER_SUSPECTED = Event(
    1918,
    'server-suspected',
    logging.WARNING,
    'a server is believed to fail',
)
SERVER_TRUSTED = Event(
    1919,
    'server-trusted',
    logging.INFO,
    'a server is no longer believed to fail',
)
SERVER_UNREACHABLE = Event(
    1920,
    'server-unreachable',
    logging.WARNING,
    'a connection to a server failed; it is left out for a while',
)
PEER_FOUND = Event(1930, 'peer-found', logging.INFO, 'an instance joined')
PEER_LOST = Event(
    1931, 'peer-lost', logging.INFO, 'an instance was not heard of any more'
)
PEER_MESSAGE_REFUSED = Event(
    1932,
    'peer-message-refused',
    logging.WARNING,
    'a message of an instance cannot be used',
)
SETTINGS_RELOADED = Event(
    1940, 'settings-reloaded', logging.INFO, 'read the settings again'
)
SETTINGS_REFUSED = Event(
    1941,
    'settings-refused',
    logging.ERROR,
    'changed settings are invalid; the earlier ones stay',
)
SHUTDOWN_STEP = Event(
    1942, 'shutdown-step', logging.INFO, 'shutdown reached its next step'
)
