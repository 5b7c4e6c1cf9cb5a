"""The schema of the operators' file, in its own notation, and the typed records it becomes."""

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


class FilePace(Struct, frozen=True, forbid_unknown_fields=True):
    cap: int
    span: float
    least: float


class Silent(Struct, frozen=True, forbid_unknown_fields=True):
    silence: float
    life: float
    keep: float
    after: Literal["even", "refuse"]


class Files(Struct, frozen=True, forbid_unknown_fields=True):
    on: bool
    out: str
    answers: str
    state: str
    keys: str
    life: float
    whole_every: int
    under_way: int
    poll: float
    pace: FilePace
    silent: Silent


class Relay(Struct, frozen=True, forbid_unknown_fields=True):
    on: bool
    name: str
    upstream: str
    plan: str


class Operators(Struct, frozen=True, forbid_unknown_fields=True):
    """All that the operators' file says; times in ms."""

    files: Files
    relay: Relay
