"""Tests of parsing the platform's fleet list."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from citronshelf_control import fleet_list

BACKEND = {
    'id': 'mint-1',
    'kind': 'backend',
    'pool': 'mint',
    'ip': '127.0.0.1',
    'port': 80,
    'forward_port': None,
    'region': 'r1',
    'zone': 'z1',
    'state': 'live',
}
ENTRY = {**BACKEND, 'id': 'e-1', 'kind': 'entry', 'forward_port': 90}


def parse(*rows):
    return fleet_list.parse_list(json.dumps(rows).encode())


class TestParseList:
    """A fleet list is accepted as a whole or refused with a reason."""

    def test_valid_list(self):
        leaving_server = {**BACKEND, 'id': 'mint-2', 'state': 'leaving'}
        leaving_entry = {**ENTRY, 'id': 'e-2', 'state': 'leaving'}
        parsed = parse(BACKEND, leaving_server, ENTRY, leaving_entry).ok
        assert [s.server_id for s in parsed.servers] == ['mint-1', 'mint-2']
        assert parsed.leaving == {'mint-2'}
        assert [e.forward.port for e in parsed.entries] == [90]

    def test_invalid_lists_are_refused(self):
        for field, value in (
            ('id', 'Not A Name'),
            ('kind', 'robot'),
            ('port', 0),
            ('ip', 'localhost'),
            ('pool', ''),
            ('state', 'gone'),
        ):
            assert parse({**BACKEND, field: value}).is_error(), field

    def test_listed_twice(self):
        assert 'twice' in parse(BACKEND, BACKEND).error

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, data):
        fleet_list.parse_list(data)
