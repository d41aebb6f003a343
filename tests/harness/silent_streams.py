"""What engines do with a stream: begin it, fall silent, go on, or don't take it."""

import signal

from tests.harness.scripted_engine import EngineExchange
from tests.harness.waiting import eventually, pause

NO_RETRIES = {
    "grace_s": 5,
    "retry_budget": 0.0,
    "retry_slack": 0,
    "budget_window_s": 10,
    "cap_x": 2,
}
EVENTS = [f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2)]


def stream_with_silence(seconds: float):
    """Return a behavior that sends two events with a silence between them."""

    async def behavior(exchange: EngineExchange) -> None:
        exchange.write_head("200 OK", "Transfer-Encoding: chunked")
        exchange.write_chunk(EVENTS[0])
        await pause(seconds)
        if not exchange.writer.is_closing():
            exchange.write_chunk(EVENTS[1])
            exchange.write_chunk(b"")

    return behavior


async def hang(exchange: EngineExchange) -> None:
    """Answer nothing until the caller leaves."""
    await exchange.caller_left.wait()


async def want_pause(exchange: EngineExchange) -> None:
    """Reject the request, and ask for a pause beyond the silence."""
    lines = ("Not-Executed: 1", "Retry-After: 8", "Content-Length: 0")
    exchange.write_head("503 Service Unavailable", *lines)


async def spend_the_retries(fleet, other):
    """Leave the fleet no retry."""
    gateway = fleet.gateways[0]
    gateway.write_settings(fleet.store.address, [], bounds=NO_RETRIES)
    gateway.process.send_signal(signal.SIGHUP)
    await eventually(lambda: gateway.process.events(104), 1.0, "the settings are read")
