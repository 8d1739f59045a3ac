"""Provide settings, events, codecs and the log client to nodes and tools."""
