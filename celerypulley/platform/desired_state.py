"""Decoders for the operator's desired state and for server entries."""

import ipaddress
import re

import orjson

from celerypulley.backend_servers.server_entry import ServerEntry
from celerypulley.contracts.desired_state import (
    CallerLimits,
    DesiredState,
    ForwardRoute,
    OrganisationRule,
    ServiceRule,
    WeightedService,
)
from celerypulley.settings import Address

__all__ = [
    "DESIRED_STATE_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "SERVER_PREFIX",
    "decode_desired_state",
    "decode_server",
]

OPERATOR_PREFIX = "op/"
DESIRED_STATE_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
_SERVER_STATES = ("ready", "draining")
_SERVER_NAME = re.compile(r"[!-~]{1,200}")  # it is written into headers of requests
_MAX_NUMBER = 2**53  # above this, JSON numbers are not exact


def decode_desired_state(raw: bytes) -> DesiredState:
    """Return the desired state; raise ValueError if it is malformed."""
    try:
        body = orjson.loads(raw)
        return DesiredState(
            int(body["version"]),
            tuple(_decode_route(each) for each in body.get("routes", [])),
            tuple(_decode_service(each) for each in body.get("services", [])),
            _decode_organisations(body),
            _decode_limits(body.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(
            f"the desired state has a missing or invalid field: {error}"
        ) from error


def _decode_route(row: dict) -> ForwardRoute:
    if row.get("split"):
        services = tuple(
            WeightedService(each["service"], float(each["weight"]))
            for each in row["split"]
        )
    else:
        services = (WeightedService(row["service"], 1.0),)
    return ForwardRoute(
        name=row["name"],
        http_host=row["host"].lower(),
        path_prefix=row["pathPrefix"],
        services=services,
        repeatable=row["type"] == "idempotent",
        is_streaming=row["type"] == "stream",
        resumable=row.get("resumable") is True,
        prepends_history=bool(row.get("serverHistory")),
        retention_ms=float(row.get("retainS") or 0) * 1000,
        timeout_ms=float(row.get("timeoutMs") or 30_000),
        max_attempts=max(1, int(row.get("attempts") or 1)),
        priority=int(row.get("priority") or 0),
        is_public=row.get("public") is True,
        is_sticky=bool(row.get("sticky")),
        home_regions=_decode_regions(row),
    )


def _decode_regions(row: dict) -> frozenset[str]:
    regions = row.get("regionsAllowed")
    if regions is None:
        return frozenset()
    if not isinstance(regions, list) or not all(
        isinstance(each, str) for each in regions
    ):
        raise TypeError(f"regionsAllowed of {row['name']} is no list of names")
    return frozenset(regions)


def _decode_service(row: dict) -> ServiceRule:
    # Despite its name, this field is an object that describes a model engine.
    engine = row.get("engineId")
    if not isinstance(engine, dict):
        engine = {}
    return ServiceRule(
        name=row["name"],
        tokens_per_event=int(engine.get("chunkTokens") or 1),
        memory_tokens=_decode_memory_tokens(engine.get("kvCapacity")),
        cold_start_ms=max(0.0, float(row.get("coldStartS") or 0)) * 1000,
        cold_per_s=max(0.0, float(row.get("coldPerS") or 0)),
    )


def _decode_memory_tokens(value: object) -> int:
    """Return the memory of an engine, 0 for what is no number: it only limits turns."""
    return max(0, int(value)) if _is_number(value) else 0


def _decode_organisations(body: dict) -> tuple[OrganisationRule, ...] | None:
    """Return the organisations, None if the field is missing; it may be empty."""
    if "tenants" not in body:
        return None
    rows = body["tenants"]
    if not isinstance(rows, list):
        raise TypeError("tenants is no list")
    return tuple(_decode_organisation(each) for each in rows)


def _decode_organisation(row: dict) -> OrganisationRule:
    priority = row.get("priority")
    return OrganisationRule(
        name=row["name"],
        keys=_decode_keys(row),
        priority=None if priority is None else int(priority),
        rate_per_s=_decode_limit(row, "ratePerS"),
        burst=_decode_limit(row, "burst"),
        home_regions=_decode_regions(row),
    )


def _decode_keys(row: dict) -> tuple[str, ...]:
    keys = row.get("apiKeys")
    if keys is None:
        return ()
    # A request without a key has the empty one.
    if not isinstance(keys, list) or not all(
        isinstance(each, str) and each for each in keys
    ):
        raise TypeError(f"apiKeys of {row['name']} is no list of keys")
    return tuple(keys)


def _decode_limit(row: dict, field: str) -> float:
    """Return a limit, where 0 means none; it may be missing, but not be unreadable."""
    value = row.get(field)
    if value is None:
        return 0.0
    if not _is_number(value) or value < 0:
        raise TypeError(f"{field} of {row['name']} is no limit")
    return float(value)


def _decode_limits(row: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_body_bytes=int(row.get("maxBodyBytes") or default.max_body_bytes),
        max_header_bytes=int(row.get("maxHeaderBytes") or default.max_header_bytes),
        header_timeout_ms=float(
            row.get("headerTimeoutMs") or default.header_timeout_ms
        ),
        idle_timeout_ms=float(row.get("idleTimeoutMs") or default.idle_timeout_ms),
    )


def decode_server(key: str, raw: bytes) -> ServerEntry:
    """Return the entry of a backend server; raise ValueError if it is malformed."""
    name = key.removeprefix(SERVER_PREFIX)
    if not _SERVER_NAME.fullmatch(name):
        raise ValueError(f"{key!r} is no name of a server")
    try:
        row = orjson.loads(raw)
        state = row["state"]
        address = row["addr"]
        text_fields = (row["service"], row["zone"], address)
        number_fields = (row["slots"], row["coldLeftMs"], row["seq"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{key} has a missing or invalid field: {error}") from error
    if state not in _SERVER_STATES or not all(
        isinstance(each, str) for each in text_fields
    ):
        raise ValueError(
            f"{key} has unknown state {state!r} or a field that is not text"
        )
    if not all(_is_number(each) for each in number_fields) or row["slots"] < 0:
        raise ValueError(f"{key} has a number that is missing or out of range")
    ipaddress.ip_address(Address.parse(address).ip)
    started_ms = row.get("born", 0)
    return ServerEntry(
        name=name,
        service=row["service"],
        address=address,
        domain=row["zone"],
        slots=max(1, int(row["slots"])),
        leaving=state == "draining",
        started_ms=int(started_ms) if _is_number(started_ms) else 0,
        cold_left_ms=max(0.0, float(row["coldLeftMs"])),
    )


def _is_number(value: object) -> bool:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return -_MAX_NUMBER <= value <= _MAX_NUMBER
