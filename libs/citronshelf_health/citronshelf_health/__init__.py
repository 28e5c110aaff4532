"""Failure detection, ejection and readmission of backend servers."""
