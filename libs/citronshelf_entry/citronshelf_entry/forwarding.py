"""Forwarding of keyed requests to the instances that issued their keys."""

import asyncio
import logging
from typing import NamedTuple
from typing import Protocol

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import outcomes
from citronshelf_entry import clock
from citronshelf_entry import events
from citronshelf_entry import forward_messages
from citronshelf_entry import keyed
from citronshelf_entry import keys
from citronshelf_peering import incarnations

LOG = logging.getLogger(__name__)
MAX_PENDING = 1024
MAX_SERVED = 512
MAX_DEADLINE_MS = 3_600_000
# Time for the response to travel back, on top of the time limit of the owner
# of the key, the incarnation that issued it.
RESPONSE_MARGIN_S = 0.25
# Limit for connecting to an owner: three round trips between regions and the
# handshake. After a recent failure the process has probably exited, so the
# following requests wait less.
CONNECT_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_AFTER_FAILURE_S = 0.05
RECENT_FAILURE_S = 2.0
MAX_RECENT_FAILURES = 1024


class Transport(Protocol):
    """Carries messages between entry daemons; delivery is not guaranteed."""

    async def send(self, address: fleet.Address, data: bytes, body: bytes):
        """Send a request to an owner after waiting for a connection to it."""

    def reply(self, route, data: bytes, body: bytes) -> None:
        """Send a reply to the sender of a request."""

    def disconnect(self, address: fleet.Address) -> None:
        """Close the connection to an owner that does not respond."""


class Pending(NamedTuple):
    """A forwarded request whose response is outstanding."""

    number: int
    owner: identity.Incarnation
    forward: fleet.Address
    future: asyncio.Future


class OwnerForwarder:
    """Sends each keyed request to the owner of its key, at most once.

    Parameters
    ----------
    incarnation : Incarnation
    transport : Transport
    """

    def __init__(
        self, *, incarnation: identity.Incarnation, transport: Transport
    ):
        self.incarnation = incarnation
        self.transport = transport
        self.last_number = 0
        self.pending: dict[int, Pending] = {}
        self.sent: set[int] = set()
        self.failed_at_s: dict[fleet.Address, float] = {}

    async def forward(
        self,
        key: keys.Key,
        text: str,
        request: keyed.KeyedRequest,
        wait_s: float,
    ) -> forward_messages.KeyedOutcome:
        """Have the owner of a key handle a request.

        Without a response from the same incarnation of the owner, the outcome
        is unknown: the request may have reached the owner, now or through
        another instance. A key of an earlier incarnation of this instance is
        not forwarded; its outcome is unknown too.

        Parameters
        ----------
        key : Key
        text : str
            Encoded form of the key.
        request : KeyedRequest
        wait_s : float
            Time limit for the owner.
        """
        if key.owner.instance == self.incarnation.instance:
            return self.unknown_outcome(key, request, 'owner-ended')
        if len(self.pending) >= MAX_PENDING:
            return self.unknown_outcome(key, request, 'too-many-forwards')
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = Pending(number, key.owner, key.forward, future)
        message = self.encode_request(number, key, text, request, wait_s)
        log_events.log_event(
            LOG,
            events.FORWARD_SENT,
            request_id=request.request_id,
            owner=key.owner.instance,
        )
        try:
            if not await self.send(key.forward, message, request, wait_s):
                return self.unknown_outcome(key, request, 'owner-not-reached')
            self.sent.add(number)
            async with asyncio.timeout(wait_s + RESPONSE_MARGIN_S):
                outcome = await future
        except TimeoutError:
            self.disconnect_unresponsive(number)
            return self.unknown_outcome(key, request, 'owner-silent')
        finally:
            del self.pending[number]
            self.sent.discard(number)
        if isinstance(outcome, str):
            return self.unknown_outcome(key, request, outcome)
        return outcome

    async def send(self, address, message, request, wait_s: float) -> bool:
        """Send to an owner; return False if no connection is made in time."""
        now_s = clock.now_s()
        failed_recently = (
            now_s - self.failed_at_s.get(address, 0.0) < RECENT_FAILURE_S
        )
        timeout_s = (
            CONNECT_TIMEOUT_AFTER_FAILURE_S
            if failed_recently
            else CONNECT_TIMEOUT_S
        )
        try:
            async with asyncio.timeout(min(wait_s, timeout_s)):
                await self.transport.send(address, message, request.body)
        except TimeoutError:
            if len(self.failed_at_s) >= MAX_RECENT_FAILURES:
                self.failed_at_s.clear()
            self.failed_at_s[address] = now_s
            return False
        self.failed_at_s.pop(address, None)
        return True

    def on_connection_lost(self, address: fleet.Address) -> None:
        """Conclude sent requests whose responses can no longer arrive.

        The owner may have run the work. If it is still running, a retry with
        the same key gets the response.
        """
        for pending in self.pending.values():
            is_sent = pending.number in self.sent
            if is_sent and pending.forward == address:
                if not pending.future.done():
                    pending.future.set_result('owner-lost')

    def disconnect_unresponsive(self, number: int) -> None:
        """Close the connection to an owner that does not respond.

        Messages queued for it are dropped. The connection is kept while
        other requests are pending on it, since they may still get a
        response.
        """
        address = self.pending[number].forward
        sharing = sum(p.forward == address for p in self.pending.values())
        if sharing == 1:
            self.transport.disconnect(address)

    def encode_request(
        self, number, key, text, request, wait_s: float
    ) -> bytes:
        """Return the encoded message for a request."""
        return forward_messages.CODEC.encode(
            forward_messages.ForwardedRequest(
                sender=self.incarnation,
                number=number,
                owner=key.owner,
                key=text,
                request_id=request.request_id,
                method=request.method,
                target=request.target,
                host=request.host,
                account=request.account,
                headers=request.headers,
                deadline_ms=int(wait_s * 1000),
                body_bytes=len(request.body),
                body_crc32=forward_messages.checksum(request.body),
            )
        )

    def unknown_outcome(self, key, request, reason: str) -> outcomes.Unknown:
        """Log a request without a usable response and return its outcome."""
        log_events.log_event(
            LOG,
            events.FORWARD_FAILED,
            request_id=request.request_id,
            owner=key.owner.instance,
            reason=reason,
        )
        return outcomes.Unknown(reason=reason)

    def on_response(self, data: bytes, body: bytes) -> None:
        """Conclude the pending request that a message responds to.

        A message for no pending request and a response from an incarnation
        other than the owner of the key are dropped.
        """
        decoded = forward_messages.CODEC.decode(data)
        if decoded.is_error():
            log_dropped(decoded.error)
            return
        response = decoded.ok
        if isinstance(response, forward_messages.ForwardedRequest):
            log_dropped('request on an answer link')
            return
        pending = self.pending.get(response.number)
        if response.to != self.incarnation or pending is None:
            log_dropped('answer to an earlier request')
            return
        if pending.future.done():
            return
        if isinstance(response, forward_messages.ForwardRefusal):
            self.apply_refusal(pending, response)
        elif response.sender != pending.owner:
            log_dropped('answer of another incarnation')
        elif not forward_messages.is_intact(response, body):
            pending.future.set_result('answer-not-whole')
        else:
            outcome = forward_messages.outcome_from_message(response, body)
            pending.future.set_result(outcome)

    def apply_refusal(self, pending: Pending, refusal) -> None:
        """Conclude a request that was refused by its owner.

        A refusal from a later incarnation also counts: the owner has exited.
        One from an earlier incarnation is dropped.
        """
        is_later = refusal.sender.supersedes(pending.owner)
        if refusal.sender == pending.owner or is_later:
            pending.future.set_result(refusal.reason)
            return
        log_dropped('refusal of an earlier incarnation')


class ForwardServer:
    """Handles requests that other instances forward to this key owner.

    Parameters
    ----------
    owner : KeyOwner
    transport : Transport
    """

    def __init__(self, *, owner: keyed.KeyOwner, transport: Transport):
        self.owner = owner
        self.transport = transport
        self.senders = incarnations.IncarnationRegister()
        self.tasks: set[asyncio.Task] = set()

    def on_request(self, route, data: bytes, body: bytes) -> None:
        """Validate a request from another instance and start handling it."""
        decoded = forward_messages.CODEC.decode(data)
        if decoded.is_error():
            log_dropped(decoded.error)
            return
        message = decoded.ok
        if not isinstance(message, forward_messages.ForwardedRequest):
            log_dropped('answer on a request link')
            return
        if not self.senders.admit(message.sender):
            log_dropped('request of an earlier incarnation')
            return
        reason = self.refusal_reason(message, body)
        if reason:
            self.refuse(route, message, reason)
            return
        task = asyncio.create_task(self.serve(route, message, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def refusal_reason(self, message, body: bytes) -> str:
        """Return why a request cannot be handled here; empty if it can."""
        if message.owner != self.owner.incarnation:
            return 'owner-ended'
        if not forward_messages.is_intact(message, body):
            return 'request-not-whole'
        if not 0 < message.deadline_ms <= MAX_DEADLINE_MS:
            return 'deadline'
        if len(self.tasks) >= MAX_SERVED:
            return 'owner-busy'
        return ''

    def refuse(self, route, message, reason: str) -> None:
        """Notify the sender that the request is not handled here."""
        log_events.log_event(
            LOG,
            events.FORWARD_REFUSED,
            sender=message.sender.instance,
            reason=reason,
        )
        refusal = forward_messages.ForwardRefusal(
            self.owner.incarnation, message.sender, message.number, reason
        )
        data = forward_messages.CODEC.encode(refusal)
        self.transport.reply(route, data, b'')

    async def serve(self, route, message, body: bytes) -> None:
        """Handle a request and send its outcome to the sender."""
        read = self.owner.signer.read(message.key)
        if read.is_error() or not self.owner.is_owner(read.ok):
            self.refuse(route, message, 'owner-ended')
            return
        request = keyed.KeyedRequest(
            request_id=message.request_id,
            method=message.method,
            target=message.target,
            host=message.host,
            account=message.account,
            headers=message.headers,
            deadline_ms=message.deadline_ms,
            body=body,
        )
        outcome, record = await self.owner.handle(
            read.ok, request, message.deadline_ms / 1000
        )
        response, response_body = forward_messages.make_response(
            outcome, self.owner.incarnation, message
        )
        data = forward_messages.CODEC.encode(response)
        self.transport.reply(route, data, response_body)
        if record is not None:
            self.owner.table.mark_collected(record)


def log_dropped(reason: str) -> None:
    """Log why a message is dropped."""
    log_events.log_event(LOG, events.MESSAGE_DROPPED, reason=reason)
