"""Tests of routing and refusing requests."""

import asyncio
import logging
import random
import time
from types import SimpleNamespace

from expression import Ok
import pytest

from citronshelf_common import outcomes
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import metrics
from citronshelf_instance import published
from citronshelf_instance import quota
from citronshelf_instance import registrations
from citronshelf_instance import request_handler
from instance_builders import make_account
from instance_builders import make_configuration

FIRST = configuration.Snapshot(5, make_configuration(), ())


class ScriptedForwarder:
    """Stands in for ``Forwarder`` with a fixed outcome or error."""

    names = caller_request.HeaderNames()
    ending = False

    def __init__(self, outcome):
        self.outcome = outcome
        self.callers = []

    async def run(self, request, routed, caller):
        self.callers.append(caller)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class FixedReader:
    """Stands in for ``StoreReader``."""

    def __init__(self, up_to_date=True):
        self.up_to_date = up_to_date

    def is_up_to_date(self):
        return self.up_to_date


class FixedIdentifier:
    """Identifies every caller as the same one."""

    def __init__(self, caller):
        self.caller = caller

    def identify(self, head, route):
        return Ok(self.caller)


def make_handler(outcome=None, snapshot=FIRST, up_to_date=True):
    state = published.PublishedState(
        directory=registrations.Directory(clock=time.monotonic),
        clock=time.monotonic,
        rng=random.Random(1),
    )
    if snapshot is not None:
        state.replace(snapshot, source=published.STORE_SOURCE)
    reader = FixedReader(up_to_date)
    return request_handler.RequestHandler(
        state=state,
        reader=reader,
        identifier=caller_identity.CallerIdentifier(
            state=state,
            is_up_to_date=reader.is_up_to_date,
            names=caller_request.HeaderNames(),
        ),
        forwarder=ScriptedForwarder(outcome),
        metrics=metrics.InstanceMetrics(),
        clock=time.monotonic,
    )


def make_request(target='/a/x', host='a.example', extra=()):
    head = caller_request.RequestHead(
        method='GET',
        target=target,
        host=host,
        headers=(('Host', host), *extra),
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


class TestCallers:
    """Requests with and without a key while accounts are in force."""

    SNAPSHOT = FIRST._replace(
        configuration=make_configuration(
            accounts=(make_account('first', 'secret-1', priority=4),)
        )
    )
    OK = outcomes.Response(status=200, headers=(), body=b'')

    def test_account_reaches_later_steps_and_the_log(self, caplog):
        handler = make_handler(self.OK, self.SNAPSHOT)
        request = make_request(extra=(('x-account-KEY', 'secret-1'),))
        with caplog.at_level(logging.INFO):
            assert handle(handler, request).status == 200
        [caller] = handler.forwarder.callers
        assert (caller.account, caller.priority) == ('first', 4)
        assert caplog.records[-1].account == 'first'
        assert handler.metrics.counters['callers'].get({'kind': 'account'})

    # Guards against a key in the log, a metric or the response.
    @pytest.mark.parametrize('up_to_date, status', [(True, 401), (False, 503)])
    def test_unknown_key_is_refused_and_shown_nowhere(
        self, up_to_date, status, caplog
    ):
        handler = make_handler(self.OK, self.SNAPSHOT, up_to_date)
        request = make_request(extra=(('X-Account-Key', 'secret-2'),))
        with caplog.at_level(logging.INFO):
            response = handle(handler, request)
        assert response.status == status
        assert handler.forwarder.callers == []
        retry_after = headers.first_of(response.headers, 'retry-after')
        assert bool(retry_after) == (status == 503)
        record = caplog.records[-1]
        assert (record.route, record.account) == ('lookup', '')
        page, _ = handler.metrics.render()
        for text in (repr(vars(record)), repr(response), page.decode()):
            assert 'secret-2' not in text

    def test_unknown_route_needs_no_key(self):
        handler = make_handler(self.OK, self.SNAPSHOT)
        assert handle(handler, make_request('/nowhere/')).status == 404

    # Guards against a refusal of the forwarding that no metric shows.
    def test_refusal_of_the_forwarder_is_counted(self):
        refused = caller_identity.Refused(caller_identity.KEY_UNKNOWN)
        handler = make_handler(refused)
        response = handle(handler)
        assert response.status == 401
        assert 'Retry-After' not in dict(response.headers)
        assert handler.metrics.counters['refusals'].get(
            {'status': '401', 'reason': 'key unknown'}
        )


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


class ScriptedQuotas:
    """Stands in for ``QuotaExchange`` with a fixed decision."""

    def __init__(self, decision):
        self.decision = decision
        self.returned = []

    async def admit(self, account):
        return self.decision

    def give_back(self, token):
        self.returned.append(token)


class TestQuota:
    """The quota of the caller's account is checked before a dispatch."""

    CALLER = caller_identity.Caller('a')
    TOKEN = quota.Token('a', None)

    def make_handler(self, outcome, decision):
        handler = make_handler(outcome)
        handler.identifier = FixedIdentifier(self.CALLER)
        handler.quotas = ScriptedQuotas(decision)
        return handler

    def test_refusal_says_when_to_return(self):
        handler = self.make_handler(
            AssertionError('dispatched'), quota.Refused(2.0)
        )
        response = handle(handler)
        retry_after = headers.first_of(response.headers, 'retry-after')
        assert response.status == 429
        assert 2.0 <= float(retry_after) <= 2.4

    @pytest.mark.parametrize(
        'outcome, returned',
        [
            (outcomes.NotRun(reason='no-server'), [TOKEN]),
            (outcomes.Unknown(reason='reset'), []),
            (outcomes.Response(status=500, headers=(), body=b''), []),
        ],
    )
    def test_request_that_did_not_run_gives_its_token_back(
        self, outcome, returned
    ):
        handler = self.make_handler(outcome, self.TOKEN)
        handle(handler)
        assert handler.quotas.returned == returned
