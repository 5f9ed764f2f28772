"""The command line ``starlingthread``: a module for each command, and shared modules.

Exit codes: 0 success; 1 failure (a broken rule, a void run, an invalid file); 2 misuse. Modules of the extra
``lab`` are imported inside the functions that use them, so that ``serve`` does not load them.
"""
