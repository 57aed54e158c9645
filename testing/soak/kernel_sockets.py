"""Which socket of the kernel a connection over the loopback interface ends at."""

from __future__ import annotations

import pathlib
import re
import socket
import struct

_LOOPBACK = socket.inet_aton("127.0.0.1")
_TABLE = pathlib.Path("/proc/net/tcp")
"""Each line has both ends of a connection, in hex, and the inode of its socket."""
_LOCAL, _REMOTE, _INODE = 1, 2, 9
"""Its columns."""

# The kernel's interface for questions about sockets: sock_diag(7).
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_MESSAGE_HEAD = struct.Struct("=IHHII")
_QUESTION_HEAD = struct.Struct("=BBBBI")
_ENDS = struct.Struct("!HH4s12x4s12x")
_ANY_INTERFACE_AND_COOKIE = struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
_ALL_STATES = 0xFFFFFFFF
_PORTS_OFFSET = _MESSAGE_HEAD.size + 4
_INODE_OFFSET = _PORTS_OFFSET + _ENDS.size + len(_ANY_INTERFACE_AND_COOKIE) + 16
_NOT_FOUND = -2
"""The error number of a socket that is not there."""


def socket_between(port: int, listening_port: int) -> str:
    """Return the kernel's name of the socket at ``port`` that is connected to the other one.

    Empty if there is none.
    """
    try:
        inode = _ask(port, listening_port)
    except OSError:
        # A kernel without that interface; its table takes long where it has thousands of lines.
        inode = _look_up(port, listening_port)
    return f"socket:[{inode}]" if inode else ""


def _ask(port: int, listening_port: int) -> int:
    """Return the inode of a socket, 0 if there is none; raises `OSError`."""
    question = b"".join(
        [
            _QUESTION_HEAD.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES),
            _ENDS.pack(port, listening_port, _LOOPBACK, _LOOPBACK),
            _ANY_INTERFACE_AND_COOKIE,
        ]
    )
    size_bytes = _MESSAGE_HEAD.size + len(question)
    head = _MESSAGE_HEAD.pack(size_bytes, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, _NETLINK_SOCK_DIAG) as kernel:
        kernel.settimeout(1.0)
        kernel.send(head + question)
        answer = kernel.recv(65_536)
    _, kind, *_ = _MESSAGE_HEAD.unpack_from(answer)
    if kind == _SOCK_DIAG_BY_FAMILY:
        ports = struct.unpack_from("!HH", answer, _PORTS_OFFSET)
        (inode,) = struct.unpack_from("=I", answer, _INODE_OFFSET)
        # Without such a connection the answer is the socket that listens.
        return int(inode) if ports == (port, listening_port) else 0
    (error,) = struct.unpack_from("=i", answer, _MESSAGE_HEAD.size)
    if error == _NOT_FOUND:
        return 0
    raise OSError(-error, "the kernel refuses the question")


def _look_up(port: int, listening_port: int) -> int:
    """Return the inode of a socket from the table of all connections, 0 if there is none."""
    wanted = re.compile(rf"^ *\d+: \w+:{port:04X} \w+:{listening_port:04X} .*$", re.MULTILINE)
    for line in wanted.findall(_TABLE.read_text()):
        fields = line.split()
        ports = [int(fields[each].rpartition(":")[2], 16) for each in (_LOCAL, _REMOTE)]
        if ports == [port, listening_port]:
            return int(fields[_INODE])
    return 0
