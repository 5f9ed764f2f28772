"""What every dialect shares: the module's actor, its deadlines, mailboxes and counters."""
