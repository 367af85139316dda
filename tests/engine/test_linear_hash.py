"""The linear hash table has the same rows as a dict and short chains, and splits at most one chain per added row."""

from __future__ import annotations

import random

import pytest

from linnetstile.engine.linear_hash import LinearHashTable, hash_integer


@pytest.mark.parametrize("seed", range(4))
def test_table_finds_the_same_rows_as_a_dict(seed: int) -> None:
    rng = random.Random(seed)
    keys: list[int] = []  # by row
    table = LinearHashTable(lambda row: hash_integer(keys[row]))
    rows: dict[int, int] = {}
    free_rows: list[int] = []

    def find(key: int) -> list[int]:
        return [row for row in table.find(hash_integer(key)) if keys[row] == key]

    for _ in range(4000):
        key = rng.randrange(600) * (1024 if seed % 2 else 1)
        if key in rows and rng.random() < 0.6:
            row = rows.pop(key)
            table.remove(row)
            free_rows.append(row)
        elif key not in rows:
            row = free_rows.pop() if free_rows else len(keys)
            keys[row : row + 1] = [key]
            rows[key] = row
            table.add(row)
        assert find(key) == ([rows[key]] if key in rows else [])
    assert table.row_count == len(rows)
    assert all(find(key) == [row] for key, row in rows.items())


@pytest.mark.parametrize("step", [1, 2, 1000, 1024, 2**24])
def test_chains_are_short_and_an_insertion_hashes_few_rows(step: int) -> None:
    hash_count = 0

    def hash_of(row: int) -> int:
        nonlocal hash_count
        hash_count += 1
        return hash_integer(row * step)

    table = LinearHashTable(hash_of)
    max_hashes = 0
    for row in range(20_000):
        before = hash_count
        table.add(row)
        max_hashes = max(max_hashes, hash_count - before)
    assert max_hashes < 30  # an insertion hashes the rows of the chain that it splits, and the new row
    lengths = [sum(1 for _ in table.find(hash_integer(row * step))) for row in range(0, 20_000, 50)]
    assert sum(lengths) / len(lengths) < 4
    assert max(lengths) < 20
