"""Stand-in for the object store of the users' platform.

It implements the published protocol of the store.
"""
