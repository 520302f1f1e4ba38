"""Metrics of every program, in the Prometheus text format."""

from __future__ import annotations

from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from leadseam.clock import MILLIS_PER_SECOND, Millis
from leadseam.wire.traffic import Traffic


@dataclass(frozen=True, slots=True)
class Metrics:
    """Creates, registers and renders the metrics of one program.

    Refusals and retries are counted by reason, in a label of one counter.

    Args:
        registry: Registry of the metrics; there is one for each process role.
        traffic: Bytes sent and received on internal links, rendered with the metrics.
    """

    registry: Registry = field(default_factory=Registry)
    traffic: Traffic = field(default_factory=Traffic)
    _buffered_counters: list[BufferedCounter] = field(default_factory=list)

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter `leadseam_NAME`."""
        return Counter(f"leadseam_{name}", doc, registry=self.registry)

    def buffered_counter(self, name: str, doc: str, label: str) -> BufferedCounter:
        """Register a frequently incremented counter `leadseam_NAME` with one label."""
        buffered_counter = BufferedCounter(self.counter(name, doc), label)
        self._buffered_counters.append(buffered_counter)
        return buffered_counter

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge `leadseam_NAME`."""
        return Gauge(f"leadseam_{name}", doc, registry=self.registry)

    def histogram(self, name: str, doc: str, buckets: list[float]) -> Histogram:
        """Register a histogram `leadseam_NAME`."""
        return Histogram(
            f"leadseam_{name}", doc, registry=self.registry, buckets=buckets
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        for buffered_counter in self._buffered_counters:
            buffered_counter.flush()
        content, _ = render(self.registry, ["text/plain"])
        return content + self._render_traffic()

    def _render_traffic(self) -> bytes:
        """Render the traffic, which changes too often to be counted in the registry."""
        lines = []
        for name in self.traffic.__slots__:
            full = f"leadseam_link_{name}_bytes_total"
            lines.append(f"# TYPE {full} counter")
            lines.append(f"{full} {getattr(self.traffic, name)}")
        return "\n".join([*lines, ""]).encode()


class EntryMetrics:
    """Metrics of an entry.

    Args:
        metrics: Metrics to register them with.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.counter(
            "requests_total", "Requests of callers by outcome."
        )
        self.refusals = metrics.counter(
            "refusals_total", "Requests refused or ended badly, by reason."
        )
        self.retries = metrics.counter("retries_total", "Attempts repeated, by reason.")
        self.retries_denied = metrics.counter(
            "retries_denied_total", "Retries that the budget or a rule forbade."
        )
        self.grants_declined = metrics.counter(
            "grants_declined_total", "Grants that came with nothing waiting."
        )
        self.usable = metrics.gauge(
            "sidecar_usable", "1 where new work may go, by upstream."
        )
        self.waiting = metrics.gauge("waiting_requests", "Requests that wait now.")


LATENCY_BUCKETS = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0]


class BufferedCounter:
    """Counter with one label that updates the registry only when metrics are read.

    Counting in the registry directly would be a large part of a refusal's cost.

    Args:
        counter: Counter in the registry that receives the counts.
        label: Name of the label.
    """

    def __init__(self, counter: Counter, label: str) -> None:
        self._counter = counter
        self._label = label
        self._counts: dict[str, int] = {}

    def inc(self, value: str, count: int = 1) -> None:
        """Increase the count for a label value."""
        self._counts[value] = self._counts.get(value, 0) + count

    def flush(self) -> None:
        """Add all counts to the registry's counter and reset them."""
        for value, count in self._counts.items():
            self._counter.add({self._label: value}, count)
        self._counts.clear()


class RoutingMetrics:
    """Metrics of routed requests.

    Args:
        metrics: Metrics to register them with.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.buffered_counter(
            "routed_requests_total", "Routed requests by outcome.", "outcome"
        )
        self.refusals = metrics.buffered_counter(
            "routed_refusals_total",
            "Routed requests refused or failed, by reason.",
            "reason",
        )
        self.attempts = metrics.buffered_counter(
            "routed_attempts_total", "Attempts at upstreams by ending.", "ending"
        )
        self.answer_ends = metrics.buffered_counter(
            "routed_answer_ends_total",
            "Answers of upstreams by framing, close and unfinished event.",
            "end",
        )
        self.spoilt_answers = metrics.buffered_counter(
            "routed_spoilt_answers_total",
            "Answers whose head or event was not the one due, by fault.",
            "fault",
        )
        self.retries = metrics.buffered_counter(
            "routed_retries_total", "Retries that the budget allowed, by pool.", "pool"
        )
        self.retries_returned = metrics.buffered_counter(
            "routed_retries_returned_total",
            "Retries that the budget allowed and that were not sent, by pool.",
            "pool",
        )
        self.retries_denied = metrics.buffered_counter(
            "routed_retries_denied_total",
            "Retries that were not allowed, by rule.",
            "rule",
        )
        self.pauses_requested = metrics.buffered_counter(
            "upstream_pauses_asked_total",
            "Answers of upstreams that ask for a pause, by whether it can be read.",
            "result",
        )
        self.fetches = metrics.buffered_counter(
            "prompt_fetches_total",
            "Attempts that name a source of prompt parts, by its failure domain.",
            "source",
        )
        self.fetched_tokens = metrics.buffered_counter(
            "prompt_fetched_tokens_total",
            "Tokens that these attempts are expected to fetch.",
            "source",
        )
        self.refusals_by_standing = metrics.buffered_counter(
            "refusals_by_standing_total",
            "Refused requests of client accounts, by standing of the account.",
            "standing",
        )
        self.retried = metrics.buffered_counter(
            "retried_requests_total",
            "Requests whose caller was refused before, by outcome.",
            "outcome",
        )
        self.resumed = metrics.buffered_counter(
            "resumed_streams_total",
            "Streams that callers resume, by whether the version that began them is"
            " bound, gone, unknown or the only one.",
            "result",
        )
        self._return_time = metrics.histogram(
            "return_time_seconds", "Retry-After pauses, by rule.", LATENCY_BUCKETS
        )
        self.first_byte = metrics.histogram(
            "first_byte_seconds", "Time to the first byte.", LATENCY_BUCKETS
        )
        self.duration = metrics.histogram(
            "request_seconds", "Time to the end of the answer.", LATENCY_BUCKETS
        )
        self.lag = metrics.gauge("event_loop_lag_ms", "How late the event loop runs.")
        self.busy = metrics.buffered_counter(
            "busy_refusals_total",
            "Requests refused by this entry because it was busy, by whether callers"
            " were redirected to entries with room or asked for a pause.",
            "result",
        )
        self.entries_with_room = metrics.gauge(
            "entries_with_room",
            "Other entries of the failure domain that have room; 0 if not known.",
        )
        self.evacuated_domains = metrics.gauge(
            "evacuated_failure_domains", "Failure domains that get no requests."
        )
        self.versions_in_service = metrics.gauge(
            "versions_in_service", "Versions that may have begun streams, by pool."
        )
        self.paused_upstreams = metrics.gauge(
            "paused_upstreams", "Upstreams that have asked this entry for a pause."
        )
        self.part_rows = metrics.gauge(
            "part_holder_rows", "Known pairs of an engine and a prompt part it holds."
        )
        self.parts_of_interest = metrics.gauge(
            "parts_of_interest", "Shared prompt parts that requests have used recently."
        )
        self.memory_bound_pools = metrics.gauge(
            "memory_bound_pools", "Pools whose engines lack memory before slots."
        )
        self.logs_dropped = metrics.gauge(
            "log_lines_dropped", "Log lines not written to keep the volume bounded."
        )

    def add_return_time(self, rule: str, pause: Millis) -> None:
        """Count a Retry-After pause and the rule that it follows."""
        self._return_time.add({"rule": rule}, pause / MILLIS_PER_SECOND)


class SidecarMetrics:
    """Metrics of a sidecar.

    Args:
        metrics: Metrics to register them with.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.attempts = metrics.counter("attempts_total", "Attempts by ending.")
        self.refusals = metrics.counter(
            "attempt_refusals_total", "Attempts not started, by reason."
        )
        self.grants = metrics.counter("grants_total", "Grants by ending.")
        self.busy = metrics.gauge("busy_slots", "Slots in use or granted.")
        self.service = metrics.counter(
            "service_total", "Measured service by client account."
        )
        self.probes = metrics.counter("probes_total", "Health probes by result.")


class ControlMetrics:
    """Metrics of a control replica.

    Args:
        metrics: Metrics to register them with.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.role_changes = metrics.counter(
            "role_changes_total", "Changes of the replica's role."
        )
        self.leads = metrics.gauge(
            "control_leads", "1 where this replica leads the control group."
        )
        self.registrations_refused = metrics.buffered_counter(
            "registrations_refused_total",
            "Registrations that name no upstream, by what is wrong.",
            "fault",
        )
        self.voters = metrics.gauge(
            "control_voters",
            "Voters of the control group, as far as this replica knows.",
        )
        self.voters_missing = metrics.gauge(
            "control_voters_missing",
            "Voters that do not answer; not a number where another replica leads.",
        )
        self.spare_voters = metrics.gauge(
            "control_spare_voters",
            "Further voters that may be lost; below 0 nothing can be decided; not a"
            " number where another replica leads.",
        )
        self.changes = metrics.counter(
            "changes_total", "Configuration changes by status."
        )
        self.claims = metrics.counter("claims_total", "Claims by verdict.")
        self.feed_bytes = metrics.counter(
            "feed_bytes_total", "Bytes of configuration sent to subscribers."
        )
        self.slack_leased = metrics.gauge(
            "retry_slack_leased",
            "Slack of retry budgets that this replica has leased to entries, by pool.",
        )
        self.streams_held = metrics.gauge(
            "streams_held", "Streams whose version this replica keeps for entries."
        )
        self.verdicts = metrics.gauge(
            "requests_refused_for_crashes",
            "Requests that are refused because upstreams have crashed under them.",
        )
        self.evacuated_domains = metrics.gauge(
            "evacuated_failure_domains",
            "Failure domains that are evacuated, as far as this replica knows.",
        )
        self.by_domain = metrics.gauge(
            "loads_by_domain",
            "Whether loads are aggregated by failure domain: 0 no, 1 undecided, 2 yes.",
        )
        self.entries_reporting = metrics.gauge(
            "entries_reporting",
            "Entries that report their loads to this replica, by failure domain.",
        )
        self.domain_sums_age = metrics.gauge(
            "domain_sums_age_ms",
            "Age of the sums of loads of another replica; not a number if it has none.",
        )
        self.domain_sums_bytes = metrics.counter(
            "domain_sums_bytes_total", "Bytes of sums of loads sent to other replicas."
        )
        self.domain_sums_rejected = metrics.counter(
            "domain_sums_rejected_total",
            "Sums of loads of other replicas that were not used, by fault.",
        )
        self.unexpected_messages = metrics.counter(
            "unexpected_messages_total", "Messages of a type not expected on a link."
        )
        self.cache_events = metrics.counter(
            "cache_events_total", "Cache events read from engines."
        )
        self.cache_polls = metrics.buffered_counter(
            "cache_polls_total", "Calls to engines for cache events.", "result"
        )
        self.engines_watched = metrics.gauge(
            "cache_engines_watched", "Engines whose cache events are read."
        )
