"""Cells, roles and links, computed from fleet list and link states."""

import enum
import hashlib
from typing import NamedTuple

from citronshelf_common import fleet

CELL_SIZE = 32
AGGREGATORS_PER_CELL = 2
READERS_PER_REGION = 3
LINKS_TO_OTHER_REGION = 2
# Up to this number of links to unreachable instances are kept for each group,
# so that their return is noticed.
MAX_UNREACHABLE = 6


class LinkState(enum.Enum):
    """State of the link to another instance.

    A link that does not work is PENDING for ``neighbour.PENDING_TIMEOUT_S``
    after it was added or given a new address, and after this process resumed.
    """

    UNLINKED = 'unlinked'
    PENDING = 'pending'
    UP = 'up'
    DOWN = 'down'


class Cell(NamedTuple):
    """A group of instances of one zone.

    Attributes
    ----------
    location : Location
    index : int
        Position among the cells of the zone.
    members : tuple of str
        Instance names in order of ``role_rank``.
    """

    location: fleet.Location
    index: int
    members: tuple[str, ...]


class Plan(NamedTuple):
    """Links and roles of an instance.

    Attributes
    ----------
    links : frozenset of str
        Instances to connect to.
    aggregators : frozenset of str
        Aggregators of the cell of this instance; may include the instance.
    parent : str
        Instance that receives the evidence of this one; its own name for
        the zone parent.
    reader : bool
        Whether this instance watches the platform.
    sum_receivers : frozenset of str
        Aggregators of other cells and readers of other regions that receive
        the sums of evidence from this instance; empty unless it is the first
        aggregator of its cell.
    """

    links: frozenset[str]
    aggregators: frozenset[str]
    parent: str
    reader: bool
    sum_receivers: frozenset[str]


def rendezvous_hash(purpose: str, instance: str) -> bytes:
    """Return the rendezvous hash that orders instances for a purpose."""
    text = f'{purpose}:{instance}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def role_rank(instance: str) -> tuple[bytes, str]:
    """Return the sort key by which instances are selected for roles.

    The members of a cell are sorted by it. ``Roster.role_order`` puts the
    first members of all cells first. A parent precedes its children in that
    order, so that evidence cannot travel in a cycle.
    """
    return rendezvous_hash('role', instance), instance


class Roster:
    """The live entry instances, divided into cells.

    Parameters
    ----------
    own : EntryInstance
        This instance; added to the entries if they lack it.
    entries : iterable of EntryInstance
        Live entry instances of the fleet list.
    """

    def __init__(self, *, own: fleet.EntryInstance, entries):
        self.own = own
        self.entries = {entry.instance: entry for entry in entries}
        self.entries[own.instance] = own
        self.cells = self.make_cells()
        self.own_cell = next(
            cell
            for cell in self.cells[own.location]
            if own.instance in cell.members
        )

    def make_cells(self) -> dict[fleet.Location, tuple[Cell, ...]]:
        """Divide each zone into cells whose sizes differ by at most one."""
        by_place: dict[fleet.Location, list[str]] = {}
        for name, entry in self.entries.items():
            by_place.setdefault(entry.location, []).append(name)
        return {
            location: divide_into_cells(location, names)
            for location, names in sorted(by_place.items())
        }

    def role_order(self, cells) -> list[str]:
        """Return the members of cells in order of role selection.

        The first ``AGGREGATORS_PER_CELL`` members of each cell come before
        all others; both groups are sorted by ``role_rank``.
        """
        first: list[str] = []
        rest: list[str] = []
        for cell in cells:
            first.extend(cell.members[:AGGREGATORS_PER_CELL])
            rest.extend(cell.members[AGGREGATORS_PER_CELL:])
        return sorted(first, key=role_rank) + sorted(rest, key=role_rank)

    def region_cells(self, region: str) -> list[Cell]:
        """Return the cells of a region in a fixed order."""
        return [
            cell
            for location, cells in self.cells.items()
            if location.region == region
            for cell in cells
        ]

    def other_regions(self) -> list[str]:
        """Return the sorted names of the other regions."""
        regions = {location.region for location in self.cells}
        return sorted(regions - {self.own.location.region})


def divide_into_cells(
    location: fleet.Location, names: list[str]
) -> tuple[Cell, ...]:
    """Divide the instances of a zone into cells.

    The order in which instances are divided is independent of the order of
    roles. When an instance joins and the number of cells stays the same, at
    most one member moves across each cell boundary, which is rarely an
    aggregator.
    """
    names = sorted(
        names, key=lambda name: (rendezvous_hash('cell', name), name)
    )
    number = -(-len(names) // CELL_SIZE)
    cells = []
    for index in range(number):
        start = index * len(names) // number
        end = (index + 1) * len(names) // number
        members = tuple(sorted(names[start:end], key=role_rank))
        cells.append(Cell(location, index, members))
    return tuple(cells)


class Selection(NamedTuple):
    """Instances selected from a group.

    Attributes
    ----------
    selected : tuple of str
    unreachable : tuple of str
        The first ``MAX_UNREACHABLE`` instances that were skipped because
        their link is down; links to them are kept.
    """

    selected: tuple[str, ...]
    unreachable: tuple[str, ...]


def select(order, count: int, own: str, state_of) -> Selection:
    """Select the first instances of an order whose links are not down.

    Parameters
    ----------
    order : iterable of str
    count : int
        Maximum number of instances to select.
    own : str
        Name of this instance, which is never considered down.
    state_of : callable
        Returns the ``LinkState`` for an instance name.
    """
    selected: list[str] = []
    unreachable: list[str] = []
    for name in order:
        if len(selected) == count:
            break
        if name == own or state_of(name) is not LinkState.DOWN:
            selected.append(name)
        elif len(unreachable) < MAX_UNREACHABLE:
            unreachable.append(name)
    return Selection(tuple(selected), tuple(unreachable))


def chord_cells(cells: list[Cell], own_cell: Cell) -> list[Cell]:
    """Return the cells of a region that this instance's cell is linked to.

    As in Chord, their distances on a ring of cells are powers of two, so the
    number of links and the number of hops across a region grow with the
    logarithm of its size.
    """
    number = len(cells)
    position = cells.index(own_cell)
    chosen = []
    distance = 1
    while distance < number:
        for index in (position + distance, position - distance):
            cell = cells[index % number]
            if cell != own_cell and cell not in chosen:
                chosen.append(cell)
        distance *= 2
    return chosen


def make_plan(roster: Roster, state_of, used_as_aggregator: bool) -> Plan:
    """Compute the links and roles of this instance.

    Parameters
    ----------
    roster : Roster
    state_of : callable
        Returns the ``LinkState`` for an instance name.
    used_as_aggregator : bool
        Whether another instance uses this one as aggregator or parent.
    """
    own = roster.own.instance
    region = roster.own.location.region

    def pick(order, count) -> Selection:
        return select(order, count, own, state_of)

    cell = pick(roster.own_cell.members, AGGREGATORS_PER_CELL)
    links = {*cell.selected, *cell.unreachable}
    region_cells = roster.region_cells(region)
    readers = Selection((), ())
    sum_receivers: set[str] = set()
    if own in cell.selected or used_as_aggregator:
        for other in chord_cells(region_cells, roster.own_cell):
            picked = pick(other.members, AGGREGATORS_PER_CELL)
            links.update(picked.selected, picked.unreachable)
            sum_receivers.update(picked.selected[:1])
        readers = pick(roster.role_order(region_cells), READERS_PER_REGION)
        links.update(readers.selected, readers.unreachable)
    if own in readers.selected:
        primaries, others = region_links(roster, pick)
        links.update(primaries, others)
        # Traffic between regions is billed by volume, so only the first
        # reader of each region sends evidence to other regions.
        if readers.selected[0] == own:
            sum_receivers.update(primaries)
    parent, zone_links = find_parent(roster, cell, pick)
    links.update(zone_links)
    return Plan(
        frozenset(links - {own}),
        frozenset(cell.selected),
        parent,
        own in readers.selected,
        frozenset(sum_receivers - {own} if cell.selected[0] == own else ()),
    )


def region_links(roster: Roster, pick) -> tuple[set[str], set[str]]:
    """Return the links of a reader to other regions.

    Returns
    -------
    tuple
        The first instance of each other region whose link is not down, and
        the further instances to link to, including unreachable ones.
    """
    primaries: set[str] = set()
    others: set[str] = set()
    for region in roster.other_regions():
        order = roster.role_order(roster.region_cells(region))
        picked = pick(order, LINKS_TO_OTHER_REGION)
        primaries.update(picked.selected[:1])
        others.update(picked.selected[1:], picked.unreachable)
    return primaries, others


def find_parent(roster: Roster, cell: Selection, pick) -> tuple[str, set[str]]:
    """Return the evidence parent of this instance and the links for it.

    The parent of the first aggregator of a cell is the zone parent; the parent
    of the other members is that aggregator. No links are returned for the
    other members, because the plan links them to the aggregators anyway.
    """
    own = roster.own.instance
    if cell.selected[0] != own:
        return cell.selected[0], set()
    zone_cells = roster.cells[roster.own.location]
    zone = pick(roster.role_order(zone_cells), 1)
    return zone.selected[0], {*zone.selected, *zone.unreachable}
