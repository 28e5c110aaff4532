"""Tests of idempotency keys, their table and the forwarding link."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import zmq
import zmq.asyncio

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import outcomes
from citronshelf_entry import forward_link
from citronshelf_entry import forward_messages
from citronshelf_entry import forwarding
from citronshelf_entry import key_table
from citronshelf_entry import keyed
from citronshelf_entry import keys
from citronshelf_peering import links

SIGNER = keys.KeySigner(secret=b'a' * 32)
INCARNATION = identity.Incarnation('a', 1, '0' * 16)
ADDRESS = fleet.Address('127.0.0.1', 8082)
KEY = keys.Key(INCARNATION, ADDRESS, 7, 1)
TEXT = SIGNER.write(KEY)
RESPONSE = outcomes.Response(
    status=200, headers=(('A', 'b'),), body=b'x' * 100
)


class TestKeySigner:
    """Only keys signed by the fleet are decoded."""

    def test_written_key_is_read_back(self):
        assert SIGNER.read(TEXT).ok == KEY

    def test_key_with_other_secret_is_refused(self):
        other = keys.KeySigner(secret=b'b' * 32)
        assert other.read(TEXT).is_error()

    @settings(derandomize=True, max_examples=150, database=None)
    @given(st.integers(0, len(TEXT) - 1), st.characters(codec='latin-1'))
    def test_changed_character(self, index, character):
        changed = TEXT[:index] + character + TEXT[index + 1 :]
        read = SIGNER.read(changed)
        # The last base64 character has unused bits.
        assert read.is_error() or read.ok == KEY

    @settings(derandomize=True, max_examples=150, database=None)
    @given(st.text(max_size=600))
    def test_random_text_never_raises(self, text):
        assert SIGNER.read(text).is_error()
        assert SIGNER.read(keys.PREFIX + text).is_error()


class TestKeyTable:
    """Limits are exact, and expired keys are never started."""

    def make(self, **bounds):
        self.now_s = 0.0
        return key_table.KeyTable(clock=lambda: self.now_s, **bounds)

    def test_full_table_issues_no_key_until_expiry(self):
        table = self.make(max_keys=3)
        assert [table.issue() for _ in range(4)] == [1, 2, 3, None]
        self.now_s = key_table.KEY_LIFETIME_S
        assert table.issue() == 4

    def run_all(self, table, count):
        async def run():
            for _ in range(count):
                begun = table.begin(table.issue(), b'f')
                table.finish(begun.record, RESPONSE)

        asyncio.run(run())

    def test_full_storage_issues_no_key_until_expiry(self):
        size = key_table.stored_size(RESPONSE)
        table = self.make(max_stored_bytes=2 * size)
        self.run_all(table, 2)
        assert table.stored_bytes == 2 * size
        assert table.issue() is None
        self.now_s = key_table.KEY_LIFETIME_S
        assert table.issue() is not None
        assert table.stored_bytes == 0

    def test_response_too_large_to_store(self):
        """Waiting requests get the response, later ones "unknown".

        The limit on stored bytes still holds.
        """
        table = self.make(max_stored_bytes=10)

        async def run():
            begun = table.begin(table.issue(), b'f')
            joined = table.begin(1, b'f')
            waiting = joined.record.finished
            table.finish(begun.record, RESPONSE)
            assert await waiting == RESPONSE
            return table.begin(1, b'f')

        again = asyncio.run(run())
        assert again.record.outcome == outcomes.Unknown(
            reason='answer-not-kept'
        )
        assert table.stored_bytes == 0

    def test_expired_key_in_flight_is_kept_until_finished(self):
        table = self.make()

        async def run():
            begun = table.begin(table.issue(), b'f')
            self.now_s = key_table.KEY_LIFETIME_S + 1
            assert table.begin(1, b'f') == key_table.Expired()
            assert table.has_uncollected()
            table.finish(begun.record, RESPONSE)
            with pytest.raises(key_table.KeyFinishedTwice):
                table.finish(begun.record, RESPONSE)
            table.expire()
            assert not table.records
            assert table.stored_bytes == 0
            assert not table.has_uncollected()

        asyncio.run(run())


class Endpoint:
    """An entry daemon's side of the forwarding link, with real sockets."""

    def __init__(self, name, pair, port):
        self.context = zmq.asyncio.Context()
        self.authenticator = forward_link.start_authenticator(
            self.context, pair
        )
        address = fleet.Address('127.0.0.1', port)
        self.link = forward_link.ForwardLink(
            context=self.context, address=address, pair=pair
        )
        endpoint = self.link.router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = fleet.Address('127.0.0.1', int(endpoint.split(':')[2]))
        self.incarnation = identity.new_incarnation(instance=name)
        self.ran = []
        self.owner = keyed.KeyOwner(
            incarnation=self.incarnation,
            forward=self.address,
            signer=SIGNER,
            table=key_table.KeyTable(clock=asyncio.get_running_loop().time),
            run=self.run,
        )
        self.forwarder = forwarding.OwnerForwarder(
            incarnation=self.incarnation, transport=self.link
        )
        self.link.on_response = self.forwarder.on_response
        self.link.on_connection_lost = self.forwarder.on_connection_lost
        server = forwarding.ForwardServer(
            owner=self.owner, transport=self.link
        )
        self.link.on_request = server.on_request
        self.task = asyncio.create_task(self.link.run())

    async def run(self, request):
        self.ran.append(request.target)
        return outcomes.Response(status=200, headers=(), body=request.body)

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.authenticator.stop()
        self.context.destroy(0)


class TestForwardLink:
    """Requests reach the key's owner only with the CURVE key of its fleet."""

    body = b'z' * 3_000_000

    def forward(self, pair_of_sender, pair_of_owner, change=None):
        request = keyed.KeyedRequest(
            'r', 'POST', '/issue', '', 'a', (), None, self.body
        )

        async def run():
            owner = Endpoint('owner', pair_of_owner, 0)
            sender = Endpoint('sender', pair_of_sender, 0)
            text = owner.owner.issue()
            key = SIGNER.read(text).ok
            if change:
                change(owner)
            results = [
                await sender.forwarder.forward(key, text, request, 5.0)
                for _ in range(2)
            ]
            await owner.close()
            await sender.close()
            return results, owner.ran

        return asyncio.run(run())

    def pair(self):
        return links.KeyPair(*zmq.curve_keypair())

    def test_runs_once_and_responds_twice(self):
        pair = self.pair()
        results, ran = self.forward(pair, pair)
        assert [r.body for r in results] == [self.body] * 2
        assert ran == ['/issue']

    def test_other_fleet_is_refused(self):
        results, ran = self.forward(self.pair(), self.pair())
        assert results == [outcomes.Unknown(reason='owner-not-reached')] * 2
        assert ran == []

    def test_shortened_response_is_unknown(self, monkeypatch):
        pair = self.pair()
        real = forward_messages.make_response

        def shorten(outcome, sender, request):
            response, body = real(outcome, sender, request)
            return response, body[:-1]

        monkeypatch.setattr(forward_messages, 'make_response', shorten)
        results, ran = self.forward(pair, pair)
        assert results == [outcomes.Unknown(reason='answer-not-whole')] * 2
        assert ran == ['/issue']

    def test_owner_exits_during_request(self):
        """The caller gets "unknown" as soon as the owner disconnects."""

        async def run():
            pair = self.pair()
            owner, sender = (
                Endpoint('owner', pair, 0),
                Endpoint('sender', pair, 0),
            )
            begun = asyncio.Event()

            async def hang(_request):
                begun.set()
                await asyncio.sleep(60)

            owner.owner.run = hang
            text = owner.owner.issue()
            request = keyed.KeyedRequest(
                'r', 'POST', '/issue', '', 'a', (), None, b'x'
            )
            waiting = asyncio.create_task(
                sender.forwarder.forward(
                    SIGNER.read(text).ok, text, request, 50.0
                )
            )
            await begun.wait()
            await owner.close()
            outcome = await asyncio.wait_for(waiting, 20)
            await sender.close()
            return outcome

        assert asyncio.run(run()) == outcomes.Unknown(reason='owner-lost')

    def test_later_incarnation_at_the_address_refuses(self):
        def restart(owner):
            incarnation = owner.incarnation._replace(
                started_ms=owner.incarnation.started_ms + 1
            )
            owner.owner.incarnation = incarnation

        pair = self.pair()
        results, ran = self.forward(pair, pair, restart)
        assert results == [outcomes.Unknown(reason='owner-ended')] * 2
        assert ran == []
