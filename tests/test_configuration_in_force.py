"""A valid document comes into force on all instances within 7 s and stays."""

import signal
import time

import fleet_factory

IN_FORCE_BOUND_S = 7.0


def document_with_floor(floor_percent: int) -> bytes:
    """Return the document with the floor of one pool changed."""
    text = fleet_factory.DOCUMENT.read_text(encoding='utf-8')
    old = 'floor_percent = 60'
    assert old in text
    return text.replace(old, f'floor_percent = {floor_percent}').encode()


def revisions_in_force(fleet) -> dict[str, int]:
    """Return the document revision in force on each instance, by name."""
    return {
        i.name: fleet.status(i)['revision'] for i in fleet.layout.instances
    }


def wait_for_revision(fleet, revision, timeout_s=IN_FORCE_BOUND_S):
    """Wait until a document revision is in force on all instances.

    Raises
    ------
    FleetNotReadyError
        If it is not in force after ``timeout_s`` seconds.
    """
    fleet.wait_until(
        lambda: set(revisions_in_force(fleet).values()) == {revision},
        f'revision {revision}',
        timeout_s,
    )


class TestInForce:
    """New documents come into force on every instance.

    Instances that cannot read from the platform receive them from peers.
    """

    def test_reversal_is_a_new_revision(self, fleets):
        fleet = fleets.start()
        for floor_percent in (61, 60, 61):
            revision = fleet.publish(
                'document', document_with_floor(floor_percent)
            )
            wait_for_revision(fleet, revision)
        assert revision == 4

    def test_last_of_rapid_publications_wins(self, fleets):
        fleet = fleets.start()
        for floor_percent in range(50, 60):
            last_revision = fleet.publish(
                'document', document_with_floor(floor_percent)
            )
        wait_for_revision(fleet, last_revision)

    def test_instances_without_platform_receive_the_document(self, fleets):
        fleet = fleets.prepare()
        cut_off_instances = fleet.layout.instances[:2]
        for instance in cut_off_instances:
            fleet.relay_platform(instance)
        fleet.start()
        for instance in cut_off_instances:
            fleet.set_cut_directions(
                f'{instance.name}/platform-path', 'to_target', 'back'
            )
        revision = fleet.publish('document', document_with_floor(61))
        wait_for_revision(fleet, revision)

    def test_instance_behind_one_way_cuts_receives_the_document(self, fleets):
        fleet = fleets.prepare()
        cut_off_instance = fleet.layout.instances[1]
        fleet.relay_peer(cut_off_instance)
        fleet.relay_platform(cut_off_instance)
        fleet.start()
        fleet.set_cut_directions(
            f'{cut_off_instance.name}/peer-path', 'to_target'
        )
        fleet.set_cut_directions(
            f'{cut_off_instance.name}/platform-path', 'back'
        )
        revision = fleet.publish('document', document_with_floor(61))
        wait_for_revision(fleet, revision)

    def test_resumed_instance_applies_the_current_document(self, fleets):
        fleet = fleets.start()
        name = 'howrah-1/control'
        fleet.signal(name, signal.SIGSTOP)
        time.sleep(3)
        revision = fleet.publish('document', document_with_floor(61))
        time.sleep(1)
        fleet.signal(name, signal.SIGCONT)
        wait_for_revision(fleet, revision)


class TestNeverReverts:
    """A valid document stays in force until a valid newer one replaces it.

    Invalid documents, lower revisions and a restart do not replace it.
    """

    def test_restarted_instance_ignores_an_earlier_revision(self, fleets):
        fleet = fleets.start()
        revision = fleet.publish('document', document_with_floor(61))
        wait_for_revision(fleet, revision)
        fleet.set_platform_faults(older=1)
        restarted = fleet.layout.instances[0]
        for daemon in ('entry', 'control'):
            fleet.kill(f'{restarted.name}/{daemon}')
        fleet.start_control(restarted)
        fleet.start_entry(restarted)
        seen_revisions = set()
        deadline_s = time.monotonic() + IN_FORCE_BOUND_S
        while time.monotonic() < deadline_s:
            if fleet.responds_ok(f'http://{restarted.control_admin()}/status'):
                seen_revisions |= set(revisions_in_force(fleet).values())
            time.sleep(0.1)
        assert seen_revisions - {0} == {revision}
        assert fleet.is_ready(restarted)

    def test_restart_without_platform_keeps_the_document(self, fleets):
        fleet = fleets.start()
        fleet.set_platform_faults(away=True)
        restarted = fleet.layout.instances[-1]
        for daemon in ('entry', 'control'):
            fleet.kill(f'{restarted.name}/{daemon}')
        fleet.start_control(restarted)
        fleet.start_entry(restarted)
        fleet.wait_ready()
        assert set(revisions_in_force(fleet).values()) == {1}

    def test_bad_document_is_refused_everywhere(self, fleets):
        fleet = fleets.start()
        invalid_document = document_with_floor(61).replace(
            b'pool = "serial-mint"', b'pool = "mnt"'
        )
        revision = fleet.publish('document', invalid_document)

        def is_refused_everywhere():
            return all(
                any(
                    r['revision'] == revision
                    for r in fleet.status(i)['refused']
                )
                for i in fleet.layout.instances
            )

        fleet.wait_until(is_refused_everywhere, 'refusal', IN_FORCE_BOUND_S)
        assert set(revisions_in_force(fleet).values()) == {1}
        corrected_revision = fleet.publish('document', document_with_floor(62))
        wait_for_revision(fleet, corrected_revision)

    def test_lower_revision_is_ignored(self, fleets):
        fleet = fleets.start()
        revision = fleet.publish('document', document_with_floor(61))
        wait_for_revision(fleet, revision)
        fleet.publish('document', document_with_floor(62), revision=1)
        time.sleep(3)
        assert set(revisions_in_force(fleet).values()) == {revision}
