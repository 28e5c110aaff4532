"""Tests of parsing the platform's fleet list."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

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
    """Invalid rows are ignored, each with a reason; the others hold."""

    def test_valid_list(self):
        leaving_server = {**BACKEND, 'id': 'mint-2', 'state': 'leaving'}
        leaving_entry = {**ENTRY, 'id': 'e-2', 'state': 'leaving'}
        parsed = parse(BACKEND, leaving_server, ENTRY, leaving_entry).ok
        assert [s.server_id for s in parsed.servers] == ['mint-1', 'mint-2']
        assert parsed.leaving == {'mint-2'}
        assert [e.forward.port for e in parsed.entries] == [90]

    # Guards against one row of another writer that ends each update of the
    # list on all instances.
    @pytest.mark.parametrize(
        'field, value',
        [
            ('id', 'Not A Name'),
            ('kind', 'robot'),
            ('port', 0),
            ('port', 65536),
            ('port', 2**70),
            ('forward_port', 65536),
            ('forward_port', 2**70),
            ('ip', 'localhost'),
            ('ip', 'abc'),
            ('ip', '256.0.0.1'),
            ('pool', ''),
            ('state', 'gone'),
            ('pool', [[['nested']]]),
        ],
    )
    def test_invalid_row_names_no_server(self, field, value):
        other = {**BACKEND, 'id': 'mint-2'}
        parsed = parse({**BACKEND, field: value}, other).ok
        assert [s.server_id for s in parsed.servers] == ['mint-2']
        assert parsed.entries == ()
        assert len(parsed.faults) == 1

    # Guards against a list without backend servers, all rows of which are
    # ignored for a forward port that they do not have.
    @pytest.mark.parametrize('port', [0, None])
    def test_backend_server_has_no_forward_port(self, port):
        parsed = parse({**BACKEND, 'forward_port': port}).ok
        assert [s.server_id for s in parsed.servers] == ['mint-1']

    def test_list_that_is_no_array_of_rows_is_refused(self):
        assert fleet_list.parse_list(b'{"rows": []}').is_error()
        assert fleet_list.parse_list(b'[{"id": ').is_error()

    # Guards against a row that ends the process of each instance.
    def test_deeply_nested_row_does_not_raise(self):
        row = b'{"id": ' + b'[' * 100_000 + b']' * 100_000 + b'}'
        assert fleet_list.parse_list(b'[' + row + b']').is_error()

    def test_listed_twice(self):
        assert 'twice' in parse(BACKEND, BACKEND).error

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200))
    def test_random_bytes_never_raise(self, data):
        fleet_list.parse_list(data)
