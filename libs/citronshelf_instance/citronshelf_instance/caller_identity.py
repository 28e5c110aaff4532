"""Identity of the caller of a request."""

import re
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import published

KEY_PATTERN = re.compile(configuration.NAME_PATTERN)
KEY_MISSING = request_head.RequestRefusal(401, 'key missing')
KEY_REPEATED = request_head.RequestRefusal(401, 'key repeated')
KEY_MALFORMED = request_head.RequestRefusal(401, 'key malformed')
KEY_UNKNOWN = request_head.RequestRefusal(401, 'key unknown')
# A newer configuration may contain the key.
KEY_UNDECIDED = request_head.RequestRefusal(
    503, 'key unknown, outdated configuration'
)


class Caller(NamedTuple):
    """The client account in whose name a request is made.

    Attributes
    ----------
    account : str or None
        Name of the account; None for an anonymous caller.
    priority : int or None
        Priority of the account, which takes precedence over that of the
        route; None if it has none.
    revision : int
        Revision of the configuration by which the caller was identified.
    hides_headers : bool
        Headers for the account and the key that the caller sent are not
        passed on, since a configuration with accounts was in force.
    """

    account: str | None = None
    priority: int | None = None
    revision: int = 0
    hides_headers: bool = False

    def priority_on(self, route: configuration.Route) -> int:
        """Return the priority of this caller's requests to a route."""
        return route.priority if self.priority is None else self.priority


ANONYMOUS = Caller()


class Refused(NamedTuple):
    """Outcome of a request that has not run and whose caller is refused."""

    refusal: request_head.RequestRefusal


class CallerIdentifier:
    """Identifies callers by the configuration in force.

    Parameters
    ----------
    state : PublishedState
    is_up_to_date : callable
        Returns False if there may be a newer configuration.
    names : HeaderNames
    """

    def __init__(
        self,
        *,
        state: published.PublishedState,
        is_up_to_date,
        names: caller_request.HeaderNames,
    ):
        self.state = state
        self.is_up_to_date = is_up_to_date
        self.key_header = names.key.lower()

    def identify(
        self, head: caller_request.RequestHead, route: configuration.Route
    ) -> Result:
        """Return the caller of a request to a route.

        Returns
        -------
        Result
            ``Ok`` with a ``Caller`` or ``Error`` with a ``RequestRefusal``.
        """
        published_configuration = self.state.configuration
        revision = published_configuration.revision
        if not published_configuration.accounts:
            return Ok(Caller(revision=revision))
        found = self.find_account(head)
        if found.is_ok():
            account = found.ok
            return Ok(Caller(account.name, account.priority, revision, True))
        if route.allow_anonymous:
            return Ok(Caller(revision=revision, hides_headers=True))
        return found

    def find_account(self, head: caller_request.RequestHead) -> Result:
        """Return ``Ok`` with the ``Account`` of the key, or ``Error``."""
        keys = headers.values_of(head.headers, self.key_header)
        if not keys:
            return Error(KEY_MISSING)
        if len(keys) > 1:
            return Error(KEY_REPEATED)
        if not KEY_PATTERN.fullmatch(keys[0]):
            return Error(KEY_MALFORMED)
        account = self.state.accounts.find(keys[0])
        if account is None:
            return Error(
                KEY_UNKNOWN if self.is_up_to_date() else KEY_UNDECIDED
            )
        return Ok(account)

    def confirm(
        self,
        caller: Caller,
        head: caller_request.RequestHead,
        route: configuration.Route,
    ) -> Result:
        """Identify a caller again if another configuration is in force.

        Whether callers need a key depends on the route of the new
        configuration, if it still has one for the request.

        Returns
        -------
        Result
            As of ``identify``.
        """
        if caller.revision == self.state.configuration.revision:
            return Ok(caller)
        new_route = self.state.routes.match(head.host, head.path) or route
        return self.identify(head, new_route).map(
            lambda new: new._replace(
                hides_headers=new.hides_headers or caller.hides_headers
            )
        )
