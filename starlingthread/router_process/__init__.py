"""The router as an operating-system process: creation of the actors, startup, reload, handover, graceful shutdown."""
