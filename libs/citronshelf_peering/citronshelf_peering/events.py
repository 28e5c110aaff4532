"""Log events of links, replicated values, the view and roles."""

import logging

from citronshelf_common import events

Event = events.Event

LINK_UP = Event(
    1400, 'link-up', logging.INFO, 'link to peer works in both directions'
)
LINK_DOWN = Event(1401, 'link-down', logging.WARNING, 'link to peer is down')
MESSAGE_REFUSED = Event(
    1402, 'message-refused', logging.WARNING, 'invalid peer message rejected'
)
VALUE_IN_FORCE = Event(
    1403, 'value-in-force', logging.INFO, 'revision is in force'
)
VALUE_REFUSED = Event(
    1404, 'value-refused', logging.ERROR, 'revision failed validation'
)
REVISION_CONFLICT = Event(
    1405,
    'revision-conflict',
    logging.ERROR,
    'two different contents have the same revision',
)
PLATFORM_BEHIND = Event(
    1406,
    'platform-behind',
    logging.ERROR,
    'platform has an older revision than the fleet',
)
STARTED_FROM = Event(
    1407, 'started-from', logging.INFO, 'startup queries completed'
)
PROCESS_RESUMED = Event(
    1408,
    'process-resumed',
    logging.WARNING,
    'process was suspended; confirming the view with its peers',
)
VIEW_CONFIRMED = Event(
    1409, 'view-confirmed', logging.INFO, 'view confirmed after resuming'
)
ROLE_CHANGED = Event(
    1410, 'role-changed', logging.INFO, 'roles of this instance changed'
)
SERVER_LEAVING = Event(
    1411, 'server-leaving', logging.INFO, 'server marked as leaving'
)
ANNOUNCEMENT_IGNORED = Event(
    1412,
    'claim-ignored',
    logging.ERROR,
    'peer announced a revision but did not deliver it',
)
PEER_REFUSED = Event(
    1413, 'peer-refused', logging.WARNING, 'connection with an unknown key'
)
PEER_ADDRESS_INVALID = Event(
    1414,
    'peer-address-invalid',
    logging.WARNING,
    'no connection to a peer whose address is invalid',
)
PEER_MESSAGE_FAILED = Event(
    1415,
    'peer-message-failed',
    logging.ERROR,
    'unexpected error while handling a message; the message is dropped',
)
