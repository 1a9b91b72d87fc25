"""Measure what the gossip of one host costs, by the number of hosts."""

import fire
import orjson

from tools.emulated_fleet import WINDOW_MS, EmulatedFleet

__all__ = ["main", "measure_gossip"]


def measure_gossip(hosts: int, seconds: int = 15) -> dict[str, float]:
    """Return what a host sends and receives once the fleet has been up for 20 s.

    Bytes are a second and a host, a burst is what one host sends in 5 ms, and
    `admitted_part` is the most that was admitted in a window by the limit.
    """
    fleet = EmulatedFleet(hosts)
    fleet.run(20_000.0)
    fleet.reset_traffic()
    fleet.admitted.clear()
    fleet.run(seconds * 1_000.0)
    traffic = [host.traffic for host in fleet.hosts]
    share = 1.0 / hosts / seconds
    rule = fleet.rules[0]
    limit = rule.rate_per_s * WINDOW_MS / 1000 + rule.burst
    worst = max(
        sum(begin <= each < begin + WINDOW_MS for each in fleet.admitted)
        for begin in fleet.admitted
    )
    return {
        "hosts": hosts,
        "bytes_per_s": round(sum(t.bytes_sent for t in traffic) * share),
        "max_host_bytes_per_s": round(max(t.bytes_sent for t in traffic) / seconds),
        "bytes_between_domains_per_s": round(
            sum(t.bytes_between_domains for t in traffic) * share
        ),
        "messages_received_per_s": round(
            sum(t.messages_received for t in traffic) * share, 1
        ),
        "max_burst_bytes": max(t.max_burst_bytes for t in traffic),
        "admitted_part": round(worst / limit, 3),
    }


def main(hosts: tuple[int, ...] = (10, 30, 100), seconds: int = 15) -> None:
    """Print one JSON object for each number of hosts."""
    for count in hosts if isinstance(hosts, tuple | list) else (hosts,):
        print(orjson.dumps(measure_gossip(count, seconds)).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
