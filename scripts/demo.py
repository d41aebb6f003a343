"""Runs a small fleet with stand-ins, sends requests, and shows their routing."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from dotterelpitch.load.caller import Answer
from tests.harness.fleet import MODEL, SERVICE, Fleet, FleetShape

SHAPE = FleetShape(
    domains=3, vms_per_domain=2, engines_per_domain=2, plains_per_domain=1
)
CHAT = "chat-42"
QUESTION = {"role": "user", "content": "Describe a scent of rain on warm stone."}
ROUTE_CHOSEN = 401


async def main() -> int:
    """Run the demo; return 0 if all answers are complete, otherwise 1."""
    print("starting 3 failure domains x 2 VMs, 6 engines, 3 plain services ...")
    async with Fleet(SHAPE) as fleet:
        print("ready\n")
        answers = [await _ask(fleet, "d1-v1", [QUESTION])]
        reply = {"role": "assistant", "content": answers[0].text}
        follow_up = {"role": "user", "content": "Shorter, for a label."}
        answers.append(await _ask(fleet, "d3-v2", [QUESTION, reply, follow_up]))
        answers.append(await _look_up(fleet, "d2-v1"))
    return 0 if all(answer.is_complete for answer in answers) else 1


async def _ask(fleet: Fleet, vm: str, messages: list[dict[str, str]]) -> Answer:
    answer = await fleet.caller(vm).chat(MODEL, messages, chat=CHAT)
    print(f"{CHAT} at router {vm}: status {answer.status}, {answer.tokens} tokens")
    print(f"  text:   {answer.text.strip() or answer.error}")
    cached = f"{answer.cached_tokens} of {answer.prompt_tokens} prompt tokens"
    print(f"  engine: {answer.engine} ({cached} were cached)")
    for event in _decisions(fleet, answer.request_id):
        print(f"  why:    {event}")
    print()
    return answer


async def _look_up(fleet: Fleet, vm: str) -> Answer:
    answer = await fleet.caller(vm).call("GET", SERVICE, "/boxes/7")
    print(f"plain call at router {vm}: status {answer.status}, {answer.outcome}")
    print(f"  body:   {answer.text or answer.error}")
    return answer


def _decisions(fleet: Fleet, request_id: str) -> list[dict]:
    return [
        event
        for vm in fleet.vm_by_name.values()
        for event in vm.router.events(ROUTE_CHOSEN)
        if event["request"] == request_id
    ]


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
