"""Records as the admin and the engines write them to the store."""

import json
from typing import Any

from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreRecord


def json_record(key: str, content: Any) -> StoreRecord:
    """Return the record of a key with content that is encoded as JSON."""
    return StoreRecord(key, json.dumps(content).encode())


def engine_record(engine_id: str, **changes: Any) -> StoreRecord:
    """Return the record of an engine, with some fields replaced."""
    content = {
        "service": "chat",
        "address": "127.0.0.1:9",
        "zone": "a",
        "capacity": 4,
        "state": "ready",
        "call_seq": 1,
        "born": 1,
        **changes,
    }
    return json_record(f"servers/{engine_id}", content)


def config_record(version: int) -> StoreRecord:
    """Return the record of a config without routes."""
    content = {"version": version, "routes": [], "services": [], "tenants": []}
    return json_record(CONFIG_KEY, content)
