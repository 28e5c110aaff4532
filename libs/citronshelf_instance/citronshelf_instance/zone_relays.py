"""Choice of the instances through which availability zones exchange messages.

An instance sends to all instances of its own zone, and to one relay of each
other zone of its region, which passes messages on to its zone. So the
messages between zones do not grow with the size of a zone.
"""

import heapq
import zlib

from citronshelf_instance import membership

# Relays of a zone. One that ends or is cut off delays nothing once its
# connection is closed; until then it loses a part of the messages.
RELAYS = 3
# Instances of other regions to which an instance keeps connections. Traffic
# between regions is billed by volume, connections included.
REMOTE_CONTACTS = 3


class ZoneRelays:
    """Instances of the region by zone.

    Instances that know the same members choose the same relays. Differing
    choices only spread the work of relays over more instances, since every
    instance passes on what it is sent as a relay.

    Parameters
    ----------
    members : Membership
    """

    def __init__(self, *, members: membership.Membership):
        self.members = members

    def own_zone(self) -> list[membership.KnownMember]:
        """Return the other instances of the own zone."""
        location = self.members.own.location
        return [
            peer
            for peer in self.members.known.values()
            if peer.member.location == location
        ]

    def own_relays(self) -> list[membership.KnownMember]:
        """Return the relays of the own zone without this instance."""
        return sorted(self.own_zone(), key=relay_key)[:RELAYS]

    def is_relay(self) -> bool:
        """Return whether this instance is one of the relays of its zone."""
        own = self.members.own.instance
        before = sum(
            relay_key(peer) < (checksum(f'relay {own}'), own)
            for peer in self.own_zone()
        )
        return before < RELAYS

    def other_zones(self) -> dict[str, list[membership.KnownMember]]:
        """Return the relays of each other zone of the region."""
        own = self.members.own.location
        zones: dict[str, list[membership.KnownMember]] = {}
        for peer in self.members.in_region():
            if peer.member.location.zone != own.zone:
                zones.setdefault(peer.member.location.zone, []).append(peer)
        return {
            zone: sorted(peers, key=relay_key)[:RELAYS]
            for zone, peers in zones.items()
        }

    def neighbours(self) -> list[membership.KnownMember]:
        """Return the instances of the own zone and the relays of others."""
        relays = self.other_zones().values()
        return self.own_zone() + [peer for zone in relays for peer in zone]

    def remote_contacts(self) -> list[membership.KnownMember]:
        """Return some instances of other regions, mostly the same ones.

        Each instance has its own. A message to any other would be dropped,
        since there is no connection to it yet.
        """
        own = self.members.own.instance
        return heapq.nsmallest(
            REMOTE_CONTACTS,
            self.members.in_other_regions(),
            key=lambda peer: checksum(f'{own} {peer.member.instance}'),
        )


def checksum(text: str) -> int:
    """Return a number by which instances are ranked alike everywhere."""
    return zlib.crc32(text.encode())


def relay_key(peer: membership.KnownMember) -> tuple[int, str]:
    """Return the sort key by which relays are chosen.

    It differs from that of the readers, so that other instances are chosen.
    """
    instance = peer.member.instance
    return checksum(f'relay {instance}'), instance
