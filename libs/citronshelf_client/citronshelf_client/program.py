"""Command line of the operators' client."""

import argparse
from collections.abc import Sequence
import os
import sys

from citronshelf_client import admin_client
from citronshelf_client import documents
from citronshelf_client import explain_command
from citronshelf_client import status_command
from citronshelf_client import story_command
from citronshelf_common import program

ABOUT = (
    'Check, compare and explain documents, show which revision is in force '
    'and the log lines of a request. Read-only.'
)
EXIT_STATUSES = (
    'exit statuses: 0 success; 1 documents differ, an instance does not have '
    'the newest revision in force, no route matches, or no log line names '
    'the request; 2 usage error; 4 invalid document; 6 unreachable'
)


def validate_address(text: str) -> str:
    """Return the argument unchanged if it is a numeric ``ip:port``.

    Raises
    ------
    argparse.ArgumentTypeError
        If it is not; the message names the reason.
    """
    fault = admin_client.find_address_fault(text)
    if fault is not None:
        raise argparse.ArgumentTypeError(fault)
    return text


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = program.make_parser(
        name='citronshelf', package='citronshelf-client', about=ABOUT
    )
    parser.epilog = EXIT_STATUSES
    commands = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND'
    )
    add_document_commands(commands)
    add_status_command(commands)
    add_explain_command(commands)
    story = commands.add_parser(
        'story',
        help='read logs from standard input and show the lines of a request',
    )
    story.add_argument('request_id', metavar='ID')
    return parser


def add_document_commands(commands) -> None:
    """Add the commands ``check`` and ``diff``."""
    check = commands.add_parser('check', help='check a document')
    check.add_argument('file', metavar='FILE')
    diff = commands.add_parser(
        'diff', help='show the semantic changes between two documents'
    )
    diff.add_argument('old', metavar='OLD')
    diff.add_argument('new', metavar='NEW')


def add_status_command(commands) -> None:
    """Add the command ``status``."""
    status = commands.add_parser(
        'status', help='show which revision is in force on each instance'
    )
    sources = status.add_mutually_exclusive_group(required=True)
    sources.add_argument(
        '--from',
        dest='source',
        metavar='IP:PORT',
        type=validate_address,
        help='admin address of a control daemon',
    )
    sources.add_argument(
        '--instance',
        metavar='IP:PORT',
        type=validate_address,
        help='metrics address of a citronshelf-instance',
    )
    status.add_argument(
        '--json', action='store_true', help='print one JSON object'
    )


def add_explain_command(commands) -> None:
    """Add the command ``explain``."""
    explain = commands.add_parser(
        'explain', help='show which route a request takes, and why'
    )
    explain.add_argument('--document', metavar='FILE', required=True)
    explain.add_argument('--method', metavar='M', required=True)
    explain.add_argument('--host', metavar='H', required=True)
    explain.add_argument('--path', metavar='P', required=True)
    explain.add_argument(
        '--from',
        dest='source',
        metavar='IP:PORT',
        type=validate_address,
        help='admin address of an entry daemon, to show its candidate servers',
    )


def run_command(arguments: argparse.Namespace) -> int:
    """Run the chosen command and return its exit status."""
    match arguments.command:
        case 'check':
            return documents.check(arguments.file)
        case 'diff':
            return documents.diff(arguments.old, arguments.new)
        case 'status' if arguments.instance is not None:
            return status_command.instance_status(
                arguments.instance, as_json=arguments.json
            )
        case 'status':
            return status_command.status(
                arguments.source, as_json=arguments.json
            )
        case 'story':
            return story_command.story(arguments.request_id, sys.stdin)
        case _:
            return explain_command.explain(
                arguments.document,
                method=arguments.method,
                host=arguments.host,
                path=arguments.path,
                address=arguments.source,
            )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status.

    Parameters
    ----------
    arguments : sequence of str, optional
        Defaults to ``sys.argv[1:]``.

    Returns
    -------
    int
        Exit status of the command; ``DIFFERS`` if the reader of standard
        output closes it early.
    """
    options = make_parser().parse_args(arguments)
    try:
        status = run_command(options)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as head, closed the pipe. Without this redirection
        # Python would report the error again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(program.ExitStatus.DIFFERS)
    return status


if __name__ == '__main__':
    sys.exit(main())
