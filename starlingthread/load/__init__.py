"""An open-loop load tool: clients send each request at its scheduled time. Requires the extra ``lab``."""
