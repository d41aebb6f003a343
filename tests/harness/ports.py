"""Free TCP ports that no other test process on this machine uses.

A port is reserved by binding the UDP port of the same number, which dotterelpitch
doesn't use, until this test process ends.
"""

import os
import random
import socket

FIRST_PORT = 10_000
LAST_PORT = 31_999  # Below the kernel's ephemeral port range.
_random = random.Random(os.urandom(8))
_reservation_by_port: dict[int, socket.socket] = {}


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port on which nothing listens and reserve it."""
    while True:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _reservation_by_port and _reserve(host, port):
            return port


def free_address(host: str = "127.0.0.1") -> str:
    """Return ``host:port`` with a free port, which is reserved."""
    return f"{host}:{free_port(host)}"


def _reserve(host: str, port: int) -> bool:
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((host, port))
        with socket.socket() as probe:
            probe.bind((host, port))
    except OSError:
        reservation.close()
        return False
    _reservation_by_port[port] = reservation
    return True
