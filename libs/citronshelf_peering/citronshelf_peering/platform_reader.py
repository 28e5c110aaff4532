"""Reads a value from the platform, as often as this instance's role needs."""

import logging

from citronshelf_common import events as common_events
from citronshelf_peering import events
from citronshelf_peering import shared_value

LOG = logging.getLogger(__name__)

# Each response to a watch confirms the value, so a watch must be shorter than
# the time after which the other instances read the platform themselves.
WATCH_TIMEOUT_MS = 4000
# A watch only returns higher revisions; a plain read is needed to detect that
# the platform went back to an older one.
PLAIN_READ_INTERVAL_S = 30.0
# Instances other than readers also read the platform when they know of no
# response from it for this long.
CONFIRMATION_TIMEOUT_S = 10.0
OWN_READ_DELAY_MIN_S = 5.0
OWN_READ_DELAY_MAX_S = 15.0
RETRY_DELAY_MIN_S = 0.5
RETRY_DELAY_MAX_S = 8.0
IDLE_INTERVAL_S = 1.0


class PlatformReader:
    """Reads one value from the platform and offers it to ``value``.

    Parameters
    ----------
    value : SharedValue
    platform : object
        ``await read(name, after=, wait_ms=)`` returns a ``Result`` with
        ``revision`` and ``body``; the body is None when there is no revision
        above ``after``.
    peering : Peering
        Has ``is_reader()``, ``platform_age_s()`` and
        ``record_confirmation(age_s)``.
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
        """Read at startup, then as the role requires, until cancelled.

        Readers watch the value. Other instances read it after a random delay
        if they know of no response from the platform to any instance within
        ``CONFIRMATION_TIMEOUT_S``.
        """
        await self.read_until_response()
        while True:
            if self.peering.is_reader():
                await self.watch()
            elif self.peering.platform_age_s() > CONFIRMATION_TIMEOUT_S:
                pause_s = self.rng.uniform(
                    OWN_READ_DELAY_MIN_S, OWN_READ_DELAY_MAX_S
                )
                await self.timers.sleep(pause_s)
                if self.peering.platform_age_s() > CONFIRMATION_TIMEOUT_S:
                    await self.read(0)
            else:
                await self.timers.sleep(IDLE_INTERVAL_S)

    async def read_until_response(self) -> None:
        """Read until the platform responds or the value is open.

        The value may be opened with the responses of peers alone.
        """
        while not await self.read(0) and not self.value.is_open:
            pause_s = self.rng.uniform(
                RETRY_DELAY_MIN_S, 2 * RETRY_DELAY_MIN_S
            )
            await self.timers.sleep(pause_s)

    async def watch(self) -> None:
        """Read once: a watch, or a plain read if due or no revision is known.

        Sleeps for a random time after a failed read.
        """
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
        """Read once; return whether the platform responded.

        Parameters
        ----------
        after : int
            Waits for a revision above this one; 0 for a plain read.
        """
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
        """Offer a revision from the platform to the value.

        Logs an error, once for each revision, when the fleet has a higher
        one.
        """
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
