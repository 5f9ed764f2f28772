"""Steps of scripted plays with discovery: watches, their lists and a change of the address."""

from __future__ import annotations

from starlingthread.events import ServerState
from starlingthread.net.discovery import LIST_PATH, DiscoveryActor
from starlingthread.net.discovery.open_calls import CallKind

from .peers import WATCH_HEADERS, Listener, Peer, RunningRouter, chunk


def server_states(harness: RunningRouter) -> dict[str, ServerState]:
    """Return the state that the router has for each server, by name."""
    assign_id = harness.program.actors.discovery.parser.ids.assign
    names = {assign_id(entry["name"]): entry["name"] for entry in harness.entries()}
    servers = harness.router.balancer.fleet.servers
    return {names[number]: server.endpoint.state for number, server in servers.items() if number in names}


async def accept_watch(harness: RunningRouter) -> Peer:
    """Accept a watch call and send the head of its response."""
    peer = await harness.discovery.accept()
    assert (await peer.until(b"\r\n\r\n")).startswith(f"GET {LIST_PATH}?watch=1".encode())
    await peer.send(WATCH_HEADERS)
    return peer


def start_watch(harness: RunningRouter) -> None:
    """Make the router watch for changes at once instead of at a random time."""
    harness.program.actors.discovery.watch(True)


async def open_watch(harness: RunningRouter) -> Peer:
    """Make the router watch for changes, accept the call and send a heartbeat on it."""
    start_watch(harness)
    watch = await accept_watch(harness)
    await watch.send(chunk(b"\n"))
    return watch


def move_discovery(harness: RunningRouter) -> None:
    """Make the router call discovery at another address, at which the harness listens from now on."""
    old_address = harness.discovery
    harness.discovery = Listener()
    harness.discovery.accepted += old_address.accepted  # the old connections are closed with the new ones
    harness.program.actors.discovery.set_address(("127.0.0.1", harness.discovery.port))


def receive_list(discovery: DiscoveryActor, payload: bytes) -> None:
    """Make the client of discovery handle a list as that of a call."""
    call = discovery._calls.add(CallKind.FETCH, discovery.clock.now(), wants_whole_list=True)
    discovery._on_list(call, payload)
    discovery._calls.remove(call)
