"""Reads from its metrics what one ``citronshelf-instance`` knows."""

import re
from typing import NamedTuple

from expression import Ok
from expression import Result

from citronshelf_client import admin_client

GAUGE_REGEX = re.compile(r'citronshelf_([a-z_]+) ([0-9.e+-]+)')


class Gauge(NamedTuple):
    """A gauge of an instance and what it means to an operator."""

    name: str
    meaning: str


GAUGES = (
    Gauge('configuration_revision', 'configuration in force'),
    Gauge('routable', 'has configuration and servers'),
    Gauge('behind_peers', 'another instance knows a newer change'),
    Gauge('store_answers', 'store reachable'),
    Gauge('instances', 'instances known'),
    Gauge('servers', 'servers registered'),
    Gauge('servers_leaving', 'of these, announced that they leave'),
    Gauge('servers_waiting', 'of these, asked this instance for time'),
)


class InstanceGauges(NamedTuple):
    """Values of the ``GAUGES`` that an instance has, by name."""

    values: dict[str, float]

    def is_settled(self) -> bool:
        """Return whether the instance routes by the newest known state."""
        values = self.values
        return bool(values.get('routable')) and not values.get('behind_peers')


async def query_instance(address: str) -> Result:
    """Read the gauges from the metrics address of an instance.

    Parameters
    ----------
    address : str
        ``ip:port``.

    Returns
    -------
    Result
        ``Ok`` with an ``InstanceGauges``, or ``Error`` with the reason.
    """
    client = admin_client.AdminClient()
    try:
        page = await client.fetch_text(address, '/metrics')
    finally:
        client.close()
    return page.bind(parse_page)


def parse_page(page: str) -> Result:
    """Return the gauges in a page of metrics."""
    names = {gauge.name for gauge in GAUGES}
    values = {}
    for line in page.splitlines():
        found = GAUGE_REGEX.fullmatch(line)
        if found is not None and found[1] in names:
            values[found[1]] = float(found[2])
    return Ok(InstanceGauges(values))
