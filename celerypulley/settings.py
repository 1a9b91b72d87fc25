"""Settings of one host, from flags and CELERYPULLEY_* variables."""

import os
import re
from collections.abc import Callable, Mapping
from pathlib import Path

import attrs
from returns.result import Failure, Result, Success

__all__ = ["Address", "SettingError", "Settings", "load_settings", "setting_help"]

_ENVIRONMENT_PREFIX = "CELERYPULLEY_"
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_MIN_SECRET_CHARS = 16


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `ip:port`; raise ValueError if `text` is malformed."""
        ip, separator, port = str(text).rpartition(":")
        is_port = _PORT_PATTERN.fullmatch(port) and 0 < int(port) < 65536
        if not separator or not is_port:
            raise ValueError(f"{text!r} is not ip:port with a port from 1 to 65535")
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return `ip:port`."""
        return f"{self.ip}:{self.port}"


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(str(text)):
        raise ValueError(f"{text!r} is not a name of 1 to 63 characters a-z, 0-9 and -")
    return str(text)


def _parse_secret(text: str) -> str:
    if len(str(text)) < _MIN_SECRET_CHARS:
        raise ValueError(f"secret is shorter than {_MIN_SECRET_CHARS} characters")
    return str(text)


def _integer_between(low: int, high: int) -> Callable[[object], int]:
    def convert(value: object) -> int:
        number = int(str(value))
        if not low <= number <= high:
            raise ValueError(f"{value!r} is not in the range {low} to {high}")
        return number

    return convert


def _parse_log_format(text: str) -> str:
    if text not in ("text", "json"):
        raise ValueError(f"{text!r} is not text or json")
    return text


def _parse_boolean(value: object) -> bool:
    text = str(value).lower()
    if text not in ("true", "false", "1", "0"):
        raise ValueError(f"{value!r} is not true or false")
    return text in ("true", "1")


def _parse_optional_path(value: object) -> Path | None:
    return Path(str(value)) if value else None


def _setting(
    convert: Callable, default: object = attrs.NOTHING, help_text: str = ""
) -> object:
    return attrs.field(
        default=default, metadata={"convert": convert, "help": help_text}
    )


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one host."""

    host_id: str = _setting(_parse_name, help_text="this host's name")
    domain: str = _setting(_parse_name, help_text="this host's failure domain")
    caller_address: Address = _setting(
        Address.parse, help_text="address for callers, ip:port"
    )
    admin_address: Address = _setting(
        Address.parse, help_text="address for operators, ip:port"
    )
    peer_address: Address = _setting(
        Address.parse, help_text="address for other hosts, ip:port"
    )
    platform_address: Address = _setting(
        Address.parse, help_text="the platform's key-value store, ip:port"
    )
    peer_secret: str = _setting(_parse_secret, help_text="secret shared by all hosts")
    data_dir: Path | None = _setting(
        _parse_optional_path, None, "directory for data; if empty, nothing is stored"
    )
    log_format: str = _setting(_parse_log_format, "text", "text or json")
    shards_per_domain: int = _setting(
        _integer_between(1, 1024), 128, "shards of each failure domain, 1 to 1024"
    )
    lease_ttl_ms: int = _setting(
        _integer_between(1_000, 120_000), 15_000, "time to live of a host's lease, ms"
    )
    promise_ms: int = _setting(
        _integer_between(500, 60_000), 3_000, "how long a replica's promise lasts, ms"
    )
    commit_timeout_ms: int = _setting(
        _integer_between(100, 60_000),
        8_000,
        "timeout of a replica's acknowledgement, ms",
    )
    shutdown_ms: int = _setting(
        _integer_between(0, 600_000), 60_000, "time to finish calls on shutdown, ms"
    )
    body_limit_bytes: int = _setting(
        _integer_between(1_024, 64 * 1024 * 1024),
        4 * 1024 * 1024,
        "largest request body, bytes",
    )
    memory_mb: int = _setting(
        _integer_between(64, 1_048_576), 512, "memory of this host's machine, MB"
    )
    max_descriptors: int = _setting(
        _integer_between(160, 1_048_576), 4_096, "file descriptors of this host"
    )
    peer_delay_ms: float = _setting(float, 0.0, "delay added to peer links, ms (tests)")
    faults_allowed: bool = _setting(
        _parse_boolean, False, "allow operators to cut links (tests only)"
    )


@attrs.frozen
class SettingError:
    """One setting that is missing or invalid."""

    name: str
    problem: str

    def __str__(self) -> str:
        """Return the flag, its variable and the problem."""
        flag = self.name.replace("_", "-")
        variable = _ENVIRONMENT_PREFIX + self.name.upper()
        return f"--{flag} ({variable}): {self.problem}"


def load_settings(
    flags: Mapping[str, object], environment: Mapping[str, str] = os.environ
) -> Result[Settings, tuple[SettingError, ...]]:
    """Return the settings, or the errors of all invalid settings."""
    errors: list[SettingError] = []
    values: dict[str, object] = {}
    known = {field.name: field for field in attrs.fields(Settings)}
    for name in flags:
        if name not in known:
            errors.append(SettingError(name, "unknown setting"))
    for name, field in known.items():
        raw = flags.get(name, environment.get(_ENVIRONMENT_PREFIX + name.upper()))
        if raw is None:
            if field.default is attrs.NOTHING:
                errors.append(SettingError(name, f"missing: {field.metadata['help']}"))
            continue
        try:
            values[name] = field.metadata["convert"](raw)
        except ValueError as error:
            errors.append(SettingError(name, str(error)))
    if errors:
        return Failure(tuple(errors))
    return Success(Settings(**values))


def setting_help() -> str:
    """Return one line per setting: flag, variable, meaning, unit and default."""
    lines = []
    for field in attrs.fields(Settings):
        flag = "--" + field.name.replace("_", "-")
        variable = _ENVIRONMENT_PREFIX + field.name.upper()
        default = "required" if field.default is attrs.NOTHING else field.default
        lines.append(
            f"{flag:22} {variable:34} {field.metadata['help']} (default: {default})"
        )
    return "\n".join(lines)
