"""Analysis of the records of a run: broken rules, results, evenness of the load, reports. Needs the extra ``lab``."""
