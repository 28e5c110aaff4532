"""Server choice, admission, budgets and limits set by the document."""

import random

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_entry import clock
from citronshelf_traffic import accounts
from citronshelf_traffic import admission
from citronshelf_traffic import budgets
from citronshelf_traffic import choosing
from citronshelf_traffic import region_link


class TrafficRules:
    """Objects of the traffic package, configured for one instance.

    Parameters
    ----------
    instance : str
    location : Location
    store_region : str
    link_megabits : float
    document : Document
    rng : random.Random, optional
    """

    def __init__(
        self,
        *,
        instance: str,
        location: fleet.Location,
        store_region: str,
        link_megabits: float,
        document: model.Document,
        rng: random.Random | None = None,
    ):
        self.link = region_link.RegionLink(
            megabits=link_megabits,
            cross_region=document.cross_region,
            clock=clock.now_s,
        )
        self.chooser = choosing.ServerChooser(
            instance=instance,
            location=location,
            store_region=store_region,
            link=self.link,
            rng=rng,
            clock=clock.now_s,
        )
        self.admission = admission.AdmissionQueue(clock=clock.now_s)
        self.limiter = accounts.AccountLimiter(
            accounts=document.accounts, clock=clock.now_s
        )
        self.retries: dict[str, budgets.RetryBudget] = {}
        self.hedges: dict[str, budgets.HedgeBudget] = {}
        self.set_document(document)

    def set_document(self, document: model.Document) -> None:
        """Apply the traffic settings of a document."""
        self.link.set_cross_region(document.cross_region)
        self.chooser.set_pools(document.pools)
        self.admission.set_services(document.services)
        self.limiter.set_accounts(document.accounts)
        self.retries = {
            name: self.updated_budget(
                self.retries.get(name),
                budgets.RetryBudget,
                service.retry_budget_percent,
            )
            for name, service in document.services.items()
        }
        self.hedges = {
            name: self.updated_budget(
                self.hedges.get(name),
                budgets.HedgeBudget,
                service.hedge_budget_percent,
            )
            for name, service in document.services.items()
        }

    def updated_budget(self, budget, kind: type, percent: float):
        """Update the percentage of a budget, keeping its balance.

        Creates the budget if there is none yet.
        """
        if budget is None:
            return kind(percent=percent)
        budget.set_percent(percent)
        return budget

    def set_view(self, view: fleet.FleetView) -> None:
        """Apply a new view of the fleet."""
        self.chooser.set_view(view)
        self.limiter.set_entry_instances(view.entry_instances)

    def record_fresh(self, service: str) -> None:
        """Count a new request in the retry and the hedge budget.

        Retries and hedges are not counted.
        """
        self.retries[service].record_new_request()
        self.hedges[service].record_new_request()
