"""The script of the client emulator: what it submits and when, drawn from its seed before the run starts."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .client_settings import ClientSpec, FlowSpec

REPEAT_AFTER_S = (0.01, 3.0)  # range of the time until a repeat


@dataclass(slots=True)
class PlannedMessage:
    """One message as drawn before the run.

    Attributes:
        at_s: When it is submitted, from the start of the script.
        flow: The flow that it belongs to.
        number: Its number, in the order of submission times.
        signed: Whether it is signed.
        compressed: Whether it is compressed.
        receipt: Whether it asks for a receipt.
        asynchronous: Whether the receipt comes in a separate request.
        repeat_after_s: Time until it is submitted once more to the same relay; None = not repeated.
        relay: Number of the relay that gets it first.
    """

    at_s: float
    flow: FlowSpec
    number: int
    signed: bool
    compressed: bool
    receipt: bool
    asynchronous: bool
    repeat_after_s: float | None
    relay: int


def draw_script(spec: ClientSpec) -> list[PlannedMessage]:
    """Draw the script of a run; the same settings and seed give the same script."""
    rng = random.Random(spec.seed)
    script = [message for flow in spec.flows for message in _draw_flow(rng, spec, flow)]
    script.sort(key=lambda message: message.at_s)
    for number, message in enumerate(script):
        message.number = number
    return script


def _draw_flow(rng: random.Random, spec: ClientSpec, flow: FlowSpec) -> list[PlannedMessage]:
    """Draw one flow; another order of the draws would change the script of each seed."""
    messages: list[PlannedMessage] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(flow.per_s * _traffic_multiple(spec, flow, at_s))
        if at_s >= spec.seconds:
            return messages
        messages.append(_draw_message(rng, spec, flow, at_s))


def _traffic_multiple(spec: ClientSpec, flow: FlowSpec, at_s: float) -> float:
    multiple = 1.0
    for surge in spec.surges:
        if surge.affects(flow, at_s):
            multiple *= surge.times
    return multiple


def _draw_message(rng: random.Random, spec: ClientSpec, flow: FlowSpec, at_s: float) -> PlannedMessage:
    receipt = rng.random() < spec.receipts
    return PlannedMessage(
        at_s=at_s,
        flow=flow,
        number=0,
        signed=rng.random() < spec.signed,
        compressed=rng.random() < spec.compressed,
        receipt=receipt,
        asynchronous=receipt and rng.random() < spec.asynchronous,
        repeat_after_s=rng.uniform(*REPEAT_AFTER_S) if rng.random() < spec.repeats else None,
        relay=rng.randrange(len(spec.relays)),
    )
