"""The heads that callers' connections hold are bounded together."""

import pytest

from dotterelpitch.gateway.caller_protocol import max_connections
from dotterelpitch.gateway.head_memory import HeadMemory, memory_of

LINE = b"name: value\r\n"
ORDINARY_HEAD = b"POST /a/b HTTP/1.1\r\n" + b"Some-Header: of a few words\r\n" * 16


class Connection:
    """A connection with some requests that aren't answered."""

    def __init__(self, memory):
        self.open_requests = 0
        self.is_ended = False
        self.heads = memory.hold(lambda: self.open_requests, self.end)

    def end(self):
        self.is_ended = True


# Guards against: heads without end take the memory, or the one who holds most stays.
@pytest.mark.parametrize("lines", [[5, 1, 4], [1, 9], [10]])
def test_connection_that_holds_most_goes_first(lines):
    memory = HeadMemory(limit=memory_of(LINE) * 9)
    connections = [Connection(memory) for _ in lines]
    for connection, count in zip(connections, lines, strict=True):
        connection.heads.grow(LINE * count)
    ended = [connection.is_ended for connection in connections]
    assert ended == [count == max(lines) for count in lines]
    assert memory.used == sum(lines) * memory_of(LINE) - max(lines) * memory_of(LINE)


# Guards against: a connection that is kept counts the heads of all its requests.
def test_answered_requests_give_their_memory_back():
    memory = HeadMemory(limit=memory_of(LINE) * 3)
    connection = Connection(memory)
    for _ in range(10):
        connection.heads.grow(LINE)
        connection.open_requests = 1
        connection.heads.complete(LINE, 1)
        connection.open_requests = 0
    assert not connection.is_ended
    connection.heads.release()
    assert memory.used == 0


# Guards against: ordinary callers on all connections that a VM takes are too many.
@pytest.mark.parametrize("memory_mb", [120, 200, 300, 552])
def test_ordinary_heads_on_all_connections_fit(memory_mb):
    heads = max_connections(memory_mb) * memory_of(ORDINARY_HEAD)
    assert heads <= HeadMemory.for_vm(memory_mb).limit
