"""Network latency between an instance, the servers and the data store."""

from citronshelf_common import fleet

# One-way latency, as specified for every deployed fleet of instances.
ZONE_HOP_MS = 1.0
REGION_HOP_MS = 20.0
# Requests to a pool that prefers the data store's region read the data store
# and write to it, which takes two round trips.
STORE_ROUND_TRIPS = 2


class NetworkLatencies:
    """Network latencies as seen from one instance.

    Parameters
    ----------
    location : fleet.Location
        Location of the instance.
    store_region : str
        Region of the data store.
    """

    def __init__(self, *, location: fleet.Location, store_region: str):
        self.location = location
        self.store_region = store_region

    def is_same_region(self, location: fleet.Location) -> bool:
        """Return whether a location is in the instance's region."""
        return location.region == self.location.region

    def is_outside_store_region(self) -> bool:
        """Return whether the data store is in another region."""
        return self.location.region != self.store_region

    def hop_ms(self, location: fleet.Location, prefer: str) -> float:
        """Return the latency that the location of a server adds, in ms.

        This is one round trip between the instance and the server. If the
        pool prefers the data store's region and the server is outside it, the
        round trips between the server and the data store are added.

        Parameters
        ----------
        location : fleet.Location
            Location of the server.
        prefer : str
            Setting of the pool, ``nearest`` or ``store-region``.
        """
        if not self.is_same_region(location):
            hop = 2 * REGION_HOP_MS
        elif location.zone != self.location.zone:
            hop = 2 * ZONE_HOP_MS
        else:
            hop = 0.0
        if prefer == 'store-region' and location.region != self.store_region:
            hop += 2 * REGION_HOP_MS * STORE_ROUND_TRIPS
        return hop
