"""Stand-ins for consumers, executors and the platform, for the scripts of this review.

They speak what the users' PROTOCOL page says and use the standard library alone.
"""
