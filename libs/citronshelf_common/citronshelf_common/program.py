"""Command-line parsing, settings and main loop of the programs."""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
from importlib import metadata
import logging
import os
from pathlib import Path
import signal
import sys
import traceback
from typing import NoReturn

from expression import Error
from expression import Result

from citronshelf_common import checked_toml
from citronshelf_common import events

LOG = logging.getLogger(__name__)


class ExitStatus(enum.IntEnum):
    """Exit statuses shared by all programs."""

    DONE = 0
    DIFFERS = 1
    USAGE = 2
    BAD_SETTINGS = 3
    BAD_DOCUMENT = 4
    CANNOT_BIND = 5
    NOT_REACHABLE = 6
    BROKEN_INVARIANT = 70


def make_parser(*, name: str, package: str, about: str):
    """Return an argument parser that has a ``--version`` option.

    Parameters
    ----------
    name : str
        Name of the program.
    package : str
        Distribution whose version ``--version`` prints.
    about : str
        One-sentence description for ``--help``.
    """
    parser = argparse.ArgumentParser(prog=name, description=about)
    parser.add_argument(
        '--version',
        action='version',
        version=f'{name} {version_of(package)}',
    )
    return parser


def version_of(package: str) -> str:
    """Return the installed version of a distribution.

    Returns ``from source`` when the distribution is not installed.
    """
    try:
        return metadata.version(package)
    except metadata.PackageNotFoundError:
        return 'from source'


def read_settings(path: str, shape: type) -> Result:
    """Read and validate a settings file.

    Returns
    -------
    Result
        ``Ok`` with the settings, or ``Error`` with a ``TomlFault``.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = checked_toml.TomlFault(
            path, 0, '', f'cannot read file: {error}'
        )
        return Error(fault)
    return checked_toml.load_table(text, path, shape)


def fail(message: str, status: ExitStatus) -> int:
    """Print an error message to standard error; return the exit status."""
    print(message, file=sys.stderr)
    return int(status)


def end_process(status: int) -> NoReturn:
    """End the process without tearing down the interpreter.

    The teardown frees all objects, which takes longer than the rest of the
    exit and may outlast the time that a process has after a signal.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


Serve = Callable[[asyncio.Event], Awaitable[int]]


def run_daemon(*, name: str, serve: Serve, **fields) -> int:
    """Run a daemon until it returns, on its own or after a signal.

    Parameters
    ----------
    name : str
        Program name for the log.
    serve : callable
        Receives an event that is set at the first SIGTERM or SIGINT, and
        returns the exit status. Later signals have no effect.
    **fields
        Additional fields of the ``program-started`` event.

    Returns
    -------
    int
        The status that ``serve`` returned, ``CANNOT_BIND`` if it raised an
        ``OSError``, or ``BROKEN_INVARIANT`` if a task of ``start_task`` raised
        an exception.
    """
    return asyncio.run(run_until_signal(name, serve, fields))


FAILED_TASKS: list[str] = []


def start_task(coroutine, *, name: str) -> asyncio.Task:
    """Start a task that the daemon cannot run without.

    If the task raises, the exception is logged and the process shuts down as
    after SIGTERM, with exit status ``BROKEN_INVARIANT``. If its failure went
    unnoticed, the daemon would respond from stale state indefinitely.

    Parameters
    ----------
    coroutine : coroutine
    name : str
        Task name for the log.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    task.add_done_callback(stop_after_failure)
    return task


def stop_after_failure(task: asyncio.Task) -> None:
    """Shut down the process if the task raised an exception."""
    if task.cancelled() or task.exception() is None:
        return
    FAILED_TASKS.append(task.get_name())
    trace = ''.join(traceback.format_exception(task.exception()))
    events.log_event(
        LOG, events.TASK_FAILED, task=task.get_name(), trace=trace
    )
    os.kill(os.getpid(), signal.SIGTERM)


async def run_until_signal(name: str, serve: Serve, fields: dict) -> int:
    """Run ``serve`` with an event that the first signal sets.

    An ``OSError`` from ``serve`` is reported as ``CANNOT_BIND``.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop() -> None:
        if not stopping.is_set():
            events.log_event(LOG, events.PROGRAM_STOPPING, program=name)
        stopping.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    events.log_event(LOG, events.PROGRAM_STARTED, program=name, **fields)
    try:
        status = await serve(stopping)
    except OSError as error:
        events.log_event(
            LOG, events.PROGRAM_REFUSED, program=name, reason=str(error)
        )
        return int(ExitStatus.CANNOT_BIND)
    events.log_event(LOG, events.PROGRAM_STOPPED, program=name)
    if FAILED_TASKS:
        return int(ExitStatus.BROKEN_INVARIANT)
    return int(status)
