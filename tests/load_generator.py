"""Load generator whose callers record the outcome of every request."""

import http.client
import json
import random
import threading
import time
from typing import NamedTuple

from citronshelf_standins import responses

KEYS_PATH = '/_citronshelf/keys'
OUTCOME_HEADER = 'Citronshelf-Outcome'
CALLER_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 3
LOST = 'lost'


class Response(NamedTuple):
    """Result of one attempt, as the caller sees it.

    Attributes
    ----------
    instance : str
    status : int
        0 if there is no complete response, because the instance has no address
        or the connection failed or timed out.
    outcome : str
        ``done``, ``not-run`` or ``unknown`` from the outcome header, empty
        without this header, or ``lost`` if there is no complete response.
    body : bytes
    """

    instance: str
    status: int
    outcome: str
    body: bytes


class WorkItem(NamedTuple):
    """A unit of work and the responses to all its attempts.

    Attributes
    ----------
    kind : str
        ``read``, ``sheet``, ``plain`` or ``keyed``.
    work_id : str
    size_bytes : int
        Expected size of a sheet; 0 for the other kinds.
    started_s, ended_s : float
        Wall-clock time.
    responses : tuple of Response
    """

    kind: str
    work_id: str
    size_bytes: int
    started_s: float
    ended_s: float
    responses: tuple[Response, ...]


class Caller:
    """A caller that keeps one open connection to each instance it used.

    Parameters
    ----------
    addresses : dict of str to str
        ``ip:port`` of the instances by name. Tests change it while callers
        run.
    rng : random.Random
    """

    def __init__(self, *, addresses: dict[str, str], rng: random.Random):
        self.addresses = addresses
        self.rng = rng
        self.connections: dict[str, http.client.HTTPConnection] = {}

    def choose_instance(self) -> str:
        """Choose a random instance, as a load balancer would."""
        return self.rng.choice(sorted(self.addresses))

    def send(self, method, path, body=None, headers=None, instance=None):
        """Send a request once, without retries, and return the response.

        Parameters
        ----------
        method, path : str
        body : bytes, optional
        headers : dict, optional
        instance : str, optional
            Name of the instance; a random one by default.
        """
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
        """Fetch an idempotency key from a random instance.

        Returns None if no key was issued.
        """
        response = self.send('POST', KEYS_PATH, b'')
        if response.status not in (200, 201):
            return None
        return json.loads(response.body)['key']

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections.values():
            connection.close()


class Paths(NamedTuple):
    """Request paths that the document routes, by kind of work."""

    read: str
    sheet: str
    issue: str


class LoadGenerator:
    """Runs callers in threads until stopped.

    Use it as a context manager; ``items`` holds the finished work.

    Parameters
    ----------
    addresses : dict of str to str
    paths : Paths
    callers : int
        Number of threads, with one caller each.
    kinds : sequence of str
        Kinds of work, chosen at random for each item.
    pause_s : float
        Pause of a caller after each item.
    seed : int
    work_ms : int
        Service time that each POST requests from the backend server.
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
        """Start all callers."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_exception) -> None:
        """Stop the callers after their current items."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number: int, seed: int) -> None:
        """Run items of one caller until stopped.

        The caller's number and the seed determine its random choices.
        """
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
        """Run one item; only the ``keyed`` kind is retried."""
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
        """Send one GET, without retries."""
        return [caller.send('GET', path, headers={'X-Work-Id': work_id})]

    def post(self, caller: Caller, work_id: str, key: str | None) -> Response:
        """Send one POST to the issue path, without retries."""
        headers = {'X-Work-Id': work_id}
        if key is not None:
            headers['Idempotency-Key'] = key
        path = f'{self.paths.issue}?ms={self.work_ms}'
        return caller.send('POST', path, b'{"count": 50}', headers)

    def issue_with_key(self, caller: Caller, work_id: str) -> list[Response]:
        """Send a POST with an idempotency key until its outcome is known.

        Gives up after ``MAX_ATTEMPTS``. Returns the responses of all attempts,
        or an empty list if no key could be fetched.
        """
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
    """Counts and violations found by ``make_report``.

    Attributes
    ----------
    requests : int
        Attempts of all callers.
    executions : int
        Executions logged by the backend servers.
    done, not_run, unknown, lost : int
        Responses by outcome.
    violations : tuple of str
        One message for each violated guarantee.
    """

    requests: int
    executions: int
    done: int
    not_run: int
    unknown: int
    lost: int
    violations: tuple[str, ...]


def make_report(items: list[WorkItem], executions: list[dict]) -> Report:
    """Compare the outcomes callers saw with the executions at the servers.

    Parameters
    ----------
    items : list of WorkItem
    executions : list of dict
        Log lines of the backend servers, one per execution.
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
    """Return the violated guarantees of one item.

    A POST is executed at most once, and exactly once if an outcome is
    ``done``. Nothing is executed if an outcome is ``not-run``. Every response
    has a valid outcome, and one that is ``done`` has the expected body.

    Parameters
    ----------
    item : WorkItem
    execution_count : int
        Executions of the item at all backend servers.
    """
    violations = []
    outcomes = {response.outcome for response in item.responses}
    if item.kind in ('plain', 'keyed'):
        if execution_count > 1:
            violations.append(
                f'{item.work_id} executed {execution_count} times'
            )
        if 'done' in outcomes and execution_count != 1:
            violations.append(
                f'{item.work_id} got done, executed {execution_count} times'
            )
    if 'not-run' in outcomes and execution_count:
        violations.append(
            f'{item.work_id} got not-run, executed {execution_count} times'
        )
    if not outcomes <= {'done', 'not-run', 'unknown', LOST}:
        violations.append(
            f'{item.work_id} got invalid outcomes {sorted(outcomes)}'
        )
    for response in item.responses:
        if response.outcome == 'done' and not has_expected_body(
            item, response
        ):
            violations.append(
                f'{item.work_id} got unexpected body {response.body[:80]!r}'
            )
    return violations


def has_expected_body(item: WorkItem, response: Response) -> bool:
    """Return whether the body is the complete response to this item.

    The body of an error response, with status 400 or higher, is not checked.
    """
    if response.status >= 400:
        return True
    if item.kind == 'sheet':
        return response.body == responses.pattern_bytes(item.size_bytes)
    try:
        return json.loads(response.body)['work'] == item.work_id
    except (ValueError, KeyError):
        return False
