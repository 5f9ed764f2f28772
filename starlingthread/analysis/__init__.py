"""Analysis of the records of a run: rule violations, results, load evenness, reports. Needs the extra ``lab``."""
