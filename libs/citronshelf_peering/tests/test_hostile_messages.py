"""Tests that malformed messages change no state and have bounded cost."""

import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

import fake_fleet

from citronshelf_common import identity
from citronshelf_peering import evidence_rows
from citronshelf_peering import messages
from citronshelf_peering import rate_limiter
from citronshelf_peering import shared_value

ROUTE = b'127.0.0.1:7001/000000000000ffff'
PEER = identity.Incarnation('b1', 2_000_000, f'{9:016x}')
scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=40)
)
trees = st.recursive(scalars, lambda inner: st.lists(inner, max_size=5))
numbers = st.integers(0, 2**62)
heads = st.lists(
    st.tuples(st.integers(1, 2**62), st.text(max_size=16), st.booleans()),
    max_size=4,
)
marks = st.lists(
    st.tuples(st.text(max_size=8), st.text(max_size=8), numbers, numbers),
    max_size=4,
)
addresses = st.tuples(st.text(max_size=20), st.integers(-(2**63), 2**64 - 1))
bodies = st.binary(max_size=60) | st.binary(max_size=60).map(zlib.compress)
well_typed = st.one_of(
    st.tuples(
        st.just(0),
        st.tuples(
            numbers,
            st.tuples(st.text(max_size=5), st.text(max_size=5)),
            addresses,
            addresses,
            st.booleans(),
        ),
    ),
    st.tuples(
        st.just(1),
        st.tuples(
            numbers,
            st.text(max_size=16),
            numbers,
            st.integers(0, 2),
            heads,
            heads,
            numbers,
            marks,
        ),
    ),
    st.tuples(st.just(2), st.tuples(heads, heads, marks)),
    st.tuples(st.just(3), st.tuples(st.integers(0, 1), numbers)),
    st.tuples(
        st.integers(4, 5), st.tuples(numbers, st.text(max_size=16), bodies)
    ),
    st.tuples(st.just(6), st.tuples(st.text(max_size=16), numbers, bodies)),
)


@pytest.fixture(scope='module')
def fleet():
    """Two running instances with a document in force."""
    made = fake_fleet.FakeFleet(1, names=['a1', 'b1'])
    made.advance(4.0)
    yield made
    made.close()


def deliver_and_check(fleet, data):
    """Deliver one message and check that the document is unchanged.

    The token buckets are reset first, so that the message is decoded.
    """
    instance = fleet.instances['a1']
    instance.peering.neighbour_table.rate_limiter.buckets.clear()
    instance.links.deliver(ROUTE, data)
    held = instance.peering.document.held
    assert held.body == b'good 1'
    assert held.revision == 1


def pack(kind, sender, fields):
    return bytes([kind]) + msgspec.msgpack.encode([sender, *fields])


class TestRandomMessages:
    """No message raises an exception or changes the document in force."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.binary(max_size=200))
    def test_bytes(self, fleet, data):
        deliver_and_check(fleet, data)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(kind=st.integers(0, 8), fields=st.lists(trees, max_size=9))
    def test_trees(self, fleet, kind, fields):
        deliver_and_check(fleet, pack(kind, PEER, fields))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(message=well_typed)
    def test_well_typed(self, fleet, message):
        kind, fields = message
        deliver_and_check(fleet, pack(kind, PEER, fields))

    def test_instance_still_works(self, fleet):
        fleet.advance(5.0)
        instance = fleet.instances['a1']
        assert instance.peering.neighbour_table.refused > 0
        assert len(instance.peering.neighbour_table.neighbours) < 10
        assert len(instance.peering.marks.marks) < 4096
        assert instance.peering.document.revision() == 1


class TestBounds:
    """The cost of invalid messages is bounded."""

    def test_decompressed_size_is_limited(self):
        bomb = zlib.compress(bytes(64 * 1024 * 1024))
        digest = shared_value.make_publication(1, b'').digest
        assert '1 MB' in shared_value.unpack(1, digest, bomb).error
        assert evidence_rows.unpack_rows(bomb).is_error()

    def test_copy_with_wrong_digest_is_refused(self):
        packed = zlib.compress(b'good 2')
        assert 'digest' in shared_value.unpack(2, 'x' * 16, packed).error

    def test_refused_messages_exhaust_a_route(self, fleet):
        neighbour_table = fleet.instances['a1'].peering.neighbour_table
        neighbour_table.rate_limiter.buckets.clear()
        before = neighbour_table.refused
        for _ in range(1000):
            neighbour_table.decode(ROUTE, b'\xff')
        limit = (
            rate_limiter.BURST_MESSAGES / rate_limiter.REFUSED_COST_MESSAGES
        )
        assert neighbour_table.refused - before <= limit + 1

    def test_large_message_other_than_a_copy_is_refused(self, fleet):
        neighbour_table = fleet.instances['a1'].peering.neighbour_table
        before = neighbour_table.refused
        hello = messages.CODEC.encode(neighbour_table.make_hello(1, False))
        deliver_and_check(fleet, hello + bytes(messages.MAX_SMALL_BYTES))
        assert neighbour_table.refused == before + 1

    def test_sender_with_own_name_is_refused(self, fleet):
        neighbour_table = fleet.instances['a1'].peering.neighbour_table
        before = neighbour_table.refused
        deliver_and_check(
            fleet, messages.CODEC.encode(neighbour_table.make_hello(1, False))
        )
        assert neighbour_table.refused == before + 1
