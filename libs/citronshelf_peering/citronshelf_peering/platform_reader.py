"""Reads a value of the platform as the role of this instance demands."""

import logging

from citronshelf_common import events as common_events
from citronshelf_peering import events
from citronshelf_peering import shared_value

LOG = logging.getLogger(__name__)

# Each answer to a watch confirms the values, so that a watch has to be
# shorter than the time after which others read for themselves.
WATCH_TIMEOUT_MS = 4000
# A watch only names higher revisions; a plain read shows that the platform
# went back.
PLAIN_READ_INTERVAL_S = 30.0
# Without a confirmation by a reader for this time, an instance reads itself.
UNCONFIRMED_S = 10.0
OWN_READ_DELAY_MIN_S = 5.0
OWN_READ_DELAY_MAX_S = 15.0
RETRY_DELAY_MIN_S = 0.5
RETRY_DELAY_MAX_S = 8.0
IDLE_INTERVAL_S = 1.0


class PlatformReader:
    """Task that reads one value.

    Parameters
    ----------
    value : SharedValue
    platform : object
        ``await read(name, after=, wait_ms=)`` returns a ``Result`` with
        ``revision`` and ``body``.
    peering : Peering
        ``is_reader()``, ``platform_age_s()`` and ``note_platform(age_s)``.
    timers : Timers
    rng : random.Random
    """

    def __init__(self, *, value, platform, peering, timers, rng):
        self.value = value
        self.platform = platform
        self.peering = peering
        self.timers = timers
        self.rng = rng
        self.revision = 0
        self.plain_read_at: float | None = None
        self.behind_logged = 0

    async def run(self) -> None:
        """Read until cancelled."""
        await self.read_until_response()
        while True:
            if self.peering.is_reader():
                await self.watch()
            elif self.peering.platform_age_s() > UNCONFIRMED_S:
                pause_s = self.rng.uniform(
                    OWN_READ_DELAY_MIN_S, OWN_READ_DELAY_MAX_S
                )
                await self.timers.sleep(pause_s)
                if self.peering.platform_age_s() > UNCONFIRMED_S:
                    await self.read(0)
            else:
                await self.timers.sleep(IDLE_INTERVAL_S)

    async def read_until_response(self) -> None:
        """Read once at the start; peers may answer first."""
        while not await self.read(0) and not self.value.is_open:
            pause_s = self.rng.uniform(
                RETRY_DELAY_MIN_S, 2 * RETRY_DELAY_MIN_S
            )
            await self.timers.sleep(pause_s)

    async def watch(self) -> None:
        """Wait for a higher revision, or read plainly now and then."""
        now = self.timers.clock()
        plain = (
            self.plain_read_at is None
            or now - self.plain_read_at >= PLAIN_READ_INTERVAL_S
            or not self.revision
        )
        if await self.read(0 if plain else self.revision):
            return
        await self.timers.sleep(
            self.rng.uniform(RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S)
        )

    async def read(self, after: int) -> bool:
        """Read once; tell whether the platform answered."""
        response = await self.platform.read(
            self.value.name,
            after=after,
            wait_ms=WATCH_TIMEOUT_MS if after else 0,
        )
        if response.is_error():
            return False
        if not after:
            self.plain_read_at = self.timers.clock()
        self.peering.record_confirmation(0.0)
        if response.ok.body is not None:
            self.offer_value(response.ok.revision, response.ok.body)
        return True

    def offer_value(self, revision: int, body: bytes) -> None:
        """Offer what the platform has."""
        self.revision = revision
        highest = max(self.value.revision(), self.value.highest_available())
        if revision < highest and self.behind_logged != revision:
            self.behind_logged = revision
            common_events.log_event(
                LOG,
                events.PLATFORM_BEHIND,
                value=self.value.name,
                platform=revision,
                fleet=highest,
            )
        self.value.offer(shared_value.make_publication(revision, body))
