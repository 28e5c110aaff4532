"""The example files pass the validation of the code that reads them."""

from pathlib import Path

import pytest
import zmq

from citronshelf_common import program
from citronshelf_common import settings
from citronshelf_document import parsing
from citronshelf_document import routing
from citronshelf_instance import settings as instance_settings

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
USERS = ('shonkha', 'thunnal')


class TestExamples:
    """Operators can use copies of the examples without errors."""

    def test_every_example_is_tested(self):
        files = {str(p.relative_to(EXAMPLES)) for p in EXAMPLES.rglob('*.*')}
        file_names = ('document.toml', 'settings.toml')
        user_files = {
            f'{user}/{file_name}' for user in USERS for file_name in file_names
        }
        assert files == user_files | {'instance.toml'}

    def test_instance_settings_are_valid(self):
        path = str(EXAMPLES / 'instance.toml')
        result = program.read_settings(path, instance_settings.Settings)
        assert result.is_ok(), result.error.render()

    @pytest.mark.parametrize('user', USERS)
    def test_settings(self, user):
        path = str(EXAMPLES / user / 'settings.toml')
        result = program.read_settings(path, settings.InstanceSettings)
        assert result.is_ok(), result.error.render()
        secrets = result.ok['secrets']
        public = zmq.curve_public(secrets['curve_secret'].encode())
        assert public == secrets['curve_public'].encode()
        text = Path(path).read_text(encoding='utf-8')
        assert 'EXAMPLE SECRETS' in text

    @pytest.mark.parametrize('user', USERS)
    def test_document_uses_all_it_defines(self, user):
        path = EXAMPLES / user / 'document.toml'
        document = parsing.parse_document(path.read_bytes(), str(path)).ok
        routes = document.routes.values()
        services = document.services.values()
        assert {r.service for r in routes} == set(document.services)
        assert {r.request_class for r in routes} == set(document.classes)
        assert {s.pool for s in services} == set(document.pools)

    @pytest.mark.parametrize(
        ('user', 'method', 'path', 'route'),
        [
            ('shonkha', 'GET', '/ledger/shop-7', 'ledger-views'),
            ('shonkha', 'GET', '/sheets/batch-12', 'sheet-reads'),
            ('shonkha', 'POST', '/mint/issue', 'issue-serials'),
            ('shonkha', 'GET', '/mint/ranges/7', 'range-lookups'),
            ('thunnal', 'GET', '/catalogue/quilts/3', 'catalogue-pages'),
            ('thunnal', 'GET', '/patterns/proofs/3', 'pattern-proofs'),
            ('thunnal', 'POST', '/commissions', 'place-commission'),
            ('thunnal', 'POST', '/deposits', 'pay-deposit'),
        ],
    )
    def test_requests_of_the_user_match_a_route(
        self, user, method, path, route
    ):
        data = (EXAMPLES / user / 'document.toml').read_bytes()
        document = parsing.parse_document(data, user).ok
        table = routing.RouteTable(document=document)
        assert table.match(method, '', path).ok.route_name == route
