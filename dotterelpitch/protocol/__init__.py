"""The inner protocol between processes: typed messages in msgpack frames.

Connections are authenticated by a shared key and multiplex many streams.
"""
