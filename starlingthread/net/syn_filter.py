"""Keeps a listening socket from establishing connections, while those that it has established can still be accepted.

A backlog of 0 does not: Linux queues one connection more than the backlog says. So a socket filter (a classic BPF
program, see socket(7)) drops each SYN that arrives at the listening socket. The peer sends it again, as for any lost
packet.
"""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
import sys

SO_ATTACH_FILTER = 26  # Linux; the socket module does not name them
SO_DETACH_FILTER = 27

TCP_FLAGS_OFFSET = 13  # of the byte with the flags in a TCP header, at which the filter's data begin
SYN, ACK = 0x02, 0x10

LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K
DROP, PASS = 0, 0xFFFFFFFF  # bytes of the packet that are kept

_INSTRUCTIONS = (  # code, instructions to skip if true, if false, operand
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, PASS),
)
_PROGRAM = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *fields) for fields in _INSTRUCTIONS))
_FILTER_OPTION = struct.pack("HL", len(_INSTRUCTIONS), ctypes.addressof(_PROGRAM))


def drop_syns(listening: socket.socket) -> None:
    """Let no further connection be established; without effect where the system has no socket filters."""
    if sys.platform == "linux":
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _FILTER_OPTION)


def pass_syns(listening: socket.socket) -> None:
    """Let connections be established again; without effect if they are."""
    if sys.platform == "linux":
        with contextlib.suppress(OSError):  # ENOENT: there is no filter
            listening.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
