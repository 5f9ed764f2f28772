"""The router as an operating-system process: wiring of the actors, startup, reload, handover and graceful shutdown."""
