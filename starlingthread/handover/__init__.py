"""Socket handover: during an upgrade, the old process passes its listening sockets to the new one."""
