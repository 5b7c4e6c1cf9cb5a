"""The schema of the operators' file, in the configuration language, and the typed records for its values.

The records map the keys of the file to their field names by `rename`.
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
    """Rate limit for the files of a target, which is one file name in one folder.

    Attributes:
        max_files: maximum number of files written within the window; 0 for no limit.
        window_ms: length of the window, in ms.
        min_interval_ms: minimum time between two files, in ms.
    """

    max_files: int
    window_ms: float
    min_interval_ms: float


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
    """Behaviour of a forwarder that receives nothing from its planner.

    Attributes:
        silence_timeout_ms: time without a message after which a stream loses precedence, in ms.
        lifetime_ms: time for which the tables of the stream remain valid after that, in ms.
        expired_retention_ms: time for which expired tables are kept, in ms.
        fallback: behaviour without tables: distribute requests evenly or refuse them.
    """

    silence_timeout_ms: float
    lifetime_ms: float
    expired_retention_ms: float
    fallback: Literal["even", "refuse"]


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
    """Settings of the file transport, which writes weight tables to files and reads reports from files.

    Attributes:
        enabled: whether the planner uses the file transport.
        output_folder: path of the folder for tables, with subfolders for zones and for forwarders with own tables.
        reports_folder: path of the folder into which forwarders write reports.
        state_folder: path of the folder for the persistent state of readers.
        key_file: path of the key file; empty if files are not signed.
        lifetime_ms: time for which a table is valid after its creation, in ms.
        deltas_per_full_file: number of files with changes between two complete files.
        max_concurrent_writes: maximum number of concurrent writes.
        poll_interval_ms: time between two polls of a folder that cannot be watched, in ms.
        pace: rate limit for each target.
        silent_planner: behaviour of forwarders that receive nothing from their planner.
    """

    enabled: bool
    output_folder: str
    reports_folder: str
    state_folder: str
    key_file: str
    lifetime_ms: float
    deltas_per_full_file: int
    max_concurrent_writes: int
    poll_interval_ms: float
    pace: PaceRecord
    silent_planner: SilentPlannerRecord


class RelayRecord(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"enabled": "on", "plan_file": "plan"},
):
    """Settings of a relay process.

    Attributes:
        enabled: whether the file configures a relay.
        name: name of the relay in the cell plan.
        upstream: address "host:port" of the discovery service, or comma-separated addresses of its replicas.
        plan_file: path of the cell plan, relative to the operators' file.
    """

    enabled: bool
    name: str
    upstream: str
    plan_file: str


class OperatorsRecord(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of the operators' file."""

    files: FilesRecord
    relay: RelayRecord
