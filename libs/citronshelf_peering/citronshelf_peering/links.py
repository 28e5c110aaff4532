"""ZeroMQ links between instances, authenticated by a shared key pair."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
import ipaddress
import logging
import os
import traceback
from typing import NamedTuple

import zmq
import zmq.asyncio
from zmq.auth import asyncio as zmq_auth

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_peering import events
from citronshelf_peering import messages

LOG = logging.getLogger(__name__)

# Each message is superseded by a later one or sent again if lost, so a longer
# queue would only hold outdated messages.
QUEUE_MESSAGES = 32
HANDSHAKE_TIMEOUT_MS = 5000
# Peers that lost power, and connections that went silent, acknowledge nothing.
# Without these limits the kernel retries for minutes, at growing intervals.
ACKNOWLEDGE_TIMEOUT_MS = 3000
CONNECT_TIMEOUT_MS = 1000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
BACKLOG_CONNECTIONS = 128
# The authenticator selects the keys by the ZAP domain of the socket; '*'
# applies only to sockets without a domain.
ZAP_DOMAIN = 'citronshelf-peer'
# Invalid addresses that are remembered so that each is logged once.
MAX_INVALID_ADDRESSES = 64
MAX_PORT = 65535
# Yields to other tasks after this number of messages from one socket.
BATCH_MESSAGES = 32

OnMessage = Callable[[Hashable, bytes], None]


class KeyPair(NamedTuple):
    """CURVE key pair, encoded as Z85.

    The instances that share it form one environment.
    """

    public: bytes
    secret: bytes


class KeyVerifier:
    """Credentials provider that accepts only the environment's key."""

    def __init__(self, public: bytes):
        self.public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether to accept a connection with this public key.

        Called by the authenticator; rejected keys are logged.
        """
        if key == self.public:
            return True
        common_events.log_event(LOG, events.PEER_REFUSED, domain=domain)
        return False


def start_authenticator(context: zmq.asyncio.Context, keys: KeyPair):
    """Start the ZAP handler of a context.

    Returns
    -------
    AsyncioAuthenticator
        Must be stopped before the context is destroyed.
    """
    authenticator = zmq_auth.AsyncioAuthenticator(context)
    # KeyVerifier logs rejected keys; the authenticator itself would log every
    # connection.
    authenticator.log.setLevel(logging.CRITICAL)
    authenticator.start()
    authenticator.configure_curve_callback(
        domain=ZAP_DOMAIN, credentials_provider=KeyVerifier(keys.public)
    )
    return authenticator


def make_socket(
    context, kind: int, keys: KeyPair | None
) -> zmq.asyncio.Socket:
    """Create a socket with bounded queues, using CURVE if keys are given."""
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, messages.wire.MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, ACKNOWLEDGE_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.BACKLOG, BACKLOG_CONNECTIONS)
    if keys is not None:
        socket.curve_publickey = keys.public
        socket.curve_secretkey = keys.secret
    return socket


def make_router(context, address: fleet.Address, keys: KeyPair | None):
    """Create a bound ROUTER that accepts only the environment's key.

    Without keys it accepts every connection.
    """
    router = make_socket(context, zmq.ROUTER, keys)
    if keys is not None:
        router.curve_server = True
        router.zap_domain = ZAP_DOMAIN.encode()
    router.setsockopt(zmq.ROUTER_MANDATORY, 1)
    router.setsockopt(zmq.IPV6, ':' in address.ip)
    router.bind(f'tcp://{address.authority()}')
    return router


def make_dealer(context, address: fleet.Address, keys: KeyPair | None):
    """Create a DEALER that connects to a ROUTER of the environment."""
    dealer = make_socket(context, zmq.DEALER, keys)
    if keys is not None:
        dealer.curve_serverkey = keys.public
    # Queues messages only while the connection is established.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    dealer.setsockopt(zmq.IPV6, ':' in address.ip)
    dealer.connect(f'tcp://{address.authority()}')
    return dealer


def is_valid(address: fleet.Address) -> bool:
    """Return whether an address has an IP address and a TCP port.

    A socket would raise an error for others, or look up a host name.
    """
    try:
        ipaddress.ip_address(address.ip)
    except ValueError:
        return False
    return 0 < address.port <= MAX_PORT


def try_send(socket: zmq.asyncio.Socket, frames: list[bytes]) -> bool:
    """Send without waiting; return whether the message was queued.

    With ``NOBLOCK`` the returned future is already done if the message was
    queued or failed.
    """
    future = socket.send_multipart(frames, zmq.NOBLOCK)
    return future.done() and future.exception() is None


class ZmqLinks:
    """ROUTER of this instance and a DEALER for each peer it connects to.

    A route is the address that a DEALER is connected to, or the routing ID
    by which the ROUTER identifies a connection.

    Parameters
    ----------
    address : Address
        Address to bind the ROUTER to.
    keys : KeyPair or None
        None on a network that only instances of the environment can reach.

    Raises
    ------
    OSError
        If the ROUTER cannot be bound.
    """

    def __init__(self, *, address: fleet.Address, keys: KeyPair | None):
        self.keys = keys
        self.context = zmq.asyncio.Context()
        self.authenticator = None
        if keys is not None:
            self.authenticator = start_authenticator(self.context, keys)
        self.dealers: dict[fleet.Address, zmq.asyncio.Socket] = {}
        self.tasks: dict[fleet.Address, asyncio.Task] = {}
        self.invalid: set[fleet.Address] = set()
        self.on_message: OnMessage = lambda route, data: None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped = 0
        try:
            self.router = make_router(self.context, address, keys)
        except zmq.ZMQError as error:
            self.close_context()
            raise OSError(f'{address.authority()}: {error}') from error

    async def run(self) -> None:
        """Receive on the ROUTER until cancelled."""
        count = 0
        while True:
            frames = await self.router.recv_multipart()
            if len(frames) == 2:
                self.deliver(frames[0], frames[1])
            count += 1
            if count % BATCH_MESSAGES == 0:
                await asyncio.sleep(0)

    async def run_dealer(self, address, dealer) -> None:
        """Receive on one connection until cancelled or disconnected."""
        count = 0
        # A handler may disconnect it while a message is delivered.
        while self.dealers.get(address) is dealer:
            frames = await dealer.recv_multipart()
            if len(frames) == 1:
                self.deliver(address, frames[0])
            count += 1
            if count % BATCH_MESSAGES == 0:
                await asyncio.sleep(0)

    def deliver(self, route: Hashable, data: bytes) -> None:
        """Count a received message and pass it to ``on_message``.

        An unexpected error is logged: the message of one peer must not end
        this process and the requests that it serves.
        """
        self.bytes_received += len(data)
        try:
            self.on_message(route, data)
        except Exception as error:
            last = traceback.extract_tb(error.__traceback__)[-1]
            common_events.log_event(
                LOG,
                events.PEER_MESSAGE_FAILED,
                error=repr(error)[:200],
                where=f'{os.path.basename(last.filename)}:{last.lineno}',
            )

    def connect(self, address: fleet.Address) -> None:
        """Connect to a peer's ROUTER unless already connected.

        Addresses come from messages of peers: invalid ones are logged and
        ignored.
        """
        if address in self.dealers or address in self.invalid:
            return
        if not is_valid(address):
            self.record_invalid(address)
            return
        dealer = make_dealer(self.context, address, self.keys)
        self.dealers[address] = dealer
        self.tasks[address] = asyncio.create_task(
            self.run_dealer(address, dealer)
        )

    def record_invalid(self, address: fleet.Address) -> None:
        """Log an invalid address and remember it."""
        if len(self.invalid) >= MAX_INVALID_ADDRESSES:
            self.invalid.clear()
        self.invalid.add(address)
        common_events.log_event(
            LOG,
            events.PEER_ADDRESS_INVALID,
            address=address.authority()[:100],
        )

    def disconnect(self, address: fleet.Address) -> None:
        """Close the connection to a peer's ROUTER, if there is one."""
        dealer = self.dealers.pop(address, None)
        if dealer is not None:
            self.tasks.pop(address).cancel()
            dealer.close(0)

    def send(self, route: Hashable, data: bytes) -> bool:
        """Send on a route; return whether the message was queued.

        Messages that are not queued are dropped and counted.
        """
        if not isinstance(route, fleet.Address):
            sent = try_send(self.router, [route, data])
        elif route in self.dealers:
            sent = try_send(self.dealers[route], [data])
        else:
            sent = False
        if sent:
            self.bytes_sent += len(data)
        else:
            self.dropped += 1
        return sent

    def close(self) -> None:
        """Close all sockets and the ZeroMQ context."""
        for address in list(self.dealers):
            self.disconnect(address)
        self.router.close(0)
        self.close_context()

    def close_context(self) -> None:
        """Stop the ZAP handler and destroy the ZeroMQ context."""
        if self.authenticator is not None:
            self.authenticator.stop()
        self.context.destroy(0)
