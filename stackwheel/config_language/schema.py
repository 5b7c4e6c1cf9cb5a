"""The schema of the operators' file, in its own notation, and the typed records that a file becomes.

The keys of the file stay as operators know them; `rename` maps them to the field names of this code.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

SCHEMA = """\
// What an installation adds to the plain planner. Everything is off unless it is turned on here.

#Milliseconds: number & >=0 & <=86400000
#Seconds:      number & >0 & <=604800
#Folder:       string & =~"^/[^\\u0000]*$"

files: {                                        // tables, orders and answers as files
    on:      bool | *false
    out:     #Folder | *"/var/lib/stackwheel/out"     // a folder for each zone, and for each forwarder that differs
    answers: #Folder | *"/var/lib/stackwheel/answers" // where forwarders put theirs
    state:   #Folder | *"/var/lib/stackwheel/state"   // what a reader must not forget
    keys:    string | *""                       // a file of keys; without it files are not signed
    life:    #Milliseconds & >=1000 | *30000    // a table may be used so long after it was made
    whole_every: int & >=1 & <=1000 | *20       // changes between two whole files
    under_way:   int & >=1 & <=64 | *16         // writes at once
    poll:    #Milliseconds & >=50 | *1000       // where folders can't be watched, how often they are looked at
    pace: {                                     // for one target
        cap:   int & >=0 & <=1000 | *0          // files within the span; 0: no such limit
        span:  #Milliseconds & >=100 | *10000
        least: #Milliseconds | *100             // between two
    }
    silent: {                                   // a forwarder whose planner says nothing
        silence: #Milliseconds & >=500 | *3000  // a stream unheard of for so long does not prevail
        life:    #Milliseconds | *30000         // of its tables from then on
        keep:    #Milliseconds | *10000         // of tables that are over their time
        after:   *"even" | "refuse"             // then
    }
}

relay: {                                        // a relay process, `stackwheel relay`; planners take no notice of it
    on:       bool | *false
    name:     string | *""                      // its name in the plan
    upstream: string | *""                      // the registry, "host:port", or its replicas with commas between
    plan:     string | *"cells.json"            // the cell plan's file; relative to this file
}
"""


class PaceRecord(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"max_files": "cap", "window_ms": "span", "min_interval_ms": "least"},
):
    """How many files may be written for one target."""

    max_files: int  # within the window; 0: no such limit
    window_ms: float
    min_interval_ms: float  # between two files


class SilentPlannerRecord(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "silence_timeout_ms": "silence",
        "lifetime_ms": "life",
        "expired_retention_ms": "keep",
        "fallback": "after",
    },
):
    """What a forwarder does whose planner sends nothing."""

    silence_timeout_ms: float  # a stream that is silent for so long does not prevail
    lifetime_ms: float  # of its tables from then on
    expired_retention_ms: float  # of tables that have expired
    fallback: Literal["even", "refuse"]  # after that


class FilesRecord(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "enabled": "on",
        "output_folder": "out",
        "reports_folder": "answers",
        "state_folder": "state",
        "key_file": "keys",
        "lifetime_ms": "life",
        "deltas_per_full_file": "whole_every",
        "max_concurrent_writes": "under_way",
        "poll_interval_ms": "poll",
        "silent_planner": "silent",
    },
):
    """Tables, orders and reports as files."""

    enabled: bool
    output_folder: str  # a folder in it for each zone, and for each forwarder that differs
    reports_folder: str  # where forwarders put their reports
    state_folder: str  # what a reader must not forget
    key_file: str  # empty: files are not signed
    lifetime_ms: float  # of a table, from its making
    deltas_per_full_file: int
    max_concurrent_writes: int
    poll_interval_ms: float  # of folders that can't be watched
    pace: PaceRecord
    silent_planner: SilentPlannerRecord


class RelayRecord(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"enabled": "on", "plan_file": "plan"},
):
    """A relay process."""

    enabled: bool
    name: str  # in the cell plan
    upstream: str  # the discovery service's address, or those of its replicas with commas between
    plan_file: str  # the cell plan; relative to the operators' file


class OperatorsRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """All that the operators' file says."""

    files: FilesRecord
    relay: RelayRecord
