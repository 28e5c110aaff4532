"""Numbered log events, written as JSON lines."""

import logging
import sys
from typing import NamedTuple

from pythonjsonlogger.msgspec import MsgspecFormatter


class Event(NamedTuple):
    """One kind of log line.

    Attributes
    ----------
    number : int
        Unique over all packages; listed in ``docs/events``.
    name : str
    level : int
        Level of the ``logging`` module.
    text : str
        Fixed text; what varies goes into fields.
    """

    number: int
    name: str
    level: int
    text: str


PROGRAM_STARTED = Event(1000, 'program-started', logging.INFO, 'started')
PROGRAM_STOPPING = Event(
    1001, 'program-stopping', logging.INFO, 'termination signal received'
)
PROGRAM_STOPPED = Event(1002, 'program-stopped', logging.INFO, 'stopped')
PROGRAM_REFUSED = Event(1003, 'program-refused', logging.ERROR, 'cannot start')
TASK_FAILED = Event(
    1004, 'task-failed', logging.CRITICAL, 'a task of the daemon failed'
)


def log_event(logger: logging.Logger, event: Event, **fields) -> None:
    """Write one event.

    Parameters
    ----------
    logger : logging.Logger
    event : Event
    **fields
        Values of this occurrence; each must be JSON serialisable.
    """
    if not logger.isEnabledFor(event.level):
        return
    extra = {'event': event.number, 'event_name': event.name, **fields}
    logger.log(event.level, event.text, extra=extra)


def configure_logging(*, level: int = logging.INFO, stream=None) -> None:
    """Send every log line to one stream as JSON.

    Parameters
    ----------
    level : int
    stream : file object, optional
        Standard error when not given.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = MsgspecFormatter(
        '%(asctime)s %(levelname)s %(name)s %(message)s',
        rename_fields={'asctime': 'time', 'levelname': 'level'},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
