"""Texts that tell operators what changing each document value does."""

from typing import NamedTuple


class NumberChange(NamedTuple):
    """Description of a change to a numeric value.

    Attributes
    ----------
    subject : str
        What the value is; ``{name}`` stands for the entry's name.
    unit : str
        Appended to each value, with a leading space where needed.
    effect_of_rise : str
        Effect of a higher value.
    effect_of_fall : str
        Effect of a lower value.
    """

    subject: str
    unit: str
    effect_of_rise: str
    effect_of_fall: str


NUMBER_CHANGES = {
    'pools.slots_per_server': NumberChange(
        'slots per server of pool {name}',
        '',
        'each server may run more requests at the same time',
        'each server may run fewer requests at the same time',
    ),
    'pools.connections_per_server': NumberChange(
        'connections per server of pool {name}',
        '',
        'each instance may use more servers',
        'each instance may use fewer servers',
    ),
    'pools.floor_percent': NumberChange(
        'floor of pool {name}',
        '%',
        'ejection may remove fewer servers',
        'ejection may remove more servers',
    ),
    'pools.minimum_servers': NumberChange(
        'minimum of pool {name}',
        ' servers',
        'ejection may remove fewer servers',
        'ejection may remove more servers',
    ),
    'pools.long_work_percent': NumberChange(
        'share of pool {name} for long work',
        '%',
        'long work may use more servers and delay more short work',
        'long work may use fewer servers',
    ),
    'services.retry_budget_percent': NumberChange(
        'retry budget of service {name}',
        '%',
        'more requests that were not executed are retried',
        'fewer requests that were not executed are retried',
    ),
    'services.hedge_budget_percent': NumberChange(
        'hedge budget of service {name}',
        '%',
        'more slow idempotent requests are sent to a second server',
        'fewer slow idempotent requests are sent to a second server',
    ),
    'services.queue_limit_ms': NumberChange(
        'queue limit of service {name}',
        ' ms',
        'requests wait longer before they are refused',
        'requests are refused sooner',
    ),
    'classes.expected_ms': NumberChange(
        'expected time of class {name}',
        ' ms',
        'its requests are refused with more time left before the deadline',
        'its requests are admitted closer to their deadline',
    ),
    'classes.deadline_ms': NumberChange(
        'deadline of class {name}',
        ' ms',
        'callers may wait longer for a response',
        'requests time out sooner',
    ),
    'classes.worth': NumberChange(
        'worth of class {name}',
        '',
        'its requests are admitted before more of the other requests',
        'its requests are admitted after more of the other requests',
    ),
    'classes.max_request_bytes': NumberChange(
        'largest request of class {name}',
        ' bytes',
        'larger requests are accepted',
        'requests accepted until now may be refused',
    ),
    'classes.max_answer_bytes': NumberChange(
        'largest response of class {name}',
        ' bytes',
        'larger responses are returned to callers',
        'responses returned to callers until now may be refused',
    ),
    'limits.requests_per_second': NumberChange(
        'rate of {name}',
        ' requests/s',
        'more requests are admitted',
        'fewer requests are admitted',
    ),
    'limits.burst': NumberChange(
        'burst of {name}',
        ' requests',
        'more requests at once are admitted',
        'fewer requests at once are admitted',
    ),
    'cross_region.link_percent': NumberChange(
        'share of the link between regions for requests',
        '%',
        'more requests may cross regions, at a higher cost',
        'fewer requests may cross regions',
    ),
    'cross_region.max_body_bytes': NumberChange(
        'largest body that crosses regions',
        ' bytes',
        'larger bodies may cross regions',
        'larger bodies stay in their region',
    ),
}

# Sentence by field and new value, for values that are not numbers.
CHOICE_CHANGES = {
    ('pools.prefer', 'nearest'): (
        'pool {name} prefers the nearest availability zone instead of the '
        "store's region"
    ),
    ('pools.prefer', 'store-region'): (
        "pool {name} prefers the store's region instead of the nearest "
        'availability zone'
    ),
    ('classes.idempotent', True): (
        'class {name} becomes idempotent; its requests may run more than '
        'once, by retries and hedges'
    ),
    ('classes.idempotent', False): (
        'class {name} becomes non-idempotent; its requests run at most once '
        'and are not hedged'
    ),
    ('classes.long', True): (
        'class {name} becomes long work; it is confined to a share of the '
        'servers and no longer used to detect slow servers'
    ),
    ('classes.long', False): (
        'class {name} is no longer long work; it may use every server and '
        'is used to detect slow servers'
    ),
    ('classes.key', 'optional'): (
        'class {name} accepts requests without an idempotency key'
    ),
    ('classes.key', 'required'): (
        'class {name} refuses requests without an idempotency key'
    ),
    ('classes.key', 'none'): 'class {name} no longer uses idempotency keys',
    ('cross_region.policy', 'never'): 'requests never cross regions',
    ('cross_region.policy', 'spare'): (
        'requests cross regions only when their own region has no capacity '
        'left'
    ),
    ('cross_region.policy', 'always'): (
        'requests may cross regions whenever a server there is less loaded'
    ),
}
