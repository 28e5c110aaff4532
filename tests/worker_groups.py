"""Which tests run one after another in the same worker of xdist."""

from xdist.scheduler import loadscope

# Tests that start processes and wait for them within bounds of time. Those of
# a group run one after another, so that at most one fleet of the entry and
# control daemons and one of the instance daemon run at a time.
PROCESS_TEST_GROUPS = {
    'tests/': 'entry and control processes',
    'platform/tests/test_program.py': 'instance processes',
    'platform/tests/test_soak.py': 'instance processes',
}


def group_of_test(node_id: str) -> str:
    """Return the group of a test's node identifier.

    Tests of one file may share a fixture, so that they stay together.
    """
    for path_prefix, group in PROCESS_TEST_GROUPS.items():
        if node_id.startswith(path_prefix):
            return group
    return node_id.split('::')[0]


class GroupScheduling(loadscope.LoadScopeScheduling):
    """Gives whole groups to workers.

    The groups of xdist itself are lost with pytest 9.2: xdist 3.8 writes
    them into an attribute that pytest no longer reads.
    """

    def _split_scope(self, nodeid):
        return group_of_test(nodeid)
