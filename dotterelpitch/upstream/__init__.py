"""HTTP/1.1 client connections to engines that track exactly what was sent.

HTTP client libraries hide three things that the gateway must know: whether any byte
of a request may have been sent, how a response without a length ended, and how long a
connection has been idle. So the connections are implemented here, on ``asyncio``
and the parser of ``httptools``.
"""
