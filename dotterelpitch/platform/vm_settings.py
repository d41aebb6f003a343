"""Decodes the settings file that the platform provides to each process."""

from pathlib import Path
from typing import Any

from dotterelpitch.errors import PlatformError, SettingsError
from dotterelpitch.platform._fields import decode_json, read_field, read_seconds
from dotterelpitch.routing.cold_engines import ColdTolerance
from dotterelpitch.settings import check_address
from dotterelpitch.vm_settings import FleetBounds, VmSettings


def read_vm_settings(path: str) -> VmSettings:
    """Return the settings in the file at ``path``.

    Raises SettingsError with a one-line message that names the invalid field.
    """
    try:
        return _decode(decode_json(Path(path).read_bytes()))
    except (OSError, PlatformError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _decode(content: Any) -> VmSettings:
    listen = read_field(content, "listen", dict)
    seeds = read_field(content, "seeds", list, [])
    limits = read_field(content, "limits", dict)
    return VmSettings(
        vm_name=read_field(content, "node_name", str),
        failure_domain=read_field(content, "zone", str),
        caller_listen=_read_address(listen, "front"),
        ready_listen=_read_address(listen, "ready"),
        peer_listen=_read_address(listen, "control"),
        seeds=tuple(_validate_address("seeds", seed) for seed in seeds),
        store_address=_read_address(read_field(content, "platform", dict), "address"),
        ip=read_field(content, "ip", str),
        memory_mb=int(read_field(limits, "memory_mb", (int, float))),
        descriptors=int(read_field(limits, "max_fds", (int, float), 0)),
        link_mbps=int(read_field(limits, "link_mbps", (int, float), 0)),
        promises=_decode_bounds(read_field(content, "bounds", dict)),
    )


def _decode_bounds(bounds: Any) -> FleetBounds:
    return FleetBounds(
        retry_share=read_field(bounds, "retry_budget", (int, float), 0.1),
        retry_slack=read_field(bounds, "retry_slack", (int, float), 0),
        retry_window_s=read_field(bounds, "budget_window_s", (int, float), 10),
        stop_grace_s=read_field(bounds, "grace_s", (int, float), 8),
        drain_s=read_seconds(bounds, "drain_ms", 2000),
        config_apply_s=read_seconds(bounds, "config_apply_ms", 2000),
        evacuate_s=read_seconds(bounds, "evacuate_ms", 5000),
        contact_s=read_seconds(bounds, "contact_ms", 3000),
        load_multiple=read_field(bounds, "cap_x", (int, float), 2),
        cold_tolerance=ColdTolerance(
            read_field(bounds, "cold_over", (int, float), 1.5),
            read_field(bounds, "cold_slack", (int, float), 5),
        ),
    )


def _read_address(table: Any, name: str) -> str:
    return _validate_address(name, read_field(table, name, str))


def _validate_address(name: str, address: Any) -> str:
    try:
        check_address(str(address))
    except ValueError as error:
        raise PlatformError(f"{name}: {address!r} {error}") from error
    return str(address)
