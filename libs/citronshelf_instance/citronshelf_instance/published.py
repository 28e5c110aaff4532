"""Published configuration and registrations that are in force."""

import asyncio
import logging
import random

from citronshelf_common import events as log_events
from citronshelf_instance import account_table
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import registrations
from citronshelf_instance import routing

LOG = logging.getLogger(__name__)

# Source of a state that this instance itself read from the store.
STORE_SOURCE = 'store'


class PublishedState:
    """Configuration in force and registered servers.

    A configuration with a lower revision than the one in force is never
    applied, whether it comes from the store or from a peer.

    Parameters
    ----------
    directory : Directory
    clock : callable
        Monotonic seconds.
    rng : random.Random

    Attributes
    ----------
    revision : int
        All publications up to this revision are known; 0 before the first
        read.
    change_revision : int
        Revision of the newest change that a watch returned, or of the
        configuration in force if that is newer.
    unchanged_since : int
        No change is known after this revision and up to ``revision``.
    unread_revision : int
        Revision of the newest configuration that could not be read.
    changed_s : float
        When a configuration or registrations last changed after the start.
    configured_s : float
        When the configuration in force replaced another one.
    limits : CallerLimits or None
        Limits in force; None before the first configuration.
    accounts : AccountTable
        Accounts of the configuration in force.
    """

    def __init__(
        self,
        *,
        directory: registrations.Directory,
        clock,
        rng: random.Random,
    ):
        self.directory = directory
        self.clock = clock
        self.rng = rng
        self.revision = 0
        self.change_revision = 0
        self.unchanged_since = 0
        self.unread_revision = 0
        self.changed_s = float('-inf')
        self.configured_s = float('-inf')
        self.configuration: configuration.Configuration | None = None
        self.routes: routing.RouteTable | None = None
        self.limits: configuration.CallerLimits | None = None
        self.accounts = account_table.AccountTable(accounts=())
        self.on_change = lambda: None
        self.routable = asyncio.Event()

    def replace(
        self,
        snapshot: configuration.Snapshot,
        *,
        source: str,
        confirmed_ago_s: float = 0.0,
    ) -> None:
        """Replace the state with a snapshot unless the snapshot is older.

        The configuration of an older one is applied while there is none.
        """
        if snapshot.revision < self.revision:
            if self.configuration is None and snapshot.configuration:
                self.apply_configuration(snapshot.configuration, source)
                self.finish_change()
            return
        self.revision = self.unchanged_since = snapshot.revision
        if source == STORE_SOURCE:
            self.directory.confirm(confirmed_ago_s)
        elif snapshot.confirmed_ago_s is not None:
            self.directory.confirm(snapshot.confirmed_ago_s)
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration, source)
        self.record_unread(snapshot.unread_configuration)
        if snapshot.revision >= self.directory.revision:
            self.directory.replace(snapshot)
        self.finish_change()

    def finish_change(self) -> None:
        """Record whether requests can be routed; announce the change."""
        if self.is_routable():
            self.routable.set()
        self.on_change()

    def apply(
        self, changes: configuration.Changes, confirmed_ago_s: float = 0.0
    ) -> None:
        """Apply changes unless their revision is older than the known one.

        A configuration may be newer than that revision.
        """
        if changes.revision < self.revision:
            if changes.configuration is not None:
                self.apply_configuration(changes.configuration, STORE_SOURCE)
            return
        self.revision = changes.revision
        if changes.configuration is not None:
            self.apply_configuration(changes.configuration, STORE_SOURCE)
        self.directory.confirm(confirmed_ago_s)
        self.record_unread(changes.unread_configuration)
        if changes.registrations:
            self.apply_registrations(changes)
        if not changes.is_empty():
            self.change_revision = changes.revision
            self.unchanged_since = changes.revision
            self.on_change()
        if self.is_routable():
            self.routable.set()

    def apply_registrations(self, changes: configuration.Changes) -> None:
        """Apply registrations that were read apart from a configuration.

        ``revision`` stays, since a configuration may be missing. Older ones
        that are read later do not replace them.
        """
        if changes.revision >= self.directory.revision:
            self.directory.apply(changes)
            self.changed_s = self.clock()

    def apply_delta(
        self,
        delta: configuration.RegistrationDelta,
        confirmed_ago_s: float | None = 0.0,
    ) -> bool:
        """Apply changes that another instance read.

        Returns False, without a change, if they are known already, or if
        changes before them or the configuration among them are missing.

        Parameters
        ----------
        delta : RegistrationDelta
        confirmed_ago_s : float or None
            Seconds since the store showed the other instance that nothing
            newer was published; None if unknown.
        """
        if not delta.after <= self.revision <= delta.revision:
            return False
        in_force = self.configuration.revision if self.configuration else 0
        if delta.configuration > in_force:
            return False
        if confirmed_ago_s is not None:
            self.directory.confirm(confirmed_ago_s)
        if delta.revision == self.revision:
            return False
        self.revision = delta.revision
        if delta.registrations:
            self.change_revision = self.unchanged_since = delta.revision
            self.apply_registrations(
                configuration.Changes(
                    delta.revision, None, delta.registrations
                )
            )
        return True

    def apply_transfer(
        self,
        published: configuration.Configuration,
        delta: configuration.RegistrationDelta | None,
        *,
        source: str,
        confirmed_ago_s: float | None,
    ) -> None:
        """Apply a configuration that another instance read.

        Parameters
        ----------
        published : Configuration
        delta : RegistrationDelta or None
            All that changed beside the configuration. If changes before it
            are missing, this instance still lacks them afterwards.
        source : str
            Name of the other instance.
        confirmed_ago_s : float or None
            As in ``apply_delta``.
        """
        self.apply_configuration(published, source)
        if delta is not None and self.apply_delta(delta, confirmed_ago_s):
            self.change_revision = max(self.change_revision, delta.revision)
            self.unchanged_since = delta.revision
        if self.is_routable():
            self.routable.set()

    def empty_delta(self) -> configuration.RegistrationDelta:
        """Return the range of revisions in which nothing changed."""
        return configuration.RegistrationDelta(
            self.unchanged_since, self.revision, {}
        )

    def apply_configuration(
        self, published: configuration.Configuration, source: str
    ) -> None:
        """Apply a configuration if it is newer than the one in force."""
        current = self.configuration
        if current is not None and published.revision <= current.revision:
            return
        age_s = self.age_s()
        self.configuration = published
        if current is not None:
            self.changed_s = self.configured_s = self.clock()
        self.limits = published.limits
        self.routes = routing.RouteTable(published=published, rng=self.rng)
        self.replace_accounts(published)
        self.change_revision = max(self.change_revision, published.revision)
        log_events.log_event(
            LOG,
            events.CONFIGURATION_IN_FORCE,
            revision=published.revision,
            version=published.version,
            routes=len(published.routes),
            services=len(published.services),
            source=source,
            list_age_s=None if age_s is None else round(age_s, 3),
        )

    def replace_accounts(self, published: configuration.Configuration) -> None:
        """Replace the accounts; log the numbers of changed keys, if any."""
        old = self.accounts.by_digest
        self.accounts = account_table.AccountTable(accounts=published.accounts)
        new = self.accounts.by_digest
        if old or new:
            log_events.log_event(
                LOG,
                events.ACCOUNTS_IN_FORCE,
                revision=published.revision,
                accounts=len(published.accounts),
                keys=len(new),
                added_keys=len(new.keys() - old.keys()),
                withdrawn_keys=len(old.keys() - new.keys()),
            )

    def record_unread(self, revision: int) -> None:
        """Record the revision of a configuration that cannot be read."""
        self.unread_revision = max(self.unread_revision, revision)
        self.change_revision = max(self.change_revision, revision)

    def lacks_configuration(self) -> bool:
        """Return whether a newer configuration could not be read."""
        known = self.configuration.revision if self.configuration else 0
        return self.unread_revision > known

    def unchanged_s(self) -> float:
        """Return the seconds since anything changed."""
        return self.clock() - self.changed_s

    def may_lack_versions(self) -> bool:
        """Return whether several newer configurations are likely.

        So it is if the state has been confirmed for a shorter time after its
        configuration came into force than has passed since.
        """
        age_s = self.age_s()
        if age_s is None or self.configuration is None:
            return False
        return self.clock() - self.configured_s < 2 * age_s

    def age_s(self) -> float | None:
        """Return the seconds since the state was known to be the newest.

        Returns None if it never was.
        """
        return self.directory.age_s()

    def snapshot(self) -> configuration.Snapshot:
        """Return the state for an instance that cannot read the store."""
        return configuration.Snapshot(
            self.revision,
            self.configuration,
            self.directory.listed(),
            self.directory.lapsed(),
            self.directory.recovered_ago_s(),
            self.unread_revision if self.lacks_configuration() else 0,
            self.age_s(),
        )

    def confirmed_ago_s(
        self, delta: configuration.RegistrationDelta | None
    ) -> float | None:
        """Return how long ago the state after some changes was the newest.

        None if that is unknown: the state has later changes, and its age says
        nothing of the one before them.
        """
        if delta is not None and self.revision > delta.revision:
            return None
        return self.age_s()

    async def wait_routable(self, wait_s: float) -> bool:
        """Wait until requests can be routed.

        Returns False if that takes longer than ``wait_s`` seconds.
        """
        try:
            async with asyncio.timeout(wait_s):
                await self.routable.wait()
        except TimeoutError:
            return False
        return True

    def is_routable(self) -> bool:
        """Return whether routes and registrations have been received."""
        return self.routes is not None and self.directory.revision > 0
