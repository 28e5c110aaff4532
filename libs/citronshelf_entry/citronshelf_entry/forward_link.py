"""ZeroMQ links between entry daemons, encrypted with CURVE.

Each daemon binds a ROUTER socket. It connects a DEALER socket to each owner of
an idempotency key, the incarnation that issued the key.
"""

import asyncio
import collections
from collections.abc import Callable
import logging

import zmq
import zmq.asyncio
from zmq.auth import asyncio as zmq_auth

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_entry import events
from citronshelf_peering import links

LOG = logging.getLogger(__name__)
# Room for a body of the largest permitted size and its head.
MAX_FRAME_BYTES = 17 * 1024 * 1024
MAX_LINKS = 128
HEARTBEAT_MS = 1000
PEER_TIMEOUT_MS = 3000

# The authenticator looks up keys by the ZAP domain of the socket.
ZAP_DOMAIN = 'citronshelf-forward'

OnRequest = Callable[[bytes, bytes, bytes], None]
OnResponse = Callable[[bytes, bytes], None]
OnConnectionLost = Callable[[fleet.Address], None]


def start_authenticator(context: zmq.asyncio.Context, pair: links.KeyPair):
    """Start an authenticator that admits only the fleet's CURVE key.

    All instances of a fleet share this key.

    Returns
    -------
    AsyncioAuthenticator
        Must be stopped before the context is destroyed.
    """
    authenticator = zmq_auth.AsyncioAuthenticator(context)
    authenticator.log.setLevel(logging.CRITICAL)
    authenticator.start()
    authenticator.configure_curve_callback(
        domain=ZAP_DOMAIN, credentials_provider=links.KeyVerifier(pair.public)
    )
    return authenticator


class ForwardLink:
    """Carries forwarded requests; limits connections and queues.

    Parameters
    ----------
    context : zmq.asyncio.Context
        Its authenticator admits only the CURVE key of the fleet.
    address : Address
        Where this instance accepts requests from others.
    pair : links.KeyPair

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: fleet.Address,
        pair: links.KeyPair,
    ):
        self.context = context
        self.address = address
        self.pair = pair
        self.on_request: OnRequest = lambda route, data, body: None
        self.on_response: OnResponse = lambda data, body: None
        self.on_connection_lost: OnConnectionLost = lambda address: None
        self.dealers: collections.OrderedDict[
            fleet.Address, zmq.asyncio.Socket
        ] = collections.OrderedDict()
        self.readers: dict[fleet.Address, list[asyncio.Task]] = {}
        self.router = self.make_socket(zmq.ROUTER)
        self.router.curve_server = True
        self.router.zap_domain = ZAP_DOMAIN.encode()
        # Sending to a disconnected peer raises an error, which is logged.
        self.router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        try:
            self.router.bind(f'tcp://{address.authority()}')
        except zmq.ZMQError as error:
            raise OSError(f'{address.authority()}: {error}') from error

    def make_socket(self, kind: int) -> zmq.asyncio.Socket:
        """Return a socket with CURVE, a message size limit and heartbeats."""
        socket = links.make_socket(self.context, kind, self.pair)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PEER_TIMEOUT_MS)
        socket.setsockopt(zmq.IPV6, ':' in self.address.ip)
        return socket

    async def run(self) -> None:
        """Receive requests until cancelled, then close all connections."""
        try:
            while True:
                frames = await self.router.recv_multipart()
                if len(frames) == 3:
                    self.on_request(*frames)
                else:
                    log_wrong_frame_count(frames)
        finally:
            for address in list(self.dealers):
                self.disconnect(address)
            self.router.close()

    async def send(
        self, address: fleet.Address, data: bytes, body: bytes
    ) -> None:
        """Send a request to an owner after waiting for a connection to it."""
        await self.dealer(address).send_multipart([data, body])

    def dealer(self, address: fleet.Address) -> zmq.asyncio.Socket:
        """Return the socket for an owner, connecting it if needed.

        At ``MAX_LINKS`` sockets the least recently used one is closed.
        """
        dealer = self.dealers.get(address)
        if dealer is not None:
            self.dealers.move_to_end(address)
            return dealer
        if len(self.dealers) >= MAX_LINKS:
            self.disconnect(next(iter(self.dealers)))
        dealer = self.make_socket(zmq.DEALER)
        dealer.curve_serverkey = self.pair.public
        # Without this option, a request could be queued until the owner is
        # connected and run long after its caller got "unknown".
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.connect(f'tcp://{address.authority()}')
        self.dealers[address] = dealer
        monitor = dealer.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self.readers[address] = [
            asyncio.create_task(self.read(dealer)),
            asyncio.create_task(self.watch(monitor, address)),
        ]
        return dealer

    async def read(self, dealer: zmq.asyncio.Socket) -> None:
        """Receive responses from one owner until cancelled."""
        while True:
            frames = await dealer.recv_multipart()
            if len(frames) == 2:
                self.on_response(*frames)
            else:
                log_wrong_frame_count(frames)

    async def watch(self, monitor, address: fleet.Address) -> None:
        """Call ``on_connection_lost`` whenever an owner is disconnected."""
        while True:
            await monitor.recv_multipart()
            self.on_connection_lost(address)

    def reply(self, route: bytes, data: bytes, body: bytes) -> None:
        """Send a response; log and drop it if it cannot be sent at once."""
        sending = self.router.send_multipart([route, data, body], zmq.NOBLOCK)
        sending.add_done_callback(log_unsent)

    def disconnect(self, address: fleet.Address) -> None:
        """Close the connection to an owner and drop its queued messages."""
        dealer = self.dealers.pop(address, None)
        if dealer is not None:
            for task in self.readers.pop(address):
                task.cancel()
            dealer.disable_monitor()
            dealer.close(linger=0)


def log_wrong_frame_count(frames: list[bytes]) -> None:
    """Log a message that is dropped for its wrong number of frames."""
    log_events.log_event(
        LOG, events.MESSAGE_DROPPED, reason=f'{len(frames)} frames'
    )


def log_unsent(sending: asyncio.Future) -> None:
    """Log a response that could not be sent; done callback of its send."""
    if not sending.cancelled() and sending.exception() is not None:
        log_events.log_event(
            LOG, events.MESSAGE_DROPPED, reason=str(sending.exception())
        )
