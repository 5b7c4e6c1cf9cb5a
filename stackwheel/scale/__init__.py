"""Load experiments on one machine: runs of many planners, and measurements of how cost grows with size.

A run (`run`) starts a registry, relays, real planners and hollow planners, which watch the endpoint list but compute
no weight tables, and compares the entries of all planners with the list of the registry. A sweep (`sweep`) measures
one real process between stand-ins at several sizes; `slopes` fits the results, and the `capacity` modules compute the
cost of the fleet from the fits. Only the command line imports this package.
"""
