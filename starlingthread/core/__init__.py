"""What every dialect shares: the router's actor, its requests and messages, deadlines, mailboxes and counters."""
