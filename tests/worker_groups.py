"""Assigns tests to groups that each run in one xdist worker."""

from xdist.scheduler import loadscope

# Tests that start processes and wait for them with time limits, by prefix of
# their node ID. The tests of a group run one after another, so at most one
# fleet of entry and control daemons and one fleet of instance daemons run at a
# time.
PROCESS_TEST_GROUPS = {
    'tests/': 'entry and control processes',
    'platform/tests/test_program.py': 'instance processes',
    'platform/tests/test_soak.py': 'instance processes',
}


def group_of_test(node_id: str) -> str:
    """Return the group of a test.

    By default a file is a group, because its tests may share a fixture.

    Parameters
    ----------
    node_id : str
        Node ID of the test.
    """
    for path_prefix, group in PROCESS_TEST_GROUPS.items():
        if node_id.startswith(path_prefix):
            return group
    return node_id.split('::')[0]


class GroupScheduling(loadscope.LoadScopeScheduling):
    """Schedules all tests of a group on the same worker.

    The ``xdist_group`` mark does not work with pytest 9.2: xdist 3.8 writes
    the group into an attribute that pytest no longer reads.
    """

    def _split_scope(self, nodeid):
        return group_of_test(nodeid)
