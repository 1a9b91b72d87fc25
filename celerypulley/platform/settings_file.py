"""Parser for the settings file that the platform provides to each process."""

from collections.abc import Mapping
from pathlib import Path

from celerypulley.fleet_settings import FleetSettings
from celerypulley.settings import Address

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

# The customary port of metrics exporters; deploy/system.toml names the same one.
_METRICS_PORT = 9464
_REGION_PREFIX = "zones."
_PRESSURE_CONTRACT = "pressure"  # callers compete for too few engine slots
SETTINGS_VARIABLE = "CELERYPULLEY_CONFIG"


def read_settings(path: Path) -> FleetSettings:
    """Return the settings in a file; raise ValueError naming the invalid field."""
    values: dict[str, str] = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    front = values.get("listen.front")
    ready = values.get("listen.readyAddr")
    first, _, _last = _required_text(values, "portRange").partition(",")
    return FleetSettings(
        host_id=_required_text(values, "nodeName"),
        domain=_required_text(values, "zone"),
        ip=_required_text(values, "ip"),
        caller_address=_parse_address("listen.front", front) if front else None,
        ready_address=_parse_address("listen.readyAddr", ready) if ready else None,
        fleet_port=_parse_integer("portRange", first),
        metrics_port=_METRICS_PORT,
        store_address=_required_text(values, "platform.addr"),
        max_state_age_ms=_parse_number(values, "bounds.revokeMs", 5_000.0),
        refuse_stale_state=values.get("bounds.strictRevoke", "true") == "true",
        shutdown_grace_ms=_parse_number(values, "bounds.graceS", 8.0) * 1000,
        data_dir=Path(values["dataDir"]) if values.get("dataDir") else None,
        is_first_start=values.get("bootstrap") == "true",
        has_storage_hosts=True,  # the storage role is always deployed
        tolerated_disk_losses=int(_parse_number(values, "faultTolerance.machines", 1)),
        server_drain_ms=_parse_number(values, "bounds.drainMs", 2_000.0),
        server_check_in_ms=_parse_number(values, "heartbeatMs", 1_200.0),
        quota_window_ms=_parse_number(values, "bounds.quotaWindowS", 5.0) * 1000,
        evacuates_domains="bounds.evacuateMs" in values,
        memory_mb=_parse_number(values, "limits.memoryMb", 128),
        max_descriptors=int(_parse_number(values, "limits.maxFds", 1_024)),
        region_of_domain={
            name.removeprefix(_REGION_PREFIX): region
            for name, region in values.items()
            if name.startswith(_REGION_PREFIX)
        },
        cold_overrun=_parse_number(values, "bounds.coldOverrun", 1.5),
        cold_slack=_parse_number(values, "bounds.coldSlack", 5.0),
        schedules_turns=_PRESSURE_CONTRACT in values.get("contracts", "").split(","),
    )


def _required_text(values: Mapping[str, str], name: str) -> str:
    if not values.get(name):
        raise ValueError(f"settings field {name} is missing")
    return values[name]


def _parse_address(name: str, text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise ValueError(f"settings field {name}: {error}") from error


def _parse_integer(name: str, text: str) -> int:
    if not text.isdigit():
        raise ValueError(f"settings field {name}: {text!r} is not a whole number")
    return int(text)


def _parse_number(values: Mapping[str, str], name: str, default: float) -> float:
    text = values.get(name, "")
    if not text:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise ValueError(f"settings field {name}: {text!r} is not a number") from error
