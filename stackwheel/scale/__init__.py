"""Load experiments on one machine: runs of many planners against a registry stand-in, and costs against size.

A run (`run`) starts a registry, relays, real planners and hollow ones, which follow the list but decide nothing, and
compares all planners' entries with the list. A sweep (`sweep`) measures one real process between stand-ins at several
sizes; `slopes` fits the results, and the `capacity` modules compute the cost of the fleet from the fits. Nothing below
this package imports it.
"""
