"""Prometheus series of a daemon, with histograms per workspace and class.

The number of label values is limited: the first ``workspace_limit`` workspaces seen get a label
of their own and the rest share ``other``, so that a box that sees 2,800 workspaces doesn't run out
of memory.
"""

from __future__ import annotations

import threading

import prometheus_client as prometheus

from croftpulley.observe import memory, metrics

OTHER_LABEL = "other"
_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0)


class BoundedLabel:
    """Maps names to at most ``limit`` label values of their own; later names map to ``other``.

    >>> label = BoundedLabel(1)
    >>> label.of("clinic"), label.of("farm"), label.of("clinic")
    ('clinic', 'other', 'clinic')
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._names: set[str] = set()
        self._lock = threading.Lock()

    def of(self, name: str) -> str:
        """Return the label value for ``name``."""
        if name in self._names:
            return name
        with self._lock:
            if len(self._names) >= self._limit:
                return OTHER_LABEL
            self._names.add(name)
        return name


class Series:
    """The series of one daemon, in a registry of its own; `metrics.Metrics` records to them."""

    def __init__(self, workspace_limit: int) -> None:
        self.registry = prometheus.CollectorRegistry()
        self._workspace_label = BoundedLabel(workspace_limit)
        prometheus.ProcessCollector(registry=self.registry)
        peak = prometheus.Gauge(
            "croftpulley_memory_peak_bytes",
            "The most memory that this process has taken, 0 if the system does not tell.",
            registry=self.registry,
        )
        peak.set_function(memory.peak_bytes)
        class_labels = ["workspace", "request_class"]
        self._first_token = prometheus.Histogram(
            "croftpulley_first_token_seconds",
            "From the request's arrival to its first text.",
            class_labels,
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._request_duration = prometheus.Histogram(
            "croftpulley_request_seconds",
            "From the request's arrival to its end.",
            class_labels,
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._results = prometheus.Counter(
            "croftpulley_results",
            "Requests ended, by result code.",
            [*class_labels, "code"],
            registry=self.registry,
        )
        self._prompt_tokens = prometheus.Counter(
            "croftpulley_prompt_tokens",
            "Prompt tokens as engines counted them, by whether their cache held them.",
            ["workspace", "cached"],
            registry=self.registry,
        )
        self._control_bytes = prometheus.Counter(
            "croftpulley_control_bytes",
            "Bytes of messages between our processes, by kind and direction.",
            ["kind", "direction"],
            registry=self.registry,
        )
        self._control_failures = prometheus.Counter(
            "croftpulley_control_failures",
            "Messages to another of our processes that got no answer, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self._entries_spoiled = prometheus.Counter(
            "croftpulley_list_entries_spoiled",
            "Entries of the platform's list that name no endpoint to use, counted at each reading.",
            ["defect"],
            registry=self.registry,
        )
        self._repeats = prometheus.Counter(
            "croftpulley_repeats",
            "Requests to be sent once more, by what the shared budget said (granted, held_back).",
            ["decision"],
            registry=self.registry,
        )
        self._unread = prometheus.Gauge(
            "croftpulley_unread_bytes",
            "What waits at this box for callers that have not taken it yet.",
            registry=self.registry,
        )
        self._admissions = prometheus.Counter(
            "croftpulley_admissions",
            "Requests that asked for a permit of their pool, by what became of that.",
            ["workspace", "urgency", "outcome"],
            registry=self.registry,
        )
        self._permit_wait = prometheus.Histogram(
            "croftpulley_waited_for_room_seconds",
            "How long requests waited for a permit that got one.",
            ["urgency"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._notices = prometheus.Counter(
            "croftpulley_endpoint_notices",
            "Answers in which endpoints spoke of themselves: rest, leaving or unusable.",
            ["kind"],
            registry=self.registry,
        )
        self._held_back = prometheus.Counter(
            "croftpulley_sends_held_back",
            "Requests that could not leave any more for the endpoint they were placed at.",
            ["bar"],
            registry=self.registry,
        )
        self._withdrawn = prometheus.Gauge(
            "croftpulley_endpoints_withdrawn",
            "Endpoints that want no requests from this box, by what they said (rest, leaving).",
            ["pool", "why"],
            registry=self.registry,
        )
        self._out_of_reach = prometheus.Gauge(
            "croftpulley_pool_out_of_reach",
            "1 where this box reaches no endpoint of the pool.",
            ["pool"],
            registry=self.registry,
        )
        self._taken_up = prometheus.Counter(
            "croftpulley_streams_taken_up",
            "Streams that callers take up, by what is known of where they began (known, "
            "fits_anywhere, unknown, moved).",
            ["pool", "outcome"],
            registry=self.registry,
        )
        self._origins_told = prometheus.Counter(
            "croftpulley_stream_origins_told",
            "Streams of which another box was told where they began, by whether it took that.",
            ["outcome"],
            registry=self.registry,
        )
        self._hops = prometheus.Counter(
            "croftpulley_hops",
            "Requests handed to another box, by what came of it (answered, refused, failed), and "
            "those taken from one (taken).",
            ["pool", "outcome"],
            registry=self.registry,
        )
        self._endpoints_ended = prometheus.Counter(
            "croftpulley_endpoints_ended",
            "Endpoints that ended while this box had requests there, by the sign that showed it.",
            ["sign"],
            registry=self.registry,
        )
        self._suspects = prometheus.Counter(
            "croftpulley_suspects",
            "Requests under which endpoints had ended: tried, put_off or refused.",
            ["verdict"],
            registry=self.registry,
        )
        self._chunks = prometheus.Counter(
            "croftpulley_relayed_chunks",
            "Engine chunks relayed, by path (direct or forwarded).",
            ["path"],
            registry=self.registry,
        )
        # Cached, as this counter is incremented for every chunk.
        self._chunks_by_path = {path: self._chunks.labels(path) for path in metrics.RELAY_PATHS}
        self._streams_open = prometheus.Gauge(
            "croftpulley_streams_open", "Requests in flight at this box.", registry=self.registry
        )
        self._arm_requests = prometheus.Counter(
            "croftpulley_arm_requests",
            "Requests of an operators' arm, by what came of them (in_time, late, refused, failed).",
            ["arm", "result"],
            registry=self.registry,
        )
        self._arm_tokens = prometheus.Counter(
            "croftpulley_arm_prompt_tokens",
            "Prompt tokens of an operators' arm, by whether the endpoint likely held them.",
            ["arm", "held"],
            registry=self.registry,
        )
        self._arm_decisions = prometheus.Counter(
            "croftpulley_arm_decisions",
            "Decisions of an arm's programs (alike: as the built-in rule; other; failed).",
            ["arm", "decision"],
            registry=self.registry,
        )
        self._outstanding = prometheus.Gauge(
            "croftpulley_engine_outstanding",
            "Requests outstanding at an engine that this box owns.",
            ["engine"],
            registry=self.registry,
        )

    def streams_open(self, count: int) -> None:
        """Record the number of requests in flight."""
        self._streams_open.set(count)

    def first_token(self, workspace: str, request_class: str, duration_s: float) -> None:
        """Record the time from a request's arrival to its first text."""
        self._first_token.labels(self._workspace_label.of(workspace), request_class).observe(
            duration_s
        )

    def request_ended(
        self, workspace: str, request_class: str, code: str, duration_s: float
    ) -> None:
        """Record the result code and duration of a request."""
        label = self._workspace_label.of(workspace)
        self._request_duration.labels(label, request_class).observe(duration_s)
        self._results.labels(label, request_class, code).inc()

    def prompt_tokens(self, workspace: str, prompt: int, cached: int) -> None:
        """Record a prompt's tokens, and how many of them the engine had cached."""
        label = self._workspace_label.of(workspace)
        self._prompt_tokens.labels(label, "yes").inc(cached)
        self._prompt_tokens.labels(label, "no").inc(prompt - cached)

    def control_bytes(self, kind: str, sent: int, received: int) -> None:
        """Record the payload bytes of one exchange between Croftpulley processes."""
        self._control_bytes.labels(kind, "sent").inc(sent)
        self._control_bytes.labels(kind, "received").inc(received)

    def control_failed(self, kind: str) -> None:
        """Record a message to another Croftpulley process that got no answer."""
        self._control_failures.labels(kind).inc()

    def entries_spoiled(self, defect: str, count: int) -> None:
        """Record unusable entries found in one read of the platform's list, by defect."""
        self._entries_spoiled.labels(defect).inc(count)

    def repeat(self, is_granted: bool) -> None:
        """Record whether the shared retry budget granted a retry."""
        self._repeats.labels("granted" if is_granted else "held_back").inc()

    def notice(self, kind: str) -> None:
        """Record that an endpoint announced something about itself in a response."""
        self._notices.labels(kind).inc()

    def unread(self, size_bytes: int) -> None:
        """Record the bytes buffered for callers that have not read them yet."""
        self._unread.set(size_bytes)

    def admission(self, workspace: str, urgency: int, outcome: str) -> None:
        """Record the outcome of a request for a permit."""
        self._admissions.labels(self._workspace_label.of(workspace), urgency, outcome).inc()

    def waited_for_room(self, urgency: int, duration_s: float) -> None:
        """Record how long a request waited for a permit that it got."""
        self._permit_wait.labels(urgency).observe(duration_s)

    def held_back(self, bar: str) -> None:
        """Record that a request was not sent to its chosen endpoint, and what barred it."""
        self._held_back.labels(bar).inc()

    def withdrawn(self, pool: str, resting: int, leaving: int) -> None:
        """Record how many endpoints of a pool want no requests from this box, by reason."""
        self._withdrawn.labels(pool, "rest").set(resting)
        self._withdrawn.labels(pool, "leaving").set(leaving)

    def out_of_reach(self, pool: str, is_lost: bool) -> None:
        """Record whether this box can reach no endpoint of a pool."""
        self._out_of_reach.labels(pool).set(int(is_lost))

    def hop(self, pool: str, outcome: str) -> None:
        """Record the outcome of a request passed to another box, or taken from one."""
        self._hops.labels(pool, outcome).inc()

    def taken_up(self, pool: str, outcome: str) -> None:
        """Record what is known of the origin of a stream that a caller resumes."""
        self._taken_up.labels(pool, outcome).inc()

    def origins_told(self, outcome: str, count: int) -> None:
        """Record stream origins announced to another box, by whether it accepted them."""
        self._origins_told.labels(outcome).inc(count)

    def endpoint_ended(self, sign: str) -> None:
        """Record that an endpoint with requests crashed, by the sign that showed it."""
        self._endpoints_ended.labels(sign).inc()

    def suspect(self, verdict: str) -> None:
        """Record the verdict on a request that is suspected of crashing endpoints."""
        self._suspects.labels(verdict).inc()

    def chunks_relayed(self, path: str, count: int) -> None:
        """Record engine chunks relayed to callers, by path."""
        self._chunks_by_path[path].inc(count)

    def arm_request(self, arm: str, result: str) -> None:
        """Record the result of a request assigned to an operators' arm."""
        self._arm_requests.labels(arm, result).inc()

    def arm_tokens(self, arm: str, held: int, read: int) -> None:
        """Record how many tokens of a prompt the endpoint has cached, and must prefill."""
        self._arm_tokens.labels(arm, "yes").inc(held)
        self._arm_tokens.labels(arm, "no").inc(read)

    def arm_decision(self, arm: str, decision: str) -> None:
        """Record the decision of an arm's program."""
        self._arm_decisions.labels(arm, decision).inc()

    def engine_outstanding(self, engine: str, outstanding: int) -> None:
        """Record the number of requests outstanding at an engine that this box owns."""
        self._outstanding.labels(engine).set(outstanding)

    def engine_forgotten(self, engine: str) -> None:
        """Drop the series of an engine that this box no longer owns."""
        self._outstanding.remove(engine)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus.generate_latest(self.registry)
