"""Share settings, events, codecs and the log client between node and command line."""
