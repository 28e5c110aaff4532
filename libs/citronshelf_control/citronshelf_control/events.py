"""Numbered log events of the control daemon."""

import logging

from citronshelf_common import events

Event = events.Event

PLATFORM_RESPONDING = Event(
    1600,
    'platform-answers',
    logging.INFO,
    'platform returned a valid response',
)
PLATFORM_UNRESPONSIVE = Event(
    1601,
    'platform-silent',
    logging.WARNING,
    'cannot read a value from the platform',
)
ENTRY_ATTACHED = Event(
    1602,
    'entry-attached',
    logging.INFO,
    'entry daemon connected and requested the view',
)
ENTRY_LOST = Event(
    1603,
    'entry-lost',
    logging.ERROR,
    'no recent view request from the entry daemon',
)
LOCAL_MESSAGE_REFUSED = Event(
    1604,
    'local-message-refused',
    logging.WARNING,
    'invalid message on the local link',
)
PROBE_NOT_UNDERSTOOD = Event(
    1605,
    'probe-not-understood',
    logging.WARNING,
    'invalid response from a health endpoint',
)
LIST_ROWS_IGNORED = Event(
    1606,
    'list-rows-ignored',
    logging.WARNING,
    'invalid rows in the fleet list; ignoring them',
)
