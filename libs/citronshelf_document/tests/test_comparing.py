"""Tests of the comparison of documents."""

import pytest

from citronshelf_document import comparing
from citronshelf_document import model

ROUTE = model.Route(('POST',), '/mint/issue', False, '', 'mint', 'issue')
OLD = model.Document(
    pools={'serial-mint': model.Pool(2, 330, 70)},
    services={'mint': model.Service('serial-mint')},
    classes={'issue': model.RequestClass(False, 40, 5000, key='optional')},
    routes={'issue': ROUTE},
    accounts=model.Accounts(model.AccountLimit(50.0, 100), {}),
    cross_region=model.CrossRegion(),
)


def replace(section, name, **values):
    entries = getattr(OLD, section)
    entry = entries[name]._replace(**values)
    return OLD._replace(**{section: {name: entry}})


class TestCompare:
    """Each difference is reported as one sentence for operators."""

    @pytest.mark.parametrize(
        ('new', 'key', 'sentence'),
        [
            (
                replace('pools', 'serial-mint', floor_percent=80),
                'pools.serial-mint.floor_percent',
                'floor of pool serial-mint rises from 70% to 80%; ejection '
                'may remove fewer servers',
            ),
            (
                replace('classes', 'issue', key='required'),
                'classes.issue.key',
                'class issue refuses requests without an idempotency key',
            ),
            (
                replace('routes', 'issue', path='/mint/', is_prefix=True),
                'routes.issue',
                'route issue matches POST /mint/* instead of POST /mint/issue',
            ),
            (
                OLD._replace(routes={'again': ROUTE}),
                'routes.issue',
                'route issue is renamed to again; the same requests match it',
            ),
            (
                OLD._replace(
                    accounts=OLD.accounts._replace(
                        default=model.AccountLimit(25.0, 100)
                    )
                ),
                'accounts.default.requests_per_second',
                'rate of accounts without a limit of their own falls from 50 '
                'requests/s to 25 requests/s; fewer requests are admitted',
            ),
            (
                OLD._replace(cross_region=model.CrossRegion('never')),
                'cross_region.policy',
                'requests never cross regions',
            ),
        ],
    )
    def test_sentence(self, new, key, sentence):
        assert comparing.compare(OLD, new) == ((key, sentence),)

    def test_added_and_removed(self):
        new = OLD._replace(pools={'p': model.Pool(2, 330, 70)}, routes={})
        changes = comparing.compare(OLD, new)
        assert [change.sentence.partition(':')[0] for change in changes] == [
            'pool p is added',
            'pool serial-mint is removed',
            'route issue is removed',
        ]
