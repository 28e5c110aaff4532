"""Builders of attempts for the tests of the entry daemon."""

import types

from citronshelf_entry import attempt as attempts


class FakeObserver:
    """Observer that records nothing."""

    def begin(self, placement):
        pass

    def on_head(self, attempt, head):
        pass

    def record_response(self, attempt, head, size):
        pass

    def record_failure(self, attempt, failure, ending, load):
        pass


def make_attempt(
    client, server, upstream_request, *, idempotent=False, **changes
):
    """Return an attempt whose request, with ``changes``, goes to a server."""

    class DirectAttempt(attempts.Attempt):
        def upstream_request(self):
            return upstream_request(server.address, **changes)

    return DirectAttempt(
        job=types.SimpleNamespace(
            method='GET',
            work=types.SimpleNamespace(idempotent=idempotent, request_id='r1'),
        ),
        placement=types.SimpleNamespace(
            server=types.SimpleNamespace(server_id='s', address=server.address)
        ),
        client=client,
        observer=FakeObserver(),
    )
