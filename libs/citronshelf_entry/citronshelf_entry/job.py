"""A routed request with everything that is needed to run it."""

import dataclasses
import os

from citronshelf_entry import clock
from citronshelf_entry import evidence
from citronshelf_entry import headers
from citronshelf_traffic import work as traffic_work

REQUEST_ID_BYTES = 12


@dataclasses.dataclass(kw_only=True)
class Job:
    """A routed request.

    Attributes
    ----------
    work : Work
        Description of the request, used for admission, server choice, retries
        and hedging.
    kind : WorkKind
        Group in which its response time is compared.
    method : str
    target : str
        Path and query as received.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
    account : str
    abandoned : bool
        The caller no longer waits; no further attempt is sent.
    may_have_run : bool
        A server may have run the work although it was sent on to another.
    """

    work: traffic_work.Work
    kind: evidence.WorkKind
    method: str
    target: str
    headers: headers.HeaderList
    body: bytes
    account: str
    abandoned: bool = False
    may_have_run: bool = False

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.work.deadline_at - clock.now_s()


def new_request_id() -> str:
    """Return a random identifier for a request."""
    return os.urandom(REQUEST_ID_BYTES).hex()


def make_job(
    match, *, request_id, method, target, fields, body, account, deadline_ms
) -> Job:
    """Create the job for a routed request.

    Parameters
    ----------
    match : RouteMatch
    request_id, method, target : str
    fields : tuple of (str, str)
        All headers of the request.
    body : bytes
    account : str
    deadline_ms : float or None
        Time that the caller allows; None for the limit of the class.
    """
    work = traffic_work.describe_work(
        request_id=request_id,
        service_name=match.service_name,
        service=match.service,
        class_name=match.class_name,
        request_class=match.request_class,
        now=clock.now_s(),
        body_bytes=len(body),
        deadline_ms=deadline_ms,
    )
    return Job(
        work=work,
        kind=evidence.WorkKind(
            match.pool_name, match.class_name, match.request_class.long
        ),
        method=method,
        target=target,
        headers=headers.end_to_end(fields, headers.OWN_REQUEST_HEADERS),
        body=body,
        account=account,
    )
