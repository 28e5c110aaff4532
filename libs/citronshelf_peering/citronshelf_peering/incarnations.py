"""Tracks the latest incarnation of each instance."""

import re

from citronshelf_common import identity
from citronshelf_common import settings

NAME = re.compile(settings.NAME_PATTERN)
NONCE = re.compile(r'^[0-9a-f]{16}$')
# The fleet is expected to reach 6,400 instances in two years, with 3,200
# replacements a day.
MAX_INSTANCES = 20_000
MAX_STARTED_MS = 2**53


class IncarnationRegister:
    """Rejects messages from all but the latest incarnation of an instance.

    Above ``MAX_INSTANCES``, the instance that was admitted first is removed.
    """

    def __init__(self):
        self.latest: dict[str, identity.Incarnation] = {}

    def admit(self, incarnation: identity.Incarnation) -> bool:
        """Return whether a message from this incarnation is accepted.

        A newer incarnation becomes the latest one of its instance.

        Parameters
        ----------
        incarnation : Incarnation
            Untrusted; rejected when it is not well formed.
        """
        if not well_formed(incarnation):
            return False
        known = self.latest.get(incarnation.instance)
        if known == incarnation:
            return True
        if known is not None and not incarnation.supersedes(known):
            return False
        self.latest[incarnation.instance] = incarnation
        if len(self.latest) > MAX_INSTANCES:
            del self.latest[next(iter(self.latest))]
        return True


def well_formed(incarnation: identity.Incarnation) -> bool:
    """Return whether an untrusted incarnation has valid field values."""
    return bool(
        NAME.match(incarnation.instance)
        and NONCE.match(incarnation.nonce)
        and 0 < incarnation.started_ms < MAX_STARTED_MS
    )
