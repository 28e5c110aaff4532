"""One value that the fleet shares: the document or the list of instances."""

from collections.abc import Callable
import enum
import hashlib
import logging
from typing import Any
from typing import NamedTuple
import zlib

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_common import events as common_events
from citronshelf_peering import events
from citronshelf_peering import messages

LOG = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024
DIGEST_CHARS = 16
# Only the newest refused revision is announced; the others answer a fetch of
# an instance that is behind.
MAX_REFUSED = 8
MAX_CANDIDATES = 8


class Publication(NamedTuple):
    """One publication of a value.

    Attributes
    ----------
    revision : int
        The identity: the same bytes published again are a new revision.
    body : bytes
    digest : str
        First digits of the SHA-256 of the body.
    """

    revision: int
    body: bytes
    digest: str


class RefusedPublication(NamedTuple):
    """A publication that failed its check, and why."""

    publication: Publication
    faults: tuple[str, ...]


class OfferResult(enum.Enum):
    """What became of an offered publication."""

    IN_FORCE = 'in-force'
    WAITING = 'waiting'
    KNOWN = 'known'
    OLDER = 'older'
    REFUSED = 'refused'
    CONFLICT = 'conflict'


def make_publication(revision: int, body: bytes) -> Publication:
    """Return the publication of a body."""
    digest = hashlib.sha256(body).hexdigest()[:DIGEST_CHARS]
    return Publication(revision, body, digest)


def pack(publication: Publication) -> bytes:
    """Return the compressed body."""
    return zlib.compress(publication.body, 6)


def unpack(revision: int, digest: str, packed: bytes) -> Result:
    """Return the publication of a copy from a peer.

    Returns
    -------
    Result
        ``Ok`` with a ``Publication`` or ``Error`` with the reason. At most
        1 MB is decompressed.
    """
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(packed, MAX_BODY_BYTES)
    except zlib.error as error:
        return Error(str(error))
    if not stream.eof:
        return Error('the body is cut off or over 1 MB')
    publication = make_publication(revision, body)
    if publication.digest != digest:
        return Error('the digest does not fit the body')
    return Ok(publication)


Check = Callable[[bytes], Result]


class SharedValue:
    """Holds the highest good revision and never goes back.

    Until ``open``, publications are only collected, so that a starting
    instance can compare what the platform and its peers have.

    Parameters
    ----------
    name : str
        Name in the log.
    check : callable
        Takes the body; ``Ok`` with the parsed value or ``Error`` with a
        tuple of texts. It must be deterministic.
    changed : callable
        Called without arguments after a revision is in force or refused.
    """

    def __init__(self, *, name: str, check: Check, changed):
        self.name = name
        self.check = check
        self.changed = changed
        self.is_open = False
        self.held: Publication | None = None
        self.parsed: Any = None
        self.refused: dict[int, RefusedPublication] = {}
        self.candidates: dict[int, Publication] = {}
        self.highest_seen = 0
        self.packed: tuple[int, bytes] = (0, b'')
        self.previewed: tuple[int, Any] = (0, None)

    def revision(self) -> int:
        """Return the revision in force, 0 before the first."""
        return self.held.revision if self.held else 0

    def offer(self, publication: Publication) -> OfferResult:
        """Take a publication from the platform or from a peer."""
        self.record_seen_revision(publication.revision)
        if not self.is_open:
            return self.collect(publication)
        existing = self.find(publication.revision)
        if existing is not None:
            return self.compare_digests(existing, publication)
        if publication.revision < self.revision():
            return OfferResult.OLDER
        return self.check_and_apply(publication)

    def record_seen_revision(self, revision: int) -> None:
        """Remember the highest revision that anyone named."""
        self.highest_seen = max(self.highest_seen, revision)

    def collect(self, publication: Publication) -> OfferResult:
        """Keep a publication until the value is open."""
        existing = self.candidates.setdefault(
            publication.revision, publication
        )
        if len(self.candidates) > MAX_CANDIDATES:
            del self.candidates[min(self.candidates)]
        return self.compare_digests(existing, publication, OfferResult.WAITING)

    def compare_digests(
        self, existing, publication, same=OfferResult.KNOWN
    ) -> OfferResult:
        """Compare two publications of one revision."""
        if existing.digest == publication.digest:
            return same
        common_events.log_event(
            LOG,
            events.REVISION_CONFLICT,
            value=self.name,
            revision=existing.revision,
            kept=existing.digest,
            ignored=publication.digest,
        )
        return OfferResult.CONFLICT

    def check_and_apply(self, publication: Publication) -> OfferResult:
        """Check a publication above the one in force."""
        checked = self.check(publication.body)
        if checked.is_error():
            self.refuse(publication, checked.error)
            return OfferResult.REFUSED
        self.held = publication
        self.parsed = checked.ok
        common_events.log_event(
            LOG,
            events.VALUE_IN_FORCE,
            value=self.name,
            revision=publication.revision,
            digest=publication.digest,
        )
        self.changed()
        return OfferResult.IN_FORCE

    def refuse(self, publication: Publication, faults) -> None:
        """Remember a publication that failed its check."""
        refused = RefusedPublication(publication, tuple(faults))
        self.refused[publication.revision] = refused
        if len(self.refused) > MAX_REFUSED:
            del self.refused[min(self.refused)]
        common_events.log_event(
            LOG,
            events.VALUE_REFUSED,
            value=self.name,
            revision=publication.revision,
            faults=list(refused.faults[:10]),
        )
        self.changed()

    def open(self) -> None:
        """Put the highest good candidate in force; judge from now on."""
        self.is_open = True
        waiting = sorted(self.candidates.values(), reverse=True)
        self.candidates = {}
        for publication in waiting:
            if self.offer(publication) is OfferResult.IN_FORCE:
                break

    def preview(self) -> Any:
        """Return the parsed value in force, or else of the best candidate.

        For the choice of the peers to ask; nothing is put in force.
        """
        best = max(self.candidates, default=0)
        if self.held or not best:
            return self.parsed
        if self.previewed[0] != best:
            checked = self.check(self.candidates[best].body)
            self.previewed = (best, checked.default_value(None))
        return self.previewed[1]

    def highest_available(self) -> int:
        """Return the highest revision whose body is here."""
        held = [*self.candidates, *self.refused, self.revision()]
        return max(held)

    def heads(self) -> tuple[messages.Head, ...]:
        """Return what a peer has to know: in force and newest refused."""
        heads = []
        if self.held:
            heads.append(make_head(self.held, True))
        newest = max(self.refused, default=0)
        if newest > self.revision():
            heads.append(make_head(self.refused[newest].publication, False))
        return tuple(heads)

    def find(self, revision: int) -> Publication | None:
        """Return the publication of a revision that is here."""
        if self.held and self.held.revision == revision:
            return self.held
        if revision in self.refused:
            return self.refused[revision].publication
        return self.candidates.get(revision)

    def missing_revisions(self, heads: tuple[messages.Head, ...]) -> list[int]:
        """Return the announced revisions worth fetching, highest first."""
        wanted = [
            head.revision
            for head in heads
            if head.revision > self.revision()
            and self.find(head.revision) is None
        ]
        return sorted(wanted, reverse=True)

    def packed_copy(self, publication: Publication) -> bytes:
        """Return the compressed body; the last one is kept."""
        if self.packed[0] != publication.revision:
            self.packed = (publication.revision, pack(publication))
        return self.packed[1]


def make_head(publication: Publication, accepted: bool) -> messages.Head:
    """Return the head that announces a publication."""
    return messages.Head(publication.revision, publication.digest, accepted)
