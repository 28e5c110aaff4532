"""Time that the place of a server adds to a request."""

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
    place : fleet.Location
        Where the instance is.
    store_region : str
    """

    def __init__(self, *, place: fleet.Location, store_region: str):
        self.place = place
        self.store_region = store_region

    def is_here(self, place: fleet.Location) -> bool:
        """Tell whether a place is in the instance's region."""
        return place.region == self.place.region

    def is_away_from_store(self) -> bool:
        """Tell whether the store is in another region."""
        return self.place.region != self.store_region

    def hop_ms(self, place: fleet.Location, prefer: str) -> float:
        """Return the time that a server's place adds, in ms.

        Parameters
        ----------
        place : fleet.Location
            Where the server is.
        prefer : str
            ``nearest`` or ``store-region``, as the pool states it.
        """
        if not self.is_here(place):
            hop = 2 * REGION_HOP_MS
        elif place.zone != self.place.zone:
            hop = 2 * ZONE_HOP_MS
        else:
            hop = 0.0
        if prefer == 'store-region' and place.region != self.store_region:
            hop += 2 * REGION_HOP_MS * STORE_ROUND_TRIPS
        return hop
