"""What the records of a run show: broken rules, results, evenness of the load, and reports. Needs the extra ``lab``."""
