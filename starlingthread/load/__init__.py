"""An open-loop load tool: clients that send each request when it is due. Needs the extra ``lab``."""
