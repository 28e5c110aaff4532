"""Description of a request, used for admission and server choice."""

import enum
from typing import NamedTuple

from citronshelf_document import model


class Ending(enum.StrEnum):
    """How one dispatch ended.

    SHED, DRAINING, REFUSED and NO_SERVER prove that the request was not
    executed; NO_SERVER covers every cause except the first three. After
    CANCELLED and FAILED it may have been executed.
    """

    ANSWERED = 'answered'
    SHED = 'shed'
    DRAINING = 'draining'
    REFUSED = 'refused'
    NO_SERVER = 'no-server'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


NOT_RUN_ENDINGS = frozenset(
    {Ending.SHED, Ending.DRAINING, Ending.REFUSED, Ending.NO_SERVER}
)


class Work(NamedTuple):
    """Properties of a request that are known before it is sent.

    Attributes
    ----------
    request_id, service, pool, request_class : str
    idempotent, long : bool
    worth : float
    expected_ms : float
        Service time of the class, from the document.
    deadline_at : float
        Clock reading after which the response has no value, in s.
    body_bytes : int
    max_response_bytes : int
    """

    request_id: str
    service: str
    pool: str
    request_class: str
    idempotent: bool
    long: bool
    worth: float
    expected_ms: float
    deadline_at: float
    body_bytes: int = 0
    max_response_bytes: int = 0

    @property
    def worth_rate(self) -> float:
        """Worth per ms of expected service time, at least 0.001 ms."""
        return self.worth / max(self.expected_ms, 0.001)


def describe_work(
    *,
    request_id: str,
    service_name: str,
    service: model.Service,
    class_name: str,
    request_class: model.RequestClass,
    now: float,
    body_bytes: int = 0,
    deadline_ms: float | None = None,
) -> Work:
    """Return the properties of one request.

    Parameters
    ----------
    now : float
        Reading of the same clock that the traffic classes use, in s.
    deadline_ms : float, optional
        Time limit set by the caller, in ms; at most the deadline of the
        class applies.
    """
    allowed_ms = request_class.deadline_ms
    if deadline_ms is not None:
        allowed_ms = min(allowed_ms, deadline_ms)
    return Work(
        request_id=request_id,
        service=service_name,
        pool=service.pool,
        request_class=class_name,
        idempotent=request_class.idempotent,
        long=request_class.long,
        worth=request_class.worth,
        expected_ms=request_class.expected_ms,
        deadline_at=now + allowed_ms / 1000,
        body_bytes=body_bytes,
        max_response_bytes=request_class.max_answer_bytes,
    )
