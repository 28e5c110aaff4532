"""Tests of compressed configurations and their differences."""

import hypothesis
from hypothesis import strategies

from citronshelf_instance import configuration
from citronshelf_instance import configuration_packing as packing
from instance_builders import make_configuration
from instance_builders import make_route

ITEMS = strategies.lists(strategies.integers(0, 6), max_size=12)


def make_routes(count, **changes):
    return tuple(
        make_route(name=f'r{n}', prefix=f'/r{n}/', **changes)
        for n in range(count)
    )


class TestDifference:
    """A difference and its base give exactly the newer configuration."""

    @hypothesis.given(ITEMS, ITEMS)
    def test_any_sequence_is_restored(self, base, items):
        pieces = packing.compare(base, items)
        assert packing.restore(base, pieces) == tuple(items)

    def test_accounts_and_routes_are_restored(self):
        account = configuration.Account('a', (b'\x01' * 32,), None, 5.0, 2.0)
        routes = make_routes(100)
        base = make_configuration(*routes, accounts=(account,))
        changed = routes[50]._replace(allow_anonymous=True)
        newest = base._replace(
            revision=9,
            routes=(*routes[:50], changed, *routes[52:]),
            accounts=(account._replace(priority=1), account),
        )
        data = packing.pack_difference(base, newest)
        restored = packing.unpack_difference(base, 9, data).ok
        assert restored == newest
        assert packing.digest(restored) == packing.digest(newest)
        assert len(data) < len(packing.pack(newest)) / 3

    def test_another_base_changes_the_digest(self):
        """Guards against a mix of versions that is put in force."""
        routes = make_routes(20)
        base = make_configuration(*routes)
        newest = base._replace(revision=9, routes=routes[1:])
        data = packing.pack_difference(base, newest)
        other = base._replace(routes=make_routes(20, priority=7))
        restored = packing.unpack_difference(other, 9, data).ok
        assert packing.digest(restored) != packing.digest(newest)


class TestUntrustedData:
    """Guards against data that ends the process or fills its memory."""

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_give_a_reason(self, data):
        assert packing.unpack(data).is_error()
        base = make_configuration()
        assert packing.unpack_difference(base, 9, data).is_error()

    def test_cut_copy_is_refused(self):
        data = packing.pack(make_configuration(*make_routes(50)))
        assert packing.unpack(data).is_ok()
        assert packing.unpack(data[:-1]).is_error()

    def test_size_is_limited(self, monkeypatch):
        data = packing.pack(make_configuration(*make_routes(50)))
        monkeypatch.setattr(packing, 'MAX_UNPACKED_BYTES', 1000)
        assert packing.unpack(data).is_error()

    def test_repeated_pieces_are_cut_off(self):
        pieces = [packing.Piece(0, 1000, ())] * 100_000
        items = packing.restore(range(1000), pieces)
        assert len(items) <= packing.MAX_UNPACKED_BYTES // 16 + 1000
