"""Log events of failure detection, ejection and readmission."""

import logging

from citronshelf_common import events

SERVER_EJECTED = events.Event(
    1200, 'server-ejected', logging.WARNING, 'server ejected'
)
SERVER_AVOIDED = events.Event(
    1201,
    'server-avoided',
    logging.WARNING,
    'server ejected for this zone only',
)
KEPT_BY_FLOOR = events.Event(
    1202,
    'server-kept',
    logging.WARNING,
    'suspected server not ejected because of the capacity floor',
)
SUSPICION_CLEARED = events.Event(
    1203, 'suspicion-cleared', logging.INFO, 'server no longer suspected'
)
SERVER_ON_PROBATION = events.Event(
    1204,
    'server-on-probation',
    logging.INFO,
    'server readmitted with a low weight',
)
WEIGHT_RAISED = events.Event(
    1205, 'weight-raised', logging.INFO, 'server weight raised'
)
SERVER_ADMITTED = events.Event(
    1206,
    'server-admitted',
    logging.INFO,
    'server receives its full share of the load',
)
RETURNED_BY_FLOOR = events.Event(
    1207,
    'returned-by-floor',
    logging.WARNING,
    'server returned to full weight to keep the capacity floor',
)
SERVER_LEAVING = events.Event(
    1208,
    'server-leaving',
    logging.INFO,
    'server is leaving and receives no new work',
)
SERVER_LISTED = events.Event(
    1209, 'server-listed', logging.INFO, 'server added to the fleet list'
)
EVIDENCE_REJECTED = events.Event(
    1210,
    'evidence-rejected',
    logging.ERROR,
    'rejected negative outcome counts',
)
