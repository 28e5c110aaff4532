"""Tests of the links with sockets on the loopback interface."""

import asyncio
import contextlib
import gc
import os
import socket

import pytest
import zmq

from citronshelf_common import fleet
from citronshelf_peering import links

KEYS = links.KeyPair(*zmq.curve_keypair())
# Several times the timeout of unacknowledged data.
STALL_OBSERVED_S = 12.0
FOREIGN_KEYS = links.KeyPair(*zmq.curve_keypair())


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return fleet.Address('127.0.0.1', probe.getsockname()[1])


def user_timeouts_ms(address):
    """Return TCP_USER_TIMEOUT of this process's connections to an address.

    Both ends of each connection are listed.
    """
    timeouts_ms = []
    for entry in os.listdir('/proc/self/fd'):
        # Other files, and sockets without a peer, raise OSError.
        with contextlib.suppress(OSError):
            if not os.readlink(f'/proc/self/fd/{entry}').startswith('socket'):
                continue
            with socket.socket(fileno=os.dup(int(entry))) as one:
                if tuple(address) in {one.getsockname(), one.getpeername()}:
                    timeout_ms = one.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                    )
                    timeouts_ms.append(timeout_ms)
    return timeouts_ms


async def request_until(address, make, seconds):
    """Send repeatedly until a response arrives; None after the timeout."""
    dealer = make(address)
    try:
        async with asyncio.timeout(seconds):
            while True:
                links.try_send(dealer, [b'ping'])
                if await dealer.poll(50):
                    return await dealer.recv()
    except TimeoutError:
        return None
    finally:
        dealer.close(0)


def plain_dealer(context, address):
    dealer = context.socket(zmq.DEALER)
    dealer.connect(f'tcp://{address.authority()}')
    return dealer


async def responses():
    """Return the responses to the right key, a foreign key and no key.

    A response is None if none arrived.
    """
    address = free_address()
    server = links.ZmqLinks(address=address, keys=KEYS)
    server.on_message = lambda route, data: server.send(route, data + b'!')
    running = asyncio.create_task(server.run())
    context = zmq.asyncio.Context()

    def with_key(keys):
        def make(target):
            dealer = links.make_dealer(context, target, keys)
            if keys is FOREIGN_KEYS:
                dealer.curve_serverkey = KEYS.public
                dealer.connect(f'tcp://{target.authority()}')
            return dealer

        return make

    try:
        return (
            await request_until(address, with_key(KEYS), 10.0),
            await request_until(address, with_key(FOREIGN_KEYS), 0.6),
            await request_until(
                address, lambda target: plain_dealer(context, target), 0.6
            ),
        )
    finally:
        running.cancel()
        server.close()
        context.destroy(0)


class TestKeys:
    """Only the environment's key completes the handshake."""

    def test_only_the_shared_key_is_admitted(self):
        assert asyncio.run(responses()) == (b'ping!', None, None)


async def exchange():
    """Exchange messages between two instances, then disconnect.

    Returns
    -------
    tuple
        Whether the response arrived on the route of the request, and
        whether a send after the disconnect succeeded.
    """
    received = []
    one = links.ZmqLinks(address=free_address(), keys=KEYS)
    address = free_address()
    two = links.ZmqLinks(address=address, keys=KEYS)
    one.on_message = lambda route, data: received.append((route, data))
    two.on_message = lambda route, data: two.send(route, b'answer')
    tasks = [asyncio.create_task(x.run()) for x in (one, two)]
    one.connect(address)
    for _ in range(200):
        one.send(address, b'question')
        await asyncio.sleep(0.05)
        if received:
            break
    one.disconnect(address)
    sent_after_disconnect = one.send(address, b'question')
    for task in tasks:
        task.cancel()
    one.close()
    two.close()
    return received[0] == (address, b'answer'), sent_after_disconnect


class StalledRelay:
    """Relays to an address until it stalls: then it reads nothing more.

    Attributes
    ----------
    accepted : int
        Connections that were accepted.
    """

    def __init__(self, target):
        self.target = target
        self.stalled = asyncio.Event()
        self.accepted = 0
        self.writers = []

    async def start(self):
        """Listen and return the address."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return fleet.Address(*self.server.sockets[0].getsockname())

    async def stop(self):
        """Abort all connections and wait until they have ended."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)

    async def serve(self, reader, writer):
        """Relay one connection in both directions."""
        self.accepted += 1
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        self.writers += [writer, target_writer]
        with contextlib.suppress(ConnectionError):
            await asyncio.gather(
                self.relay(reader, writer.transport, target_writer),
                self.relay(target_reader, target_writer.transport, writer),
            )

    async def relay(self, reader, source, writer):
        """Relay one direction; the kernel buffers fill after a stall."""
        while data := await reader.read(65536):
            writer.write(data)
            if self.stalled.is_set():
                source.pause_reading()


async def count_connections_of_stalled_peer():
    """Send to a peer that stalls; return the connections it accepted."""
    address = free_address()
    receiver = links.ZmqLinks(address=address, keys=KEYS)
    sender = links.ZmqLinks(address=free_address(), keys=KEYS)
    tasks = [asyncio.create_task(x.run()) for x in (receiver, sender)]
    relay = StalledRelay(address)
    route = await relay.start()
    sender.connect(route)
    while not sender.send(route, b'first'):
        await asyncio.sleep(0.05)
    relay.stalled.set()
    end_s = asyncio.get_running_loop().time() + STALL_OBSERVED_S
    while asyncio.get_running_loop().time() < end_s and relay.accepted < 2:
        sender.send(route, bytes(links.messages.wire.MAX_MESSAGE_BYTES // 2))
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()
    sender.close()
    receiver.close()
    await relay.stop()
    return relay.accepted


class TestUnacknowledged:
    """Connections to a peer that has gone without closing them."""

    # Guards against messages that get lost for seconds or minutes on a
    # connection to a peer that lost power or was cut off.
    def test_connection_of_stalled_peer_is_replaced(self):
        accepted = asyncio.run(count_connections_of_stalled_peer())
        assert accepted == 2


class TestZmqLinks:
    """Messages pass in both directions; an address is bound only once."""

    def test_response_on_the_route_of_the_request(self):
        assert asyncio.run(exchange()) == (True, False)

    def test_address_in_use(self):
        async def bind_twice():
            address = free_address()
            first = links.ZmqLinks(address=address, keys=KEYS)
            try:
                links.ZmqLinks(address=address, keys=KEYS)
            except OSError as error:
                return str(error)
            finally:
                first.close()

        assert 'in use' in asyncio.run(bind_twice())


class TestDisconnect:
    """A handler may close the connection of the message that it handles.

    Guards against an unhandled exception in the task of that connection.
    """

    def test_task_ends_without_an_exception(self):
        faults = []

        async def run():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: faults.append(1))
            address = free_address()
            server = links.ZmqLinks(address=address, keys=None)
            caller = links.ZmqLinks(address=free_address(), keys=None)
            server.on_message = server.send
            handled = asyncio.Event()

            def disconnect(route, _):
                caller.disconnect(route)
                handled.set()

            caller.on_message = disconnect
            running = asyncio.create_task(server.run())
            caller.connect(address)
            async with asyncio.timeout(5.0):
                while not handled.is_set():
                    caller.send(address, b'ping')
                    await asyncio.sleep(0.02)
            running.cancel()
            server.close()
            caller.close()
            await asyncio.sleep(0.05)

        asyncio.run(run())
        gc.collect()
        assert faults == []


class TestSilentPeers:
    """Connections on which nothing is acknowledged are closed soon.

    Guards against messages that got lost until the kernel gave up. The
    loopback interface always acknowledges, so the kernel's option is read.
    """

    def test_kernel_limits_the_time_without_acknowledgement(self):
        async def run():
            address = free_address()
            server = links.ZmqLinks(address=address, keys=None)
            caller = links.ZmqLinks(address=free_address(), keys=None)
            received = asyncio.Event()
            server.on_message = lambda route, data: received.set()
            running = asyncio.create_task(server.run())
            caller.connect(address)
            async with asyncio.timeout(5.0):
                while not received.is_set():
                    caller.send(address, b'ping')
                    await asyncio.sleep(0.02)
            timeouts_ms = user_timeouts_ms(address)
            running.cancel()
            server.close()
            caller.close()
            return timeouts_ms

        timeouts_ms = asyncio.run(run())
        assert timeouts_ms == [links.ACKNOWLEDGE_TIMEOUT_MS] * 2


class TestInvalidAddresses:
    """Addresses of peers come from messages.

    Guards against a process that one message with an invalid address ended,
    and with it each process that the address was passed on to.
    """

    @pytest.mark.parametrize(
        'address',
        [
            fleet.Address('', 7000),
            fleet.Address('x y', 7000),
            fleet.Address('host.invalid', 7000),
            fleet.Address('127.0.0.1\n', 7000),
            fleet.Address('127.0.0.1', 0),
            fleet.Address('127.0.0.1', -1),
            fleet.Address('127.0.0.1', 2**62),
        ],
        ids=str,
    )
    def test_address_is_ignored_and_logged_once(self, address, caplog):
        async def run():
            own = links.ZmqLinks(address=free_address(), keys=None)
            try:
                own.connect(address)
                own.connect(address)
                return own.send(address, b'x'), dict(own.dealers)
            finally:
                own.close()

        assert asyncio.run(run()) == (False, {})
        names = [record.event_name for record in caplog.records]
        assert names == ['peer-address-invalid']

    def test_remembered_addresses_are_bounded(self):
        async def run():
            own = links.ZmqLinks(address=free_address(), keys=None)
            try:
                for port in range(-200, 0):
                    own.connect(fleet.Address('127.0.0.1', port))
                return len(own.invalid)
            finally:
                own.close()

        assert asyncio.run(run()) <= links.MAX_INVALID_ADDRESSES


class TestUnexpectedError:
    """Guards against a process that ends with the handling of one message."""

    def test_later_messages_are_handled(self, caplog):
        async def run():
            address = free_address()
            received = []

            def handle(route, data):
                if data == b'bad':
                    raise KeyError('no such peer')
                received.append(data)

            own = links.ZmqLinks(address=address, keys=None)
            own.on_message = handle
            task = asyncio.create_task(own.run())
            dealer = plain_dealer(own.context, address)
            try:
                for data in (b'bad', b'good'):
                    await dealer.send(data)
                async with asyncio.timeout(5.0):
                    while not received:
                        await asyncio.sleep(0.01)
                return received, task.done()
            finally:
                task.cancel()
                dealer.close(0)
                own.close()

        assert asyncio.run(run()) == ([b'good'], False)
        failed = [r for r in caplog.records if r.event_name.endswith('failed')]
        assert len(failed) == 1
        assert 'no such peer' in failed[0].error
        assert failed[0].where.startswith('test_links.py')
