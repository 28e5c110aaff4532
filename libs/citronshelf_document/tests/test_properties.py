"""Property tests of parsing, rendering, comparison and routing."""

from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from citronshelf_document import checking
from citronshelf_document import comparing
from citronshelf_document import explaining
from citronshelf_document import model
from citronshelf_document import parsing
from citronshelf_document import paths
from citronshelf_document import rendering
from citronshelf_document import routing

NAMES = ('a', 'b.c', 'd-e')
HOSTS = ('', 'x.example')
METHODS = ('GET', 'POST')
PERCENT = st.integers(0, 100)
# Few segments, so that many of the generated routes overlap.
SEGMENTS = st.sampled_from(['m', 'm', 'mn', '%C3%A9'])
PATHS = st.lists(SEGMENTS, max_size=3).map(lambda s: '/' + '/'.join(s))
PREFIXES = PATHS.map(lambda path: path.rstrip('/') + '/')


def build(entry_type, **values):
    """Generate entries with the given values and defaults for the others."""
    drawn = st.fixed_dictionaries(values)
    return drawn.map(lambda chosen: entry_type(**chosen))


POOLS = build(
    model.Pool,
    slots_per_server=st.integers(1, 10),
    connections_per_server=st.integers(10, 400),
    floor_percent=PERCENT,
    minimum_servers=st.integers(1, 9),
    prefer=st.sampled_from(['nearest', 'store-region']),
    long_work_percent=st.integers(1, 100),
)
WORTHS = st.floats(0, 1e6) | st.integers(0, 100).map(float)
CLASSES = build(
    model.RequestClass,
    idempotent=st.just(False),
    expected_ms=st.integers(1, 100),
    deadline_ms=st.integers(100, 9000),
    worth=WORTHS,
    long=st.booleans(),
    key=st.sampled_from(['optional', 'required']),
    max_request_bytes=st.integers(0, 9999),
) | build(
    model.RequestClass,
    idempotent=st.just(True),
    expected_ms=st.integers(1, 100),
    deadline_ms=st.integers(100, 9000),
)
LIMITS = st.builds(
    model.AccountLimit, st.floats(0.001, 1e5), st.integers(1, 999)
)


SETTINGS = settings(derandomize=True, deadline=None)
PATH_PREFIXES = routing.path_prefixes


def named_entries(values, **sizes):
    return st.dictionaries(st.sampled_from(NAMES), values, **sizes)


@st.composite
def routes(draw, services, classes):
    is_prefix = draw(st.booleans())
    methods = st.sets(st.sampled_from(METHODS), min_size=1)
    return model.Route(
        methods=tuple(sorted(draw(methods))),
        path=draw(PREFIXES if is_prefix else PATHS),
        is_prefix=is_prefix,
        host=draw(st.sampled_from(HOSTS)),
        service=draw(st.sampled_from(sorted(services))),
        request_class=draw(st.sampled_from(sorted(classes))),
    )


@st.composite
def documents(draw):
    pools = draw(named_entries(POOLS, min_size=1))
    service_entries = build(
        model.Service,
        pool=st.sampled_from(sorted(pools)),
        hedge_budget_percent=PERCENT,
    )
    services = draw(named_entries(service_entries, min_size=1))
    classes = draw(named_entries(CLASSES, min_size=1))
    one_route = routes(services, classes)
    many_routes = st.lists(one_route, min_size=5, max_size=12)
    patterns = draw(st.lists(one_route, max_size=2) | many_routes)
    unique_routes, seen = {}, set()
    for index, route in enumerate(patterns):
        keys = {(m, *route[1:4]) for m in route.methods}
        if not keys & seen:
            unique_routes[f'route-{index}'] = route
            seen |= keys
    accounts = model.Accounts(draw(LIMITS), draw(named_entries(LIMITS)))
    cross_region = model.CrossRegion(link_percent=draw(PERCENT))
    return model.Document(
        pools, services, classes, unique_routes, accounts, cross_region
    )


@st.composite
def documents_and_requests(draw):
    """Generate a document and a request that often matches a route.

    Most requests extend the path of a route, because independently
    generated paths rarely match one.
    """
    document = draw(documents())
    path = draw(PATHS | PREFIXES)
    if document.routes and draw(st.integers(0, 3)):
        names = st.sampled_from(sorted(document.routes))
        route_path = document.routes[draw(names)].path
        path = route_path.rstrip('/') + draw(st.just('') | PATHS) or '/'
    request = (
        draw(st.sampled_from(METHODS)),
        draw(st.sampled_from(HOSTS)),
        path,
    )
    return document, request


def scan_all_routes(document, method, host, path):
    """Test oracle: find the best route by comparing all routes."""
    candidates = []
    for name, route in document.routes.items():
        matches = path == route.path
        if route.is_prefix:
            matches = path.startswith(route.path)
        if matches and method in route.methods and route.host in ('', host):
            rank = (not route.is_prefix, len(route.path), bool(route.host))
            candidates.append((rank, name))
    return max(candidates, default=(None, None))[1]


def parse(text):
    data = text.encode() if isinstance(text, str) else text
    return parsing.parse_document(data, 'd.toml', max_bytes=10_000_000)


def check_rendering(document):
    parsed = parse(rendering.render_document(document))
    assert parsed.is_ok(), parsed.error
    assert parsed.ok == document


def check_comparison(old, new):
    assert comparing.compare(old, old) == ()
    for section in model.Document._fields:
        one_changed = old._replace(**{section: getattr(new, section)})
        silent = comparing.compare(old, one_changed) == ()
        assert silent == (old == one_changed), section


def check_duplicate(document, random):
    if document.routes:
        name = random.choice(sorted(document.routes))
        copied = {**document.routes, 'copy': document.routes[name]}
        text = rendering.render_document(document._replace(routes=copied))
        parsed = parse(text)
        assert parsed.is_error(), 'two routes for the same requests'
        assert [fault.key for fault in parsed.error] == ['routes.copy']


def check_match(document_and_request):
    document, request = document_and_request
    method, host, path = request
    table = routing.RouteTable(document=document)
    spelled = path.replace('%C3', '%c3') + '?q=/m/'
    result = table.match(method, f'{host.upper()}:8080', spelled)
    expected = scan_all_routes(document, method, host, path)
    if expected is not None:
        assert result.is_ok(), result.error
        assert result.ok.route_name == expected
    else:
        assert result.is_error(), result.ok
        assert result.error.allowed_methods == tuple(
            m for m in METHODS if scan_all_routes(document, m, host, path)
        )
    verdicts = explaining.explain_routes(table, method, host, path)
    assert len(verdicts) == len(document.routes)
    chosen = [v.route_name for v in verdicts if v.chosen]
    assert chosen == ([expected] if expected else [])


class TestParsing:
    """Parsing never raises, and rendering then parsing is lossless."""

    @settings(SETTINGS, max_examples=300)
    @given(st.binary(max_size=300))
    def test_random_bytes_never_raise(self, data):
        assert parse(data).is_error()

    @settings(SETTINGS, max_examples=100)
    @given(documents(), st.data())
    def test_damaged_documents_never_raise(self, document, data):
        text = rendering.render_document(document).encode()
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 40)))
        parse(text[:start] + data.draw(st.binary(max_size=8)) + text[end:])

    @settings(SETTINGS, max_examples=100)
    @given(documents())
    def test_rendered_document_parses_to_itself(self, document):
        check_rendering(document)


class TestComparing:
    """Changes are reported if and only if the documents differ."""

    @settings(SETTINGS, max_examples=100)
    @given(documents(), documents())
    def test_no_change_only_for_equal_documents(self, old, new):
        check_comparison(old, new)


class TestRouteTable:
    """The table finds the same route as a scan of all routes."""

    @settings(SETTINGS, max_examples=300)
    @given(documents_and_requests())
    def test_equals_scan_of_all_routes(self, drawn):
        check_match(drawn)

    @settings(SETTINGS, max_examples=300)
    @given(st.text(max_size=9), st.text(max_size=40), st.text(max_size=40))
    def test_random_requests_never_raise(self, method, host, path):
        route = model.Route(('GET',), '/', True, 'h', 's', 'c')
        document = model.Document({}, {}, {}, {'r': route}, None, None)
        table = routing.RouteTable(document=document)
        for try_path in (path, f'/{path}'):
            assert table.match(method, host, try_path).is_error()


# Module, attribute and its replacement, then the property check that must fail
# with its strategies.
MUTATIONS = {
    'shortest-prefix-first': (
        routing,
        'path_prefixes',
        lambda path, depth: sorted(PATH_PREFIXES(path, depth)),
        (check_match, documents_and_requests()),
    ),
    'depth-bound-too-small': (
        routing,
        'path_prefixes',
        lambda path, depth: PATH_PREFIXES(path, depth - 1),
        (check_match, documents_and_requests()),
    ),
    'host-compared-with-port': (
        routing,
        'normalise_host',
        str.lower,
        (check_match, documents_and_requests()),
    ),
    'percent-encoding-not-normalised': (
        paths,
        'normalise',
        lambda path: path.partition('?')[0],
        (check_match, documents_and_requests()),
    ),
    'duplicates-accepted': (
        checking,
        'check_duplicates',
        lambda table: iter(()),
        (check_duplicate, documents(), st.randoms()),
    ),
    'account-limits-not-compared': (
        comparing,
        'compare_accounts',
        lambda old, new: iter(()),
        (check_comparison, documents(), documents()),
    ),
    'numbers-not-rendered-as-given': (
        rendering,
        'render_value',
        lambda value: f'"{value}"' if isinstance(value, str) else '1',
        (check_rendering, documents()),
    ),
}


class TestMutations:
    """Each property check fails under a mutation of the code."""

    @settings(SETTINGS, max_examples=50)
    @given(documents(), st.randoms())
    def test_copied_route_is_refused(self, document, random):
        check_duplicate(document, random)

    @pytest.mark.parametrize('name', MUTATIONS)
    def test_is_caught(self, name, monkeypatch):
        owner, attribute, replacement, (check, *drawn) = MUTATIONS[name]
        monkeypatch.setattr(owner, attribute, replacement)
        generate = settings(
            SETTINGS,
            max_examples=1000,
            phases=[Phase.generate],
            report_multiple_bugs=False,
        )
        with pytest.raises(AssertionError):
            generate(given(*drawn)(check))()


class TestPaths:
    """Paths that a server could interpret differently are refused."""

    @pytest.mark.parametrize(
        'path',
        ['', 'm', '/m//n', '/m/./n', '/m/..', '/%6d', '/m%2Fn', '/m%5cn']
        + ['/m\\n', '/m%00', '/m%', '/m n', '/é', '/m\n', '/m#n', '/m;n'],
    )
    def test_refused(self, path):
        assert paths.find_fault(path) is not None

    @pytest.mark.parametrize('path', ['/', '/m/', '/..m/.n', '/%C3%A9,v=1'])
    def test_accepted(self, path):
        assert paths.find_fault(path) is None

    @pytest.mark.parametrize('path', ['/m,n', '/m%2Cn', '/%c3%a9', '/m@n'])
    def test_ambiguous_in_a_route(self, path):
        assert paths.find_fault(path) is None
        assert paths.find_pattern_fault(path) is not None

    def test_percent_encoding_is_normalised(self):
        assert paths.normalise('/%c3%A9/%2c?%c3') == '/%C3%A9/%2C'
        assert paths.find_pattern_fault('/%C3%A9') is None
