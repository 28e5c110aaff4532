"""Log events of citronshelf_standins, numbers 1800 to 1899."""

import logging

from citronshelf_common import events

SERVER_FAULTS_SET = events.Event(
    1800, 'server-faults-set', logging.INFO, 'injected faults changed'
)
SERVER_KILLED = events.Event(
    1801,
    'server-killed',
    logging.INFO,
    'server exits after the execution without responding',
)
WORK_EXECUTED = events.Event(
    1802, 'work-executed', logging.INFO, 'work executed'
)
VALUE_PUBLISHED = events.Event(
    1810, 'value-published', logging.INFO, 'value published'
)
PLATFORM_FAULTS_SET = events.Event(
    1811, 'platform-faults-set', logging.INFO, 'injected faults changed'
)
READ_LIMITED = events.Event(
    1812, 'read-limited', logging.WARNING, 'read refused: rate limit exceeded'
)
PATH_CUT = events.Event(
    1820, 'path-cut', logging.INFO, 'cut directions of the path changed'
)
