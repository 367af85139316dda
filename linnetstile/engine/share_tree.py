"""Trees of claimants of a bounded capacity: what each of them uses, and what its fair share is.

A tree divides the capacity by one criterion, for example by tenant, then client, then sender. Each node is one
claimant. A reservation uses one leaf of each tree, and its amount counts at that leaf and at all nodes above it. Nodes
exist only while something is reserved below them, so that names from peers do not accumulate in memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

# Indexes of an amount: a `ResourceAmount`, or a list of two where it is a running sum.
BYTES = 0
MESSAGES = 1
RESOURCES = (BYTES, MESSAGES)


class ResourceAmount(NamedTuple):
    """An amount of both resources, in the order of their indexes."""

    bytes: float
    messages: float


@dataclass(slots=True, eq=False)
class ShareNode:
    """One claimant, or the root of a tree.

    Invariants: `used` is the sum over the reservations below the node; `active_weight` is the sum of the weights of its
    children, which all have a reservation that is granted or waits.

    Attributes:
        name: Name of the claimant, unique below its parent.
        parent: The node above; None for the root.
        weight: Weight among the children of the parent.
        used: Bytes and messages in use.
        waiting: Requests below this node that wait.
        reservations: Reservations on this leaf that have not been released.
        active_weight: Sum of the weights of the children.
        children: The nodes below by name.
        queue: Requests of this leaf that wait, the oldest first.
        usage_chain: `used` of this node and of all above it.
    """

    name: str
    parent: ShareNode | None
    weight: float = 1.0
    used: list[float] = field(default_factory=lambda: [0.0, 0.0])
    waiting: int = 0
    reservations: int = 0
    active_weight: float = 0.0
    children: dict[str, ShareNode] = field(default_factory=dict)
    queue: deque[AdmissionRequest] = field(default_factory=deque)
    usage_chain: tuple[list[float], ...] = ()

    def __post_init__(self) -> None:
        above = self.parent.usage_chain if self.parent is not None else ()
        self.usage_chain = (self.used, *above)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is reserved on this node or below it."""
        return not self.reservations and not self.children

    def path(self) -> str:
        """Return the names from the first level down, joined by slashes; `-` stands for an empty name."""
        if self.parent is None:
            return ""
        above = self.parent.path()
        separator = "/" if above else ""
        return above + separator + (self.name or "-")

    def add_child(self, name: str, weight: float) -> ShareNode:
        """Create a node below this one."""
        assert name not in self.children, f"{self.path()} already has a child {name}"
        child = ShareNode(name, self, weight)
        self.children[name] = child
        self.active_weight += weight
        return child

    def set_weight(self, weight: float) -> None:
        """Change the weight of this node among its siblings."""
        assert self.parent is not None, "the root has no siblings"
        self.parent.active_weight += weight - self.weight
        self.weight = weight

    def remove_if_idle(self) -> None:
        """Remove this node from its tree if it is idle, and the nodes above it that become idle by this."""
        node = self
        while node.parent is not None and node.is_idle:
            del node.parent.children[node.name]
            node.parent.active_weight -= node.weight
            node = node.parent

    def lineage(self) -> Iterator[ShareNode]:
        """Iterate over this node and those above it, without the root."""
        node = self
        while node.parent is not None:
            yield node
            node = node.parent

    def descendants(self) -> Iterator[ShareNode]:
        """Iterate over all nodes below this one."""
        stack = list(self.children.values())
        while stack:
            node = stack.pop()
            yield node
            stack += node.children.values()

    def fair_share_of(self, capacity: float) -> float:
        """Return what this node may use of the capacity if all nodes that are active now use their shares."""
        share = capacity
        for node in self.lineage():
            assert node.parent is not None
            share *= node.weight / max(node.parent.active_weight, node.weight)
        return share

    def verify_invariants(self) -> None:
        """Assert that the sums of this node agree with its children."""
        if self.children:
            for resource in RESOURCES:
                below = sum(child.used[resource] for child in self.children.values())
                assert abs(below - self.used[resource]) < 1e-3, (
                    f"{self.path()}: children use {below}, expected {self.used}"
                )
            weight = sum(child.weight for child in self.children.values())
            assert abs(weight - self.active_weight) < 1e-6, (
                f"{self.path()}: the weights of the children do not add up to its active weight"
            )
        assert self.used[BYTES] > -1e-3, f"{self.path()}: negative use"
        assert self.waiting >= 0, f"{self.path()}: negative count of waiting requests"
        assert self.parent is None or not self.is_idle, f"{self.path()}: an idle node was not removed"


@dataclass(slots=True, eq=False)
class Reservation:
    """What one message uses.

    Attributes:
        leaves: Its leaf in each tree, where its amount is counted.
        amount: Bytes and messages that were granted.
        released: Whether it was released.
    """

    leaves: tuple[ShareNode, ...]
    amount: list[float]
    released: bool = False


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A request for a reservation, or for more of one, that waits for capacity.

    Attributes:
        reservation: The reservation that the amount is for.
        amount: Bytes and messages requested.
        expires_at: Time (ms) at which the request is dropped.
        token: The caller's handle of the request.
    """

    reservation: Reservation
    amount: ResourceAmount
    expires_at: float
    token: object
