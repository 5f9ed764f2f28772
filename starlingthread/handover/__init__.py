"""Socket handover: during an upgrade an old process passes its listening sockets on to a new one."""
