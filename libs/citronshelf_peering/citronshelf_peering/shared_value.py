"""A value replicated in the fleet: the document or the fleet list."""

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
# Only the newest refused revision is announced; the others are kept to serve
# fetches from instances that are behind.
MAX_REFUSED = 8
MAX_CANDIDATES = 8


class Publication(NamedTuple):
    """One published revision of a value.

    Attributes
    ----------
    revision : int
        Identifies the publication; publishing the same bytes again creates
        a new revision.
    body : bytes
    digest : str
        First ``DIGEST_CHARS`` hexadecimal digits of the SHA-256 of the body.
    """

    revision: int
    body: bytes
    digest: str


class RefusedPublication(NamedTuple):
    """A publication that failed its check, and the faults found."""

    publication: Publication
    faults: tuple[str, ...]


class OfferResult(enum.Enum):
    """Result of offering a publication.

    Attributes
    ----------
    IN_FORCE
        It passed its check and is in force.
    WAITING
        It was collected and is checked when the value is opened.
    KNOWN
        Its revision is already stored with the same digest.
    OLDER
        Its revision is below the one in force.
    REFUSED
        It failed its check.
    CONFLICT
        Its revision is already stored with another digest.
    """

    IN_FORCE = 'in-force'
    WAITING = 'waiting'
    KNOWN = 'known'
    OLDER = 'older'
    REFUSED = 'refused'
    CONFLICT = 'conflict'


def make_publication(revision: int, body: bytes) -> Publication:
    """Create a publication and compute the digest of its body."""
    digest = hashlib.sha256(body).hexdigest()[:DIGEST_CHARS]
    return Publication(revision, body, digest)


def pack(publication: Publication) -> bytes:
    """Compress the body of a publication with zlib."""
    return zlib.compress(publication.body, 6)


def unpack(revision: int, digest: str, packed: bytes) -> Result:
    """Decompress and verify an untrusted copy of a publication.

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
        return Error('the body is truncated or larger than 1 MB')
    publication = make_publication(revision, body)
    if publication.digest != digest:
        return Error('the digest does not match the body')
    return Ok(publication)


Check = Callable[[bytes], Result]


class SharedValue:
    """Holds the highest valid revision and never goes back to a lower one.

    Until ``open`` is called, publications are only collected, so that a
    starting instance can compare those of the platform and of its peers.

    Parameters
    ----------
    name : str
        Name on the platform and in the log.
    check : callable
        Called with the body; returns ``Ok`` with the parsed value or
        ``Error`` with a tuple of texts. It must be deterministic.
    changed : callable
        Called without arguments after a revision was put in force or
        refused.
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
        """Return the revision in force; 0 before the first."""
        return self.held.revision if self.held else 0

    def offer(self, publication: Publication) -> OfferResult:
        """Offer a publication from the platform or from a peer.

        Before ``open`` it is only collected.
        """
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
        """Raise ``highest_seen`` to a revision offered or announced."""
        self.highest_seen = max(self.highest_seen, revision)

    def collect(self, publication: Publication) -> OfferResult:
        """Store a candidate until the value is open.

        Only the ``MAX_CANDIDATES`` highest revisions are kept.
        """
        existing = self.candidates.setdefault(
            publication.revision, publication
        )
        if len(self.candidates) > MAX_CANDIDATES:
            del self.candidates[min(self.candidates)]
        return self.compare_digests(existing, publication, OfferResult.WAITING)

    def compare_digests(
        self, existing, publication, same=OfferResult.KNOWN
    ) -> OfferResult:
        """Compare two publications of the same revision.

        Returns ``same`` if their digests match. A conflict is logged.
        """
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
        """Check a newer publication and put it in force or refuse it."""
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
        """Store and log a publication that failed its check.

        Only the ``MAX_REFUSED`` highest revisions are kept.
        """
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
        """Put the highest valid candidate in force.

        Candidates that fail their check are stored as refused; those below
        the valid one are dropped. Publications offered from now on are
        checked immediately.
        """
        self.is_open = True
        waiting = sorted(self.candidates.values(), reverse=True)
        self.candidates = {}
        for publication in waiting:
            if self.offer(publication) is OfferResult.IN_FORCE:
                break

    def preview(self) -> Any:
        """Return the parsed value in force, or that of a candidate.

        If no value is in force, the highest candidate is parsed, to select
        peers during startup; it is not put in force. Returns None if there is
        no candidate or the highest one is invalid.
        """
        best = max(self.candidates, default=0)
        if self.held or not best:
            return self.parsed
        if self.previewed[0] != best:
            checked = self.check(self.candidates[best].body)
            self.previewed = (best, checked.default_value(None))
        return self.previewed[1]

    def highest_available(self) -> int:
        """Return the highest revision whose body is stored; 0 for none."""
        held = [*self.candidates, *self.refused, self.revision()]
        return max(held)

    def heads(self) -> tuple[messages.Head, ...]:
        """Return the heads to announce to peers.

        These are the revision in force and the newest refused one, if that
        is higher.
        """
        heads = []
        if self.held:
            heads.append(make_head(self.held, True))
        newest = max(self.refused, default=0)
        if newest > self.revision():
            heads.append(make_head(self.refused[newest].publication, False))
        return tuple(heads)

    def find(self, revision: int) -> Publication | None:
        """Return the stored publication of a revision, or None."""
        if self.held and self.held.revision == revision:
            return self.held
        if revision in self.refused:
            return self.refused[revision].publication
        return self.candidates.get(revision)

    def missing_revisions(self, heads: tuple[messages.Head, ...]) -> list[int]:
        """Return announced revisions that have to be fetched, highest first.

        These are above the revision in force and not stored yet.
        """
        wanted = [
            head.revision
            for head in heads
            if head.revision > self.revision()
            and self.find(head.revision) is None
        ]
        return sorted(wanted, reverse=True)

    def packed_copy(self, publication: Publication) -> bytes:
        """Return the compressed body.

        The result for the last revision is cached.
        """
        if self.packed[0] != publication.revision:
            self.packed = (publication.revision, pack(publication))
        return self.packed[1]


def make_head(publication: Publication, accepted: bool) -> messages.Head:
    """Create the head that announces a publication."""
    return messages.Head(publication.revision, publication.digest, accepted)
