"""Builds status and metrics of the control daemon."""

import collections

from citronshelf_control import metrics
from citronshelf_peering import neighbour
from citronshelf_peering import platform_reader

MAX_FAULTS = 20
METRIC_PREFIX = 'citronshelf_control_'


def make_status(daemon) -> dict:
    """Return the status as shown by ``GET /status``."""
    identity = daemon.identity
    document = daemon.peering.document
    held = document.held
    return {
        'instance': identity.incarnation.instance,
        'incarnation': identity.incarnation._asdict(),
        'region': identity.location.region,
        'zone': identity.location.zone,
        'revision': document.revision(),
        'digest': held.digest if held else '',
        'highest_revision_seen': document.highest_seen,
        'refused': refused_rows(document),
        'platform': platform_status(daemon),
        'list_revision': daemon.peering.fleet_list.revision(),
        'list_refused': refused_rows(daemon.peering.fleet_list),
        'confirmed': daemon.peering.confirmation.is_confirmed(),
        'roles': daemon.peering.roles(daemon.peering.plan),
        'entry_alive': daemon.entry_link.is_entry_alive(),
        'peers': peer_rows(daemon.peering),
        'servers': server_rows(daemon.standings.views()),
    }


def refused_rows(value) -> list[dict]:
    """Return the refused revisions above the one in force, with faults.

    At most ``MAX_FAULTS`` faults of each revision are included.
    """
    return [
        {'revision': revision, 'faults': list(refused.faults[:MAX_FAULTS])}
        for revision, refused in sorted(value.refused.items())
        if revision > value.revision()
    ]


def platform_status(daemon) -> dict:
    """Return the state of the platform as known to this instance.

    An instance that is not a reader relies on the readers' confirmations: the
    platform also counts as reachable if the last known confirmation is at
    most twice ``CONFIRMATION_TIMEOUT_S`` old.
    """
    peering = daemon.peering
    age_s = peering.platform_age_s()
    confirmed = age_s <= 2 * platform_reader.CONFIRMATION_TIMEOUT_S
    reader = peering.readers[0]
    return {
        'reachable': daemon.platform.reachable or confirmed,
        'revision': reader.revision,
        'last_answer_s': None if age_s == float('inf') else round(age_s, 3),
        'behind': 0 < reader.revision < peering.document.revision(),
    }


def peer_rows(peering) -> list[dict]:
    """Return a row for each other instance that is listed or linked."""
    own_instance = peering.identity.incarnation.instance
    now = peering.timers.clock()
    neighbours = peering.neighbour_table.neighbours
    names = sorted({*peering.roster.entries, *neighbours} - {own_instance})
    return [peer_row(name, neighbours.get(name), now) for name in names]


def peer_row(name: str, peer: neighbour.Neighbour | None, now) -> dict:
    """Return the row of another instance; ``peer`` is None without a link."""
    if peer is None:
        return {
            'instance': name,
            'admin': None,
            'revision': None,
            'last_heard_s': None,
            'link': 'none',
        }
    last_received_at = peer.received_at
    return {
        'instance': name,
        'admin': peer.admin.authority() if peer.admin else None,
        'revision': max(
            (head.revision for head in peer.documents if head.accepted),
            default=0,
        ),
        'last_heard_s': None
        if last_received_at is None
        else round(now - last_received_at, 3),
        'link': peer.state(now).value,
    }


def server_rows(views) -> list[dict]:
    """Return a row for each backend server."""
    return [
        {
            'server_id': view.server.server_id,
            'pool': view.server.pool,
            'standing': view.standing.value,
            'weight': round(view.weight, 4),
        }
        for view in views
    ]


def fill_metrics(control_metrics: metrics.ControlMetrics, daemon) -> None:
    """Set each metric to its current value."""
    control_metrics.set_process_metrics()
    peering = daemon.peering
    links = daemon.links
    gauges = (
        ('platform_reads', 'Reads of the platform.', daemon.platform.reads),
        ('sent_bytes', 'Bytes sent to peers.', links.bytes_sent),
        ('received_bytes', 'Bytes from peers.', links.bytes_received),
        ('dropped_messages', 'Not taken by a queue.', links.dropped),
        ('refused_messages', 'Not valid.', peering.neighbour_table.refused),
        (
            'stale_messages',
            'Earlier incarnations.',
            peering.neighbour_table.from_earlier_incarnations,
        ),
        (
            'limited_messages',
            'Over a rate.',
            peering.neighbour_table.rate_limiter.dropped,
        ),
        ('document_revision', 'In force.', peering.document.revision()),
        (
            'highest_revision',
            'Named by anyone.',
            peering.document.highest_seen,
        ),
        ('list_revision', 'In force.', peering.fleet_list.revision()),
        (
            'peers_up',
            'Links that work.',
            len(peering.neighbour_table.linked_neighbours()),
        ),
        ('probes', 'Health probes sent.', daemon.prober.sent),
        (
            'entry_alive',
            '1 when it asks.',
            int(daemon.entry_link.is_entry_alive()),
        ),
        ('reader', '1 for a reader.', int(peering.is_reader())),
        ('aggregator', '1 for one.', int(peering.is_aggregator())),
    )
    for name, doc, value in gauges:
        control_metrics.set_gauge(METRIC_PREFIX + name, doc, value)
    standings = collections.Counter(
        view.standing.value for view in daemon.standings.views()
    )
    for standing in ('admitted', 'probation', 'ejected', 'avoided', 'leaving'):
        control_metrics.set_gauge(
            METRIC_PREFIX + 'servers',
            'Servers by standing.',
            standings[standing],
            {'standing': standing},
        )
