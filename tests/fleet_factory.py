"""Creates fleets of real processes and stops them."""

from pathlib import Path

from citronshelf_common import fleet
from citronshelf_standins import layout as layouts
from citronshelf_standins import local_fleet
import load_generator

DOCUMENT = Path(__file__).parent / 'documents' / 'shonkha-trial.toml'
LOCATIONS = (
    fleet.Location('kolkata', 'howrah'),
    fleet.Location('siliguri', 'sevoke-rd'),
    fleet.Location('kolkata', 'sealdah'),
    fleet.Location('siliguri', 'matigara'),
)
PATHS = load_generator.Paths(
    '/ledger/shop-7', '/sheets/batch-12', '/mint/issue'
)
POOLS = {'ledger-view': (4, 2), 'batch-desk': (2, 2), 'serial-mint': (4, 2)}


class FleetFactory:
    """Creates fleets and stops their processes after the test.

    Parameters
    ----------
    directory : Path
        Each fleet gets a subdirectory for its settings files and logs.
    """

    def __init__(self, directory: Path):
        self.directory = directory
        self.created: list[local_fleet.LocalFleet] = []

    def prepare(self, *, instances=4, pools=POOLS, **options):
        """Create a fleet without starting it.

        Parameters
        ----------
        instances : int
        pools : dict
            For each pool, its number of servers and the slots per server.
        **options
            Further arguments of ``LocalFleet``.
        """
        number = len(self.created)
        layout = layouts.make_layout(
            locations=LOCATIONS, instances=instances, pools=pools
        )
        options.setdefault('balancer_lag_s', 1.0)
        options.setdefault('document', DOCUMENT.read_bytes())
        created = local_fleet.LocalFleet(
            directory=self.directory / f'fleet{number}',
            layout=layout,
            **options,
        )
        self.created.append(created)
        return created

    def start(self, **options):
        """Create and start a fleet, and wait until its instances are ready."""
        created = self.prepare(**options)
        created.start()
        return created

    def stop(self):
        """Kill all processes of all fleets."""
        for created in self.created:
            created.stop()


def caller_addresses(running) -> dict[str, str]:
    """Return the ``ip:port`` for callers of each instance, by name."""
    return {i.name: i.caller_address() for i in running.layout.instances}
