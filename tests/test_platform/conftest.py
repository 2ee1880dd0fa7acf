"""Fixture: a mesh with a store."""

from __future__ import annotations

import pytest

from bench.fleet import Fleet
from bench.mesh import Mesh


@pytest.fixture
def mesh():
    with Fleet() as fleet:
        fleet.start_store()
        yield Mesh(fleet)
