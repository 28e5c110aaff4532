"""Tests of routing and refusing requests."""

import asyncio
import logging
import random
import time
from types import SimpleNamespace

import pytest

from citronshelf_common import outcomes
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import metrics
from citronshelf_instance import published
from citronshelf_instance import registrations
from citronshelf_instance import request_handler
from instance_builders import make_configuration

FIRST = configuration.Snapshot(5, make_configuration(), ())


class ScriptedForwarder:
    """Stands in for ``Forwarder`` with a fixed outcome or error."""

    names = caller_request.HeaderNames()
    ending = False

    def __init__(self, outcome):
        self.outcome = outcome

    async def run(self, request, routed, caller):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class FixedReader:
    """Stands in for ``StoreReader``."""

    def __init__(self, up_to_date=True):
        self.up_to_date = up_to_date

    def is_up_to_date(self):
        return self.up_to_date


def make_handler(outcome=None, snapshot=FIRST, up_to_date=True):
    state = published.PublishedState(
        directory=registrations.Directory(clock=time.monotonic),
        clock=time.monotonic,
        rng=random.Random(1),
    )
    if snapshot is not None:
        state.replace(snapshot, source=published.STORE_SOURCE)
    return request_handler.RequestHandler(
        state=state,
        reader=FixedReader(up_to_date),
        forwarder=ScriptedForwarder(outcome),
        metrics=metrics.InstanceMetrics(),
        clock=time.monotonic,
    )


def make_request(target='/a/x', host='a.example'):
    head = caller_request.RequestHead(
        method='GET',
        target=target,
        host=host,
        headers=(('Host', host),),
        framing=headers.Framing(0, False),
        request_id='r1',
        deadline_s=2.0,
        keep_alive=True,
        expects_continue=False,
    )
    return caller_request.CallerRequest(head, b'', time.monotonic())


def handle(handler, request=None):
    return asyncio.run(handler.handle(request or make_request()))


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(request_handler, 'FIRST_READ_WAIT_S', 0.05)


class TestRefusals:
    """Only a configuration known to be the newest denies a request."""

    # Guards against rejections that callers do not retry, from an instance
    # that has no configuration or may have an old one.
    @pytest.mark.parametrize(
        'snapshot, up_to_date, status, reason',
        [
            (FIRST, True, 404, 'no such route'),
            (FIRST, False, 503, 'outdated configuration'),
            (None, True, 503, 'no configuration'),
            (None, False, 503, 'no configuration'),
            (
                FIRST._replace(configuration=None),
                True,
                503,
                'no configuration',
            ),
        ],
    )
    def test_unknown_route(self, snapshot, up_to_date, status, reason, caplog):
        handler = make_handler(snapshot=snapshot, up_to_date=up_to_date)
        with caplog.at_level(logging.INFO):
            response = handle(handler, make_request('/nowhere/'))
        assert response.status == status
        assert not response.closes_connection
        retry_after = headers.first_of(response.headers, 'retry-after')
        assert bool(retry_after) == (status == 503)
        assert caplog.records[-1].reason == reason
        assert handler.metrics.counters['refusals'].get(
            {'status': str(status), 'reason': reason}
        )

    @pytest.mark.parametrize('up_to_date', [True, False])
    def test_known_route_is_served_from_any_configuration(self, up_to_date):
        served = outcomes.Response(status=200, headers=(), body=b'ok')
        handler = make_handler(served, up_to_date=up_to_date)
        assert handle(handler).status == 200

    @pytest.mark.parametrize('status', [404, 400, 302])
    def test_rejection_of_a_server_counts_as_no_refusal(self, status, caplog):
        rejected = outcomes.Response(status=status, headers=(), body=b'no')
        handler = make_handler(rejected)
        with caplog.at_level(logging.INFO):
            assert handle(handler).status == status
        assert caplog.records[-1].reason == ''
        assert handler.metrics.counters['refusals'].get_all() == []

    def test_internal_error_promises_nothing(self):
        assert handle(make_handler(ValueError('x'))).status == 502


class TestAdmission:
    """Load: an overloaded service; its requests are refused before a server.

    Guards against a refused request that is forwarded all the same.
    """

    def test_refusal_has_its_time_and_is_not_forwarded(self):
        handler = make_handler(ValueError('forwarded'))
        refusal = request_head.RequestRefusal(
            503, 'overloaded', retry_after_s=2.0
        )
        handler.admission_control = SimpleNamespace(
            check=lambda request, routed, caller: refusal
        )
        response = handle(handler)
        assert response.status == 503
        retry_after = headers.first_of(response.headers, 'retry-after')
        assert 2.0 <= float(retry_after) <= 2.4


class TestUnreadRequests:
    """Requests that cannot be read are counted and logged."""

    def test_log_names_request_and_configuration(self, caplog):
        handler = make_handler()
        refusal = request_head.RequestRefusal(413, 'body over 9 bytes')
        with caplog.at_level(logging.INFO):
            handler.record_unread_request(refusal, 'r1')
        record = caplog.records[-1]
        assert (record.status, record.request_id) == (413, 'r1')
        assert record.configuration_revision == 5
        assert 0 <= record.configuration_age_s < 5
