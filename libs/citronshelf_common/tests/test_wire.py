"""Tests of the message codec."""

from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from citronshelf_common import fleet
from citronshelf_common import wire


class Ping(NamedTuple):
    """Message type with a nested NamedTuple."""

    location: fleet.Location
    count: int


CODEC = wire.Codec(messages=(fleet.OutcomeCounts, Ping))


class TestCodec:
    """The codec restores valid messages and rejects all other data."""

    def test_returns_the_message(self):
        message = Ping(fleet.Location('r', 'z'), 3)
        assert CODEC.decode(CODEC.encode(message)).ok == message

    def test_refuses_a_field_of_the_wrong_type(self):
        data = b'\x01' + wire.msgspec.msgpack.encode([['r', 'z'], 'three'])
        assert CODEC.decode(data).is_error()

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, data):
        CODEC.decode(data)
