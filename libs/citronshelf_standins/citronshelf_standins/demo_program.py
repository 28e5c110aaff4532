"""Starts a small fleet with stand-ins and sends sample requests to it."""

from pathlib import Path
import shlex
import signal
import subprocess
import sys
import tempfile
import tomllib

from citronshelf_common import fleet
from citronshelf_common import program
from citronshelf_standins import layout as layouts
from citronshelf_standins import local_fleet

LOCATIONS = (
    fleet.Location('kolkata', 'howrah'),
    fleet.Location('siliguri', 'sevoke-rd'),
    fleet.Location('kolkata', 'sealdah'),
    fleet.Location('siliguri', 'matigara'),
)
INSTANCES = 4
SERVERS_PER_POOL = 4


def make_parser():
    """Return the command-line parser."""
    parser = program.make_parser(
        name='citronshelf-demo',
        package='citronshelf-standins',
        about='Start a fleet with stand-ins on 127.0.0.0/8 and use it.',
    )
    parser.add_argument('--document', required=True, metavar='FILE')
    parser.add_argument('--instances', type=int, default=INSTANCES)
    parser.add_argument('--servers', type=int, default=SERVERS_PER_POOL)
    parser.add_argument(
        '--stay',
        action='store_true',
        help='keep the fleet running until Ctrl-C',
    )
    parser.add_argument('--logs', metavar='DIRECTORY')
    return parser


def pool_sizes(document: bytes, servers: int) -> dict[str, tuple[int, int]]:
    """Return the number of servers, and slots per server, of each pool.

    Every pool of the document gets ``servers`` servers.
    """
    parsed = tomllib.loads(document.decode())
    return {
        name: (servers, pool['slots_per_server'])
        for name, pool in parsed['pools'].items()
    }


def run_and_print(command: list[str]) -> None:
    """Print a command and run it; its exit status is ignored."""
    print(f'$ {shlex.join(command)}', flush=True)
    subprocess.run(command, check=False)
    print(flush=True)


def run_sample_requests(running_fleet: local_fleet.LocalFleet) -> None:
    """Send a read, a large read and a request to issue serials with curl."""
    first, second, *_rest = running_fleet.layout.instances
    run_and_print(
        ['curl', '-si', f'http://{first.caller_address()}/ledger/shop-7']
    )
    large_read_url = (
        f'http://{second.caller_address()}/sheets/batch-12?bytes=3000000'
    )
    write_out = '%{http_code}, %{size_download} bytes\\n'
    run_and_print(
        ['curl', '-s', '-o', '/dev/null', '-w', write_out, large_read_url]
    )
    issue_arguments = [
        '-d',
        '{"count": 50}',
        f'http://{first.caller_address()}/mint/issue',
    ]
    run_and_print(['curl', '-si', '-X', 'POST', *issue_arguments])


def main(arguments: list[str] | None = None) -> int:
    """Run the demo; return the exit status."""
    options = make_parser().parse_args(arguments)
    document = Path(options.document).read_bytes()
    layout = layouts.make_layout(
        locations=LOCATIONS,
        instances=options.instances,
        pools=pool_sizes(document, options.servers),
    )
    directory = options.logs or tempfile.mkdtemp(prefix='citronshelf-')
    running_fleet = local_fleet.LocalFleet(
        directory=Path(directory), layout=layout, document=document
    )
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        running_fleet.start()
        for instance in layout.instances:
            print(
                f'{instance.name} ready at http://{instance.caller_address()}'
            )
        run_sample_requests(running_fleet)
        if options.stay:
            print(f'logs in {directory}; Ctrl-C stops the fleet', flush=True)
            signal.pause()
    except KeyboardInterrupt:
        return 0
    except local_fleet.FleetNotReadyError as error:
        print(error, file=sys.stderr)
        return int(program.ExitStatus.NOT_REACHABLE)
    finally:
        running_fleet.stop()
    return 0
