"""Time that the location of a server adds to a request."""

from citronshelf_common import fleet

# One way, as the environments state them.
ZONE_HOP_MS = 1.0
REGION_HOP_MS = 20.0
# Work of a pool that prefers the store's region reads the store and writes
# to it: two round trips.
STORE_ROUND_TRIPS = 2


class Distances:
    """Distances from one instance.

    Parameters
    ----------
    location : fleet.Location
        Where the instance is.
    store_region : str
    """

    def __init__(self, *, location: fleet.Location, store_region: str):
        self.location = location
        self.store_region = store_region

    def is_same_region(self, location: fleet.Location) -> bool:
        """Tell whether a location is in the instance's region."""
        return location.region == self.location.region

    def is_outside_store_region(self) -> bool:
        """Tell whether the store is in another region."""
        return self.location.region != self.store_region

    def hop_ms(self, location: fleet.Location, prefer: str) -> float:
        """Return the time that a server's location adds, in ms.

        Parameters
        ----------
        location : fleet.Location
            Where the server is.
        prefer : str
            ``nearest`` or ``store-region``, as the pool states it.
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
