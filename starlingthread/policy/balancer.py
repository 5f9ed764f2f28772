"""Entry point of the decision module: class Balancer, which dispatches each event to the part that handles it."""

from __future__ import annotations

from ..actions import Action
from ..events import (
    EndpointList,
    EndpointListKind,
    Event,
    FirstByte,
    HealthCheckResult,
    Maintenance,
    Outcome,
    PeerMessage,
    Request,
    RequestCancelled,
    SettingsChanged,
    Timer,
)
from ..settings import Settings
from ..state.fleet import Fleet
from ..state.records import RequestState
from .admission import Admission
from .affinity import Affinity
from .attempt_gate import AttemptGate
from .completion import Completion
from .dispatch import Dispatcher
from .endpoint_polling import EndpointPolling
from .hedging import Hedging
from .load_estimate import LoadEstimate
from .outcomes import OutcomeLearning
from .routing import Routing
from .server_choice import ServerChoice
from .timers import CHECK_HEDGES, POLL_ENDPOINTS, request_id_of
from .waiting import WaitingRequests


class Balancer:
    """Makes all decisions of one router: a request goes to the server with the least (delay + cost) / affinity."""

    # Baselines override these two classes.
    server_choice_class: type[ServerChoice] = ServerChoice
    load_estimate_class: type[LoadEstimate] = LoadEstimate

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a balancer without servers, with a seeded random generator. Invalid settings raise ValueError."""
        self.fleet = Fleet(settings, seed)
        self.load = self.load_estimate_class(self.fleet)
        self.affinity = Affinity(self.load)
        self.gate = AttemptGate(self.load)
        self.choice = self.server_choice_class(self.affinity, self.gate)
        self.admission = Admission(self.load)
        self.routing = Routing(self.choice, self.admission)
        self.hedging = Hedging(self.choice, self.admission)
        self.waiting = WaitingRequests(self.fleet)
        self.completion = Completion(self.affinity, self.gate, self.waiting)
        self.dispatcher = Dispatcher(self.gate, self.hedging, self.completion, self.waiting)
        self.outcomes = OutcomeLearning(self.affinity, self.gate, self.hedging.budget)
        self.polling = EndpointPolling(self.fleet)

    def start(self, now: float) -> list[Action]:
        """Start at a clock time (ms) and return the first actions."""
        self.load.served_rate.start(now)
        self.polling.start(now)
        return self._take_actions()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at a clock time (ms) and return the resulting actions."""
        match event:
            case Request():
                self._on_request(now, event)
            case Outcome():
                self._on_outcome(now, event)
            case EndpointList():
                self._on_endpoint_list(now, event)
            case Timer():
                self._on_timer(now, event.label)
            case RequestCancelled():
                self._on_request_cancelled(now, event)
            case FirstByte():
                self._on_first_byte(event)
            case HealthCheckResult():
                self._on_health_check_result(now, event)
            case Maintenance():
                self.fleet.set_maintenance(now, event)
            case SettingsChanged():
                self._on_settings_changed(event)
            case PeerMessage():
                pass
            case _:
                raise TypeError(f"unknown event type: {event!r}")
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        actions = self.fleet.actions
        self.fleet.actions = []
        return actions

    def excluded_servers(self, now: float) -> list[int]:
        """Return the listed servers that are excluded now: those in maintenance, and those ejected as outliers."""
        return [
            number
            for number, server in self.fleet.servers.items()
            if not server.unavailable and (number in self.fleet.in_maintenance or server.outliers.ejected_until > now)
        ]

    def _on_request(self, now: float, request: Request) -> None:
        fleet = self.fleet
        classes = fleet.settings.classes
        if request.id in fleet.requests:
            return
        request_class = request.request_class
        if request_class is None:
            if not 0 <= request.class_index < len(classes):
                return
            request_class = classes[request.class_index]
        expected_cost = self.load.service_times.expected_time(request_class, request.cost_hint)
        executions = fleet.executions.open(request.identity)
        state = RequestState(request, request_class, now, expected_cost, executions)
        fleet.requests[request.id] = state
        self.dispatcher.dispatch(now, state, self.routing.first_step(now, state))

    def _on_outcome(self, now: float, event: Outcome) -> None:
        state = self.fleet.requests.get(event.id)
        if state is None:
            return
        attempt = self.gate.on_outcome(state, event)
        if attempt is None:
            return
        server = self.fleet.servers[attempt.server]
        self.outcomes.learn(now, state, server, event, attempt)
        if event.request_finished or state.finished:
            self.completion.close(now, state)
        elif state.attempts_in_flight == 0:
            step = self.routing.step_after_attempt(now, state, server, event.result)
            self.dispatcher.dispatch(now, state, step)

    def _on_endpoint_list(self, now: float, event: EndpointList) -> None:
        self.polling.on_list(now, event)
        if event.kind != EndpointListKind.FAILED:
            self.fleet.apply_endpoint_list(now, event)

    def _on_timer(self, now: float, label: int) -> None:
        if label == CHECK_HEDGES:
            self.hedging.check(now)
        elif label == POLL_ENDPOINTS:
            self.polling.on_timer()
        elif state := self.waiting.pop_due(now, request_id_of(label)):
            self.dispatcher.dispatch(now, state, self.routing.step_after_wait(now, state))

    def _on_request_cancelled(self, now: float, event: RequestCancelled) -> None:
        if state := self.fleet.requests.get(event.id):
            self.completion.close(now, state)

    def _on_first_byte(self, event: FirstByte) -> None:
        if state := self.fleet.requests.get(event.id):
            state.streaming = True

    def _on_health_check_result(self, now: float, event: HealthCheckResult) -> None:
        if server := self.fleet.servers.get(event.server):
            self.load.on_load_report(now, server, event.load_report)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        self.fleet.apply_settings(event.settings)
        self.load.apply_settings()
        self.fleet.classify_servers()
