"""Stops a listening socket from establishing connections; connections already established can still be accepted.

A backlog of 0 is not enough, as Linux queues one connection more than the backlog. A socket filter (a classic BPF
program, see socket(7)) therefore drops each SYN that arrives at the listening socket. The peer retransmits the SYN, as
it does for any lost packet.
"""

from __future__ import annotations

import contextlib
import ctypes
import socket
import struct
import sys

# Linux socket options that the socket module does not define.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27

TCP_FLAGS_OFFSET_BYTES = 13  # offset of the flags byte in the filter's input, which begins at the TCP header
SYN, ACK = 0x02, 0x10

LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
AND = 0x54  # BPF_ALU | BPF_AND | BPF_K
JUMP_IF_EQUAL = 0x15  # BPF_JMP | BPF_JEQ | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K
# Return values of the filter: the number of bytes of a packet to keep. A packet with none kept is dropped.
KEEP_NO_BYTES, KEEP_ALL_BYTES = 0, 0xFFFFFFFF

# Each instruction is (code, instructions to skip if true, instructions to skip if false, operand).
_INSTRUCTIONS = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET_BYTES),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, KEEP_NO_BYTES),
    (RETURN, 0, 0, KEEP_ALL_BYTES),
)
_PROGRAM = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *fields) for fields in _INSTRUCTIONS))
_FILTER_OPTION = struct.pack("HL", len(_INSTRUCTIONS), ctypes.addressof(_PROGRAM))


def drop_syns(listening_socket: socket.socket) -> None:
    """Stop establishing connections; no effect on systems without socket filters."""
    if sys.platform == "linux":
        with contextlib.suppress(OSError):
            listening_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _FILTER_OPTION)


def pass_syns(listening_socket: socket.socket) -> None:
    """Establish connections again; no effect if no filter is attached."""
    if sys.platform == "linux":
        with contextlib.suppress(OSError):  # ENOENT: no filter is attached
            listening_socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
