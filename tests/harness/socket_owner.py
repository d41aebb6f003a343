"""Finds out which process has opened a loopback connection."""

import os
import socket
import struct
from pathlib import Path

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_FLAG = 1
# Offset of the inode in the reply: behind the message header and before its end.
_INODE_OFFSET = 16 + 68
_NO_COOKIE = 0xFFFFFFFF


def find_owner(
    local: tuple[str, int], remote: tuple[str, int], name_by_pid: dict[int, str]
) -> str:
    """Return the name of the process whose socket has these addresses, or "".

    ``local`` is its own address and ``remote`` the one that it has connected to.
    """
    inode = _find_inode(local, remote)
    for pid, name in name_by_pid.items():
        if inode and _has_socket(pid, inode):
            return name
    return ""


def _find_inode(local: tuple[str, int], remote: tuple[str, int]) -> int:
    """Ask the kernel for one socket; reading the list of all would take long."""
    address = struct.pack(
        "!HH4s12x4s12xI",
        local[1],
        remote[1],
        socket.inet_aton(local[0]),
        socket.inet_aton(remote[0]),
        0,
    )
    cookie = struct.pack("II", _NO_COOKIE, _NO_COOKIE)
    body = (
        struct.pack("BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, _NO_COOKIE)
        + address
        + cookie
    )
    header = struct.pack(
        "IHHII", 16 + len(body), _SOCK_DIAG_BY_FAMILY, _REQUEST_FLAG, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + body)
        reply = netlink.recv(4096)
    if struct.unpack_from("IH", reply)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("I", reply, _INODE_OFFSET)[0]


def _has_socket(pid: int, inode: int) -> bool:
    wanted = f"socket:[{inode}]"
    try:
        return any(
            _target_of(entry) == wanted for entry in Path(f"/proc/{pid}/fd").iterdir()
        )
    except OSError:
        return False


def _target_of(entry: Path) -> str:
    try:
        return os.readlink(entry)
    except OSError:
        return ""
