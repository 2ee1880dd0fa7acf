"""Read resource usage of processes and pause a process."""

from __future__ import annotations

import os
import signal
from subprocess import Popen

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024.0


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    return _read_status_field(pid, "VmRSS:") / KB_PER_MB


def read_peak_rss_mb(pid: int) -> float:
    """Return the largest resident memory of a process so far, in MB."""
    return _read_status_field(pid, "VmHWM:") / KB_PER_MB


def count_threads(pid: int) -> int:
    """Return the number of threads of a process."""
    return int(_read_status_field(pid, "Threads:"))


def pause_process(process: Popen[bytes]) -> None:
    """Pause a child process and wait until all its threads are stopped.

    SIGSTOP takes effect only when the process is next scheduled, so without the wait
    it could run on for some milliseconds.
    """
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)


def _read_status_field(pid: int, name: str) -> float:
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(name):
                return float(line.split()[1])
    raise ValueError(f"process {pid} has no field {name} in its status file")


def read_steal_ticks() -> int:
    """Return the steal time of this machine's processors, in clock ticks."""
    with open("/proc/stat") as stat:
        return int(stat.readline().split()[8])


def compute_steal_percent(ticks_before: int, duration_s: float) -> float:
    """Return the percentage of CPU time stolen by the hypervisor since a reading."""
    cores = os.cpu_count() or 1
    stolen_s = (read_steal_ticks() - ticks_before) / _TICKS_PER_S
    return round(100 * stolen_s / (duration_s * cores), 2)
