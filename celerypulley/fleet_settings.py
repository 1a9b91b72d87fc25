"""Settings of a process that runs on a platform, whatever file they came from."""

from pathlib import Path

import attrs

from celerypulley.settings import Address

__all__ = ["FleetSettings"]


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Addresses and bounds of one process.

    `fleet_port` is where hosts tell each other their counts; `metrics_port` serves
    the metrics. `revoke_ms` is the age above which what a host believes of keys is
    no longer used, where `strict_revoke` holds. `grace_ms` is the time between
    SIGTERM and SIGKILL. `data_dir` is the disk of a keeper; `disk_losses` disks may
    be lost at once. `is_first_start` says that no disk of the fleet was ever written.
    """

    host_id: str
    domain: str
    ip: str
    caller_address: Address | None
    ready_address: Address | None
    fleet_port: int
    metrics_port: int
    store_address: str
    max_state_age_ms: float
    refuse_stale_state: bool
    shutdown_grace_ms: float
    quota_window_ms: float
    data_dir: Path | None = None
    is_first_start: bool = False
    has_storage_hosts: bool = False
    tolerated_disk_losses: int = 1
