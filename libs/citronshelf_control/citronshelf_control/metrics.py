"""Metrics of the control daemon."""

import os
import resource

import aioprometheus

PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class ControlMetrics:
    """Registry whose gauges are set each time that metrics are requested."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.gauges: dict[str, aioprometheus.Gauge] = {}

    def set_gauge(
        self, name: str, doc: str, value: float, labels=None
    ) -> None:
        """Set a gauge; create it with help text ``doc`` on first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(name, doc, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set(labels or {}, value)

    def set_process_metrics(self) -> None:
        """Set CPU time and resident memory of this process."""
        self.set_gauge(
            'citronshelf_control_cpu_seconds',
            'Processor time of this process, user and system.',
            cpu_seconds(),
        )
        self.set_gauge(
            'citronshelf_control_resident_bytes',
            'Resident memory of this process.',
            resident_bytes(),
        )


def cpu_seconds() -> float:
    """Return user and system CPU time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES
