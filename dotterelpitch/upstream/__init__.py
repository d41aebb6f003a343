"""HTTP/1.1 connections to engines, with an exact account of what was sent.

An HTTP client library hides three things that the router must know: whether a
byte of a request may have left, how an answer without a length has ended, and
how long a connection has been idle. So the connections are built here on
``asyncio`` and the parser of ``httptools``.
"""
