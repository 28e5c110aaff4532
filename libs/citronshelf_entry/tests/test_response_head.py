"""Tests of malformed response heads of backend servers, over raw sockets."""

import asyncio
import re

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from citronshelf_entry import classify
from citronshelf_entry import exchange
from citronshelf_entry import upstream
from test_upstream import exchange_with
from test_upstream import fetch

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HEAD = b'HTTP/1.1 200 OK\r\n'
BODY = b'\r\nContent-Length: 2\r\n\r\nok'
# The rules of RFC 9112, independent of those of the code under test.
START_LINE = re.compile(
    rb'HTTP/1\.[01] [1-9][0-9]{2}( [^\x00-\x08\n-\x1f\x7f]*)?'
)
FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\n-\x1f\x7f]*"
)
# Options with which citronshelf-instance sends all requests.
INSTANCE_OPTIONS = {
    'new_connection': True,
    'close_after': True,
    'rules': exchange.ResponseRules(close_delimited=True, ignore_surplus=True),
}


def is_valid_head(data):
    """Return whether a response begins with heads that are well-formed."""
    while True:
        head, _, data = data.partition(b'\r\n\r\n')
        start, *fields = head.split(b'\r\n')
        if not START_LINE.fullmatch(start):
            return False
        if not all(FIELD_LINE.fullmatch(line) for line in fields):
            return False
        if not start.split()[1].startswith(b'1'):
            return True


class TestMalformedHead:
    """A malformed line makes a response fail and counts against its server.

    Guards against a corrupted line that libcurl passes on in a success.
    """

    @pytest.mark.parametrize(
        'line',
        [
            b'Cache Control: a',
            b'Cache@Control: a',
            b'Cache\x01Control: a',
            b'Cache\xe9: a',
            b'Cache-Control : a',
            b': a',
            b' Cache-Control: a',
            b'Cache\rControl: a',
            b'Cache-Control: a\rb',
            b'Cache-Control: a\r',
            b'Cache-Control: a\nX-A: b',
            b'Cache-Control: a\x07',
            b'Cache-Control: a\x00',
            b'Cache-Control: a\x7f',
            b'Cache-Control',
            b'HTTP/1.1 200 OK',
        ],
    )
    @pytest.mark.parametrize('interim', [False, True])
    def test_field_line_is_refused(
        self, raw_server, scripts, upstream_request, line, interim
    ):
        data = HEAD + line + BODY
        if interim:
            data = b'HTTP/1.1 103 Early\r\n' + line + b'\r\n\r\n' + OK
        result, _ = exchange_with(raw_server, scripts(data), upstream_request)
        assert isinstance(result, classify.Failure)
        assert result.reason == 'malformed-answer'
        assert result.execution is classify.ExecutionStatus.UNKNOWN
        assert result.signal is not classify.FailureSignal.NONE

    @pytest.mark.parametrize(
        'start',
        [
            b'HTTP/1.1 20 OK',
            b'HTTP/1.1  200 OK',
            b'HTTP/1.1 200 O\x07K',
            b'HTTP/1.1 000 OK',
            b'HTTP/1.2 200 OK',
            b'HTTP/2 200 OK',
            b'HTTP/1.1 \xb200 OK',
            b'HTTP/1.1 2000 OK',
        ],
    )
    def test_status_line_is_refused(
        self, raw_server, scripts, upstream_request, start
    ):
        result, _ = exchange_with(
            raw_server, scripts(start + BODY), upstream_request
        )
        assert isinstance(result, classify.Failure)
        assert result.signal is not classify.FailureSignal.NONE

    # Guards against a body whose end other parsers place elsewhere.
    def test_chunked_response_of_an_old_version_is_refused(
        self, raw_server, scripts, upstream_request
    ):
        data = (
            b'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\n\r\n'
        )
        result, _ = exchange_with(raw_server, scripts(data), upstream_request)
        assert isinstance(result, classify.Failure)
        assert result.reason == 'no-provable-end'

    # Guards against bytes of a value that are removed as white space.
    def test_valid_lines_are_passed_on(
        self, raw_server, scripts, upstream_request
    ):
        data = b'HTTP/1.1 200\r\n~x!: \t a\xa0\x85 \r\nX-Empty:' + BODY
        result, _ = exchange_with(raw_server, scripts(data), upstream_request)
        assert result[0].headers[:2] == (('~x!', 'a\xa0\x85'), ('X-Empty', ''))


class TestArbitraryHeads:
    """A response is a success only if its head is well-formed.

    Guards against lines that the listed cases miss.
    """

    PIECES = st.one_of(
        st.binary(max_size=4),
        st.sampled_from(
            [
                b'\r\n',
                b'\n',
                b'\r',
                b': ',
                b'X-A: b\r\n',
                b'X-A: b\r\n',
                BODY,
                b'Transfer-Encoding: chunked\r\n',
                b'HTTP/1.1 100 Continue\r\n\r\n',
                HEAD,
            ]
        ),
    )
    RESPONSES = st.tuples(
        st.sampled_from([b'', HEAD, HEAD, HEAD + b'X-A: b']),
        st.lists(PIECES, max_size=5).map(b''.join),
        st.just(BODY),
    ).map(b''.join)

    def test_success_has_a_valid_head(self, raw_server, upstream_request):
        counts = {True: 0, False: 0}

        @settings(derandomize=True, max_examples=30, deadline=None)
        @given(st.lists(self.RESPONSES, min_size=40, max_size=40))
        def check(responses):
            results = asyncio.run(
                exchange_all(raw_server, upstream_request, responses)
            )
            for data, result in zip(responses, results, strict=True):
                is_success = not isinstance(result, classify.Failure)
                counts[is_success] += 1
                if is_success:
                    assert is_valid_head(data), data
                else:
                    assert result.execution != 'not-run'
                    assert result.signal != 'none'

        check()
        assert min(counts.values()) > 100


async def exchange_all(raw_server, upstream_request, responses):
    """Return the results of concurrent exchanges, one for each response."""

    async def script(_server, head, writer):
        number = int(head.split()[1].removeprefix(b'/'))
        writer.write(responses[number])
        await writer.drain()
        writer.close()

    client = upstream.UpstreamClient()
    async with raw_server(script) as server:
        exchanges = [
            fetch(
                client,
                upstream_request(
                    server.address, target=f'/{number}', **INSTANCE_OPTIONS
                ),
            )
            for number in range(len(responses))
        ]
        results = await asyncio.gather(*exchanges)
    client.close()
    return results
