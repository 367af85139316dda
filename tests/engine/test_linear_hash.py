"""Rows by hash, against a plain dict; a chain a step, however many rows there are."""

from __future__ import annotations

import random

import pytest

from linnetstile.engine.linear_hash import LinearHashTable, hash_integer


@pytest.mark.parametrize("seed", range(4))
def test_finds_what_a_dict_finds(seed: int) -> None:
    rng = random.Random(seed)
    keys: list[int] = []  # by row
    chains = LinearHashTable(lambda row: hash_integer(keys[row]))
    rows: dict[int, int] = {}
    free: list[int] = []

    def found(key: int) -> list[int]:
        return [row for row in chains.find(hash_integer(key)) if keys[row] == key]

    for _ in range(4000):
        key = rng.randrange(600) * (1024 if seed % 2 else 1)
        if key in rows and rng.random() < 0.6:
            row = rows.pop(key)
            chains.remove(row)
            free.append(row)
        elif key not in rows:
            row = free.pop() if free else len(keys)
            keys[row : row + 1] = [key]
            rows[key] = row
            chains.add(row)
        assert found(key) == ([rows[key]] if key in rows else [])
    assert chains.row_count == len(rows)
    assert all(found(key) == [row] for key, row in rows.items())


@pytest.mark.parametrize("step", (1, 2, 1000, 1024, 2**24))
def test_chains_stay_short_and_a_step_small(step: int) -> None:
    looked = 0

    def hash_of(row: int) -> int:
        nonlocal looked
        looked += 1
        return hash_integer(row * step)

    chains = LinearHashTable(hash_of)
    most = 0
    for row in range(20_000):
        before = looked
        chains.add(row)
        most = max(most, looked - before)
    assert most < 30  # hashes asked for in one step: the rows of one chain, and the new one
    lengths = [sum(1 for _ in chains.find(hash_integer(row * step))) for row in range(0, 20_000, 50)]
    assert sum(lengths) / len(lengths) < 4 and max(lengths) < 20
