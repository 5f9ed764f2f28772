"""The command line, ``starlingthread``: a module for each command, and what they share.

Exit codes: 0 success; 1 the result fails (a broken rule, a void run, an invalid file); 2 misuse. Modules of the extra
``lab`` are imported inside the functions that use them, so that ``serve`` is as light as ``python -m starlingthread``.
"""
