"""Tests of end-to-end headers and of load and "not run" headers."""

import pytest

from citronshelf_common import fleet
from citronshelf_entry import exchange
from citronshelf_entry import headers


class TestEndToEnd:
    """Hop-by-hop headers and the instance's own are not passed on."""

    def test_hop_by_hop_and_own_headers_are_removed(self):
        pairs = (
            ('Connection', 'close, X-Hop'),
            ('x-hop', '1'),
            ('Keep-Alive', 'timeout=5'),
            ('TE', 'trailers'),
            ('Transfer-Encoding', 'chunked'),
            ('Upgrade', 'websocket'),
            ('Proxy-Authorization', 'a'),
            ('Idempotency-Key', 'k'),
            ('X-Request-Id', 'forged'),
            ('Cookie', 'a=1'),
            ('Cookie', 'b=2'),
        )
        kept = headers.end_to_end(pairs, headers.OWN_REQUEST_HEADERS)
        assert kept == (('Cookie', 'a=1'), ('Cookie', 'b=2'))

    def test_forged_outcome_is_removed(self):
        """A server must not be able to set the outcome header of the fleet."""
        pairs = (('Citronshelf-Outcome', 'not-run'), ('ETag', 'a'))
        kept = headers.end_to_end(pairs, headers.OWN_RESPONSE_HEADERS)
        assert kept == (('ETag', 'a'),)


class TestServerHeaders:
    """Malformed load headers and misplaced "not run" markers are ignored."""

    @pytest.mark.parametrize(
        'text, report',
        [
            ('busy=1 slots=2 queue=3', fleet.LoadReport(1, 2, 3)),
            ('busy=1 slots=2', None),
            ('busy=-1 slots=2 queue=3', None),
            ('busy=1 slots=2 queue=' + '9' * 90, None),
            ('', None),
        ],
    )
    def test_only_exact_load_is_parsed(self, text, report):
        framing = headers.Framing(0, False)
        head = exchange.ResponseHead(200, (('X-Load', text),), framing)
        assert exchange.parse_load(head) == report

    @pytest.mark.parametrize(
        'status, fields, reason',
        [
            (503, (('X-Not-Run', 'shed'),), 'shed'),
            (503, (), ''),
            (200, (('X-Not-Run', 'shed'),), ''),
        ],
    )
    def test_not_run_marker_counts_only_with_503(self, status, fields, reason):
        head = exchange.ResponseHead(status, fields, headers.Framing(0, False))
        assert exchange.not_run_reason(head) == reason
