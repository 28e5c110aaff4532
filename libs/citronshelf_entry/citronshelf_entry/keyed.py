"""Handles requests with idempotency keys that this process issued."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import logging
import time
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import outcomes
from citronshelf_entry import events
from citronshelf_entry import forward_messages
from citronshelf_entry import headers
from citronshelf_entry import key_table
from citronshelf_entry import keys

LOG = logging.getLogger(__name__)
# From this table usage on, keys are issued only on request and no longer with
# each response.
MAX_NEXT_KEY_USAGE = 0.5


class KeyedRequest(NamedTuple):
    """A request with an idempotency key, from a caller or another instance.

    Attributes
    ----------
    request_id, method, target, account : str
    host : str
        Empty unless the route matches on the host.
    headers : tuple of (str, str)
        As sent by the caller.
    deadline_ms : int or None
        Time left; None if the caller sets no limit.
    body : bytes
    """

    request_id: str
    method: str
    target: str
    host: str
    account: str
    headers: headers.HeaderList
    deadline_ms: int | None
    body: bytes

    def fingerprint(self) -> bytes:
        """Return a digest of the method, target, host and body.

        A retry with the same key must not differ in them; its headers and
        account may differ.
        """
        digest = hashlib.sha256()
        for part in (
            self.method.encode(),
            self.target.encode('latin-1'),
            self.host.encode('latin-1'),
            self.body,
        ):
            digest.update(len(part).to_bytes(8))
            digest.update(part)
        return digest.digest()


Run = Callable[[KeyedRequest], Awaitable[outcomes.Outcome]]


class KeyOwner:
    """Issues idempotency keys and runs the request of each at most once.

    Parameters
    ----------
    incarnation : Incarnation
    forward : Address
    signer : KeySigner
    table : KeyTable
    run : callable
        Runs a request on the backend servers and returns its final outcome;
        called at most once for each key.
    """

    def __init__(
        self,
        *,
        incarnation: identity.Incarnation,
        forward: fleet.Address,
        signer: keys.KeySigner,
        table: key_table.KeyTable,
        run: Run,
    ):
        self.incarnation = incarnation
        self.forward = forward
        self.signer = signer
        self.table = table
        self.run = run
        self.stopping = False
        self.tasks: set[asyncio.Task] = set()

    def issue(self) -> str:
        """Return a new key; empty if the table is full or while stopping."""
        if self.stopping:
            return ''
        serial = self.table.issue()
        if serial is None:
            return ''
        issued_ms = int(time.time() * 1000)
        return self.signer.write(
            keys.Key(self.incarnation, self.forward, serial, issued_ms)
        )

    def issue_next(self) -> str:
        """Return a key to add to a response.

        Empty from ``MAX_NEXT_KEY_USAGE`` on, and when ``issue`` returns none.
        """
        return self.issue() if self.table.usage() < MAX_NEXT_KEY_USAGE else ''

    def is_owner(self, key: keys.Key) -> bool:
        """Return whether this incarnation issued a key."""
        return key.owner == self.incarnation

    async def handle(
        self, key: keys.Key, request: KeyedRequest, wait_s: float
    ) -> tuple[forward_messages.KeyedOutcome, key_table.KeyRecord | None]:
        """Run a request, wait for one in flight or return a stored outcome.

        Parameters
        ----------
        key : Key
            Issued by this incarnation.
        request : KeyedRequest
        wait_s : float
            Time limit for the outcome.

        Returns
        -------
        tuple of (KeyedOutcome, KeyRecord or None)
            The record is returned only with a final outcome.
        """
        begun = self.table.begin(key.serial, request.fingerprint())
        match begun:
            case key_table.Expired():
                return outcomes.Unknown(reason='key-expired'), None
            case key_table.Conflict():
                return forward_messages.Conflict(), None
            case key_table.Finished(record):
                return record.outcome, record
            case key_table.Start(record):
                self.start(record, request)
        return await self.wait(begun.record, wait_s)

    def start(self, record, request: KeyedRequest) -> None:
        """Run a request in a task that its callers cannot cancel.

        While stopping, its outcome is "not run" instead.
        """
        if self.stopping:
            self.table.finish(record, outcomes.NotRun(reason='stopping'))
            return
        task = asyncio.create_task(self.run_once(record, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_once(self, record, request: KeyedRequest) -> None:
        """Run a request and store its outcome; "unknown" on an exception."""
        outcome = outcomes.Unknown(reason='internal-fault')
        try:
            outcome = await self.run(request)
        except Exception as error:
            log_events.log_event(
                LOG,
                events.INTERNAL_ERROR,
                request_id=request.request_id,
                reason=repr(error),
            )
        finally:
            self.table.finish(record, outcome)

    async def wait(self, record, wait_s: float):
        """Wait for the outcome of a request; "unknown" after ``wait_s``."""
        if record.finished is None:
            return record.outcome, record
        try:
            async with asyncio.timeout(wait_s):
                outcome = await asyncio.shield(record.finished)
        except TimeoutError:
            return outcomes.Unknown(reason='still-running'), None
        return outcome, record
