"""The protocol-independent part of a router: its actor, requests, messages, deadlines, mailboxes and counters."""
