"""Settings of a process on a platform, independent of the settings file."""

from pathlib import Path

import attrs

from celerypulley.settings import Address

__all__ = ["FleetSettings"]


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Addresses and limits of one process.

    `fleet_port` receives the datagrams of other hosts, and on a storage host its
    connections; `metrics_port` serves the metrics. If `refuse_stale_state` is set,
    desired state older than `max_state_age_ms` is not used, since it may still hold
    revoked keys. `shutdown_grace_ms` is the time between SIGTERM and SIGKILL. Rates
    are enforced over windows of `quota_window_ms`. A server checks in every
    `server_check_in_ms`; one that leaves goes on for `server_drain_ms`. `data_dir` is
    the disk of a storage host; `tolerated_disk_losses` disks may be lost at once.
    `is_first_start` is set if no disk of the fleet has ever been written. If
    `schedules_turns` is set, turns wait for a free slot of an engine, and programs that
    do not fit are refused. If `evacuates_domains` is set, operators can mark failure
    domains whose servers get no requests. `region_of_domain` has the regions of all
    failure domains. In a second at most its rate times `cold_overrun` plus `cold_slack`
    requests are sent to a cold server. The machine has `memory_mb` of memory, and a
    process `max_descriptors` file descriptors.
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
    server_drain_ms: float
    server_check_in_ms: float = 1_200.0
    data_dir: Path | None = None
    is_first_start: bool = False
    has_storage_hosts: bool = False
    tolerated_disk_losses: int = 1
    schedules_turns: bool = False
    evacuates_domains: bool = False
    cold_overrun: float = 1.5
    cold_slack: float = 5.0
    memory_mb: float = 128.0
    max_descriptors: int = 1_024
    region_of_domain: dict[str, str] = attrs.Factory(dict)
