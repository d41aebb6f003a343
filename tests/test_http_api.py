"""Unexpected errors of the router itself.

A handler that raises must give the caller a problem document with an outcome. Once
the response has started, it must break the connection instead, so that the caller
can't take a truncated response for a complete one.
"""

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from dotterelpitch.clock import SystemClock
from dotterelpitch.router.http_api import HttpApi
from dotterelpitch.router.state import FleetState


@pytest.fixture
def api():
    return HttpApi(FleetState(), None, None, None, SystemClock(), 1000)


def create_client(api, handler):
    """Return a test client of an application with ``handler`` at ``/``."""
    application = api.application()
    application.router.add_get("/", api._wrap(handler))
    return TestClient(TestServer(application))


async def test_error_before_response_has_outcome(api):
    async def fail(request, request_id):
        raise RuntimeError("bug")

    async with create_client(api, fail) as client:
        answer = await client.get("/")
        problem = await answer.json()
    assert (answer.status, problem["outcome"]) == (500, "unknown")
    assert answer.headers["Dotterelpitch-Outcome"] == "unknown"
    assert "bug" not in problem["detail"]


async def test_error_mid_response_never_looks_complete(api):
    async def fail(request, request_id):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"part")
        raise RuntimeError("bug")

    async with create_client(api, fail) as client:
        answer = await client.get("/")
        with pytest.raises(aiohttp.ClientPayloadError):
            await answer.read()
