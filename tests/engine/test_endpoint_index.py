"""The index of all listed endpoints has the same content as a dict, in columns with a few bytes per row."""

from __future__ import annotations

import random
import sys

import pytest

from linnetstile.engine.endpoint_index import EndpointIndex
from linnetstile.engine.events import Endpoint

from ..conftest import make_endpoint

MAX_BYTES_PER_ENDPOINT = 64


def random_endpoint(rng: random.Random, endpoint_id: int) -> Endpoint:
    return make_endpoint(
        endpoint_id,
        rng.randrange(60),
        advertised_rate=float(rng.randrange(9)),
        kind=rng.randrange(3),
        zone=rng.randrange(9),
    )


def by_id(endpoint: Endpoint) -> int:
    return endpoint.id


@pytest.mark.parametrize("seed", range(3))
def test_index_has_the_same_content_as_a_dict(seed: int) -> None:
    rng, index = random.Random(seed), EndpointIndex()
    expected: dict[int, Endpoint] = {}
    for _ in range(3000):
        endpoint_id = rng.randrange(1, 400) << (24 if seed else 0)
        if endpoint_id in expected and rng.random() < 0.4:
            index.pop(endpoint_id)
            del expected[endpoint_id]
        else:
            endpoint = random_endpoint(rng, endpoint_id)
            index.put(endpoint)
            expected[endpoint_id] = endpoint
        destination = rng.randrange(60)
        assert index.get(endpoint_id) == expected.get(endpoint_id)
        assert len(index) == len(expected)
        assert index.endpoints_of(destination) == sorted(
            (endpoint for endpoint in expected.values() if endpoint.destination == destination), key=by_id
        )
        assert index.destination_count == len({endpoint.destination for endpoint in expected.values()})
    assert sorted(index, key=by_id) == sorted(expected.values(), key=by_id)


def test_index_columns_take_less_than_64_bytes_per_endpoint() -> None:
    index = EndpointIndex()
    endpoint_count = 20_000
    for endpoint_id in range(endpoint_count):
        index.put(make_endpoint(endpoint_id, endpoint_id // 2))
    columns = (
        index.ids,
        index.destination_ids,
        index.kinds,
        index.zones,
        index.rates,
        index.by_id.heads,
        index.by_id.next_row,
        index.by_destination.heads,
        index.by_destination.next_row,
    )
    assert sum(map(sys.getsizeof, columns)) < MAX_BYTES_PER_ENDPOINT * endpoint_count
