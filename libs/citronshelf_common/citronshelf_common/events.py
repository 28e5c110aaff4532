"""Structured log events, written as JSON lines."""

import logging
import sys
from typing import NamedTuple

from pythonjsonlogger.msgspec import MsgspecFormatter


class Event(NamedTuple):
    """A type of log event.

    Attributes
    ----------
    number : int
        Unique across all packages; documented in ``docs/events``.
    name : str
    level : int
        Level as defined by the ``logging`` module.
    text : str
        Fixed message; variable data is logged as fields.
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
    1004, 'task-failed', logging.CRITICAL, 'daemon task raised an exception'
)


def log_event(logger: logging.Logger, event: Event, **fields) -> None:
    """Log one event if its level is enabled.

    Parameters
    ----------
    logger : logging.Logger
    event : Event
    **fields
        Data of this event; each value must be JSON serialisable.
    """
    if not logger.isEnabledFor(event.level):
        return
    extra = {'event': event.number, 'event_name': event.name, **fields}
    logger.log(event.level, event.text, extra=extra)


def configure_logging(*, level: int = logging.INFO, stream=None) -> None:
    """Configure the root logger to write JSON lines to one stream.

    Handlers that were set before are removed.

    Parameters
    ----------
    level : int
    stream : file object, optional
        Defaults to standard error.
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
