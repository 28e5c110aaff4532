"""Callers that load a fleet from threads and keep what they were told."""

import http.client
import json
import random
import threading
import time
from typing import NamedTuple

from citronshelf_standins import answers

KEYS_PATH = '/_citronshelf/keys'
OUTCOME_HEADER = 'Citronshelf-Outcome'
CALLER_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 3
LOST = 'lost'


class Response(NamedTuple):
    """What one attempt gave the caller.

    Attributes
    ----------
    instance : str
    status : int
        0 when the connection broke.
    outcome : str
        ``done``, ``not-run``, ``unknown`` or ``lost``.
    body : bytes
    """

    instance: str
    status: int
    outcome: str
    body: bytes


class WorkItem(NamedTuple):
    """One piece of work and every reply that its caller got.

    Attributes
    ----------
    kind : str
        ``read``, ``sheet``, ``plain`` or ``keyed``.
    work_id : str
    size_bytes : int
        Bytes that a sheet must have.
    started_s, ended_s : float
        Wall clock.
    responses : tuple of Response
    """

    kind: str
    work_id: str
    size_bytes: int
    started_s: float
    ended_s: float
    responses: tuple[Response, ...]


class Caller:
    """One caller with kept connections, as a shop's client has them.

    Parameters
    ----------
    addresses : dict of str to str
        ``ip:port`` of the instances by name; changed while callers run.
    rng : random.Random
    """

    def __init__(self, *, addresses: dict[str, str], rng: random.Random):
        self.addresses = addresses
        self.rng = rng
        self.connections: dict[str, http.client.HTTPConnection] = {}

    def choose_instance(self) -> str:
        """Choose an instance, as the balancer does."""
        return self.rng.choice(sorted(self.addresses))

    def send(self, method, path, body=None, headers=None, instance=None):
        """Send one request once and return the reply."""
        instance = instance or self.choose_instance()
        address = self.addresses.get(instance)
        if address is None:
            return Response(instance, 0, LOST, b'')
        connection = self.connections.get(instance)
        if connection is None:
            connection = http.client.HTTPConnection(
                address, timeout=CALLER_TIMEOUT_S
            )
            self.connections[instance] = connection
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.connections.pop(instance).close()
            return Response(instance, 0, LOST, b'')
        outcome = response.headers.get(OUTCOME_HEADER, '')
        return Response(instance, response.status, outcome, data)

    def fetch_key(self) -> str | None:
        """Ask any instance for a key."""
        response = self.send('POST', KEYS_PATH, b'')
        if response.status not in (200, 201):
            return None
        return json.loads(response.body)['key']

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self.connections.values():
            connection.close()


class Paths(NamedTuple):
    """Where the document routes each kind of work."""

    read: str
    sheet: str
    issue: str


class LoadGenerator:
    """Several callers in threads, until stopped.

    Parameters
    ----------
    addresses : dict of str to str
    paths : Paths
    callers : int
    kinds : sequence of str
    pause_s : float
        Between the items of one caller.
    seed : int
    work_ms : int
        Service time that the work asks for.
    """

    def __init__(
        self,
        *,
        addresses,
        paths: Paths,
        callers: int = 8,
        kinds=('read', 'plain', 'keyed'),
        pause_s: float = 0.01,
        seed: int = 1,
        work_ms: int = 5,
    ):
        self.addresses = addresses
        self.paths = paths
        self.kinds = kinds
        self.pause_s = pause_s
        self.work_ms = work_ms
        self.items: list[WorkItem] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number, seed))
            for number in range(callers)
        ]

    def __enter__(self) -> 'LoadGenerator':
        """Start the callers."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_exception) -> None:
        """Let every caller finish its item."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number: int, seed: int) -> None:
        """Send one item after another until stopped."""
        rng = random.Random(seed * 1000 + number)
        caller = Caller(addresses=self.addresses, rng=rng)
        count = 0
        while not self.stopping.is_set():
            count += 1
            kind = rng.choice(self.kinds)
            work_id = f'{kind}-{seed}-{number}-{count}'
            self.items.append(self.run_item(caller, kind, work_id))
            self.stopping.wait(self.pause_s)
        caller.close()

    def run_item(self, caller: Caller, kind: str, work_id: str) -> WorkItem:
        """Send one item, with the retries that its kind allows."""
        started_s = time.time()
        size_bytes = 0
        match kind:
            case 'read':
                responses = self.read(caller, self.paths.read, work_id)
            case 'sheet':
                size_bytes = caller.rng.randint(1, 3_000_000)
                path = f'{self.paths.sheet}?bytes={size_bytes}'
                responses = self.read(caller, path, work_id)
            case 'plain':
                responses = [self.post(caller, work_id, None)]
            case _:
                responses = self.issue_with_key(caller, work_id)
        return WorkItem(
            kind, work_id, size_bytes, started_s, time.time(), tuple(responses)
        )

    def read(self, caller: Caller, path: str, work_id: str) -> list[Response]:
        """Read once."""
        return [caller.send('GET', path, headers={'X-Work-Id': work_id})]

    def post(self, caller: Caller, work_id: str, key: str | None) -> Response:
        """Post one issue once."""
        headers = {'X-Work-Id': work_id}
        if key is not None:
            headers['Idempotency-Key'] = key
        path = f'{self.paths.issue}?ms={self.work_ms}'
        return caller.send('POST', path, b'{"count": 50}', headers)

    def issue_with_key(self, caller: Caller, work_id: str) -> list[Response]:
        """Issue with a key and retry until the outcome is known."""
        key = caller.fetch_key()
        if key is None:
            return []
        responses = []
        for _ in range(MAX_ATTEMPTS):
            responses.append(self.post(caller, work_id, key))
            if responses[-1].outcome in ('done', 'not-run'):
                break
        return responses


class Report(NamedTuple):
    """What the oracle counted.

    Attributes
    ----------
    requests : int
        Attempts of callers.
    executions : int
        Counted at the backend servers.
    done, not_run, unknown, lost : int
        Replies by outcome.
    violations : tuple of str
    """

    requests: int
    executions: int
    done: int
    not_run: int
    unknown: int
    lost: int
    violations: tuple[str, ...]


def make_report(items: list[WorkItem], executions: list[dict]) -> Report:
    """Compare what callers were told with what the servers executed.

    Parameters
    ----------
    items : list of WorkItem
    executions : list of dict
        Log lines of the backend servers, one an execution.
    """
    counts: dict[str, int] = {}
    for line in executions:
        counts[line['work']] = counts.get(line['work'], 0) + 1
    violations = []
    for item in items:
        violations += find_violations(item, counts.get(item.work_id, 0))
    responses = [response for item in items for response in item.responses]
    outcomes = [response.outcome for response in responses]
    return Report(
        len(responses),
        sum(counts.values()),
        outcomes.count('done'),
        outcomes.count('not-run'),
        outcomes.count('unknown'),
        outcomes.count(LOST),
        tuple(violations),
    )


def find_violations(item: WorkItem, execution_count: int) -> list[str]:
    """Return what was untrue for one piece of work."""
    violations = []
    outcomes = {response.outcome for response in item.responses}
    if item.kind in ('plain', 'keyed'):
        if execution_count > 1:
            violations.append(
                f'{item.work_id} executed {execution_count} times'
            )
        if 'done' in outcomes and execution_count != 1:
            violations.append(
                f'{item.work_id} told done, executed {execution_count}'
            )
    if 'not-run' in outcomes and execution_count:
        violations.append(
            f'{item.work_id} told not-run, executed {execution_count}'
        )
    if not outcomes <= {'done', 'not-run', 'unknown', LOST}:
        violations.append(f'{item.work_id} got outcomes {sorted(outcomes)}')
    for response in item.responses:
        if response.outcome == 'done' and not has_expected_body(
            item, response
        ):
            violations.append(f'{item.work_id} got {response.body[:80]!r}')
    return violations


def has_expected_body(item: WorkItem, response: Response) -> bool:
    """Tell whether a body is the whole answer to this very work."""
    if response.status >= 400:
        return True
    if item.kind == 'sheet':
        return response.body == answers.sheet_bytes(item.size_bytes)
    try:
        return json.loads(response.body)['work'] == item.work_id
    except (ValueError, KeyError):
        return False
