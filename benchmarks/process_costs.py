"""CPU time and memory of processes, read from /proc."""

import os
from pathlib import Path

import attrs

__all__ = ["ProcessCost", "read_cost"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KB_PER_MB = 1_024


@attrs.frozen
class ProcessCost:
    """The CPU time that a process has used, in s, and its resident memory, in MB."""

    cpu_s: float
    memory_mb: float


def read_cost(pid: int) -> ProcessCost:
    """Return the costs of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    memory_kb = 0
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            memory_kb = int(line.split()[1])
    return ProcessCost(cpu_s, memory_kb / _KB_PER_MB)
