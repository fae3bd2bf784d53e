/**
 * Models one idempotency key within its retention time. The endpoint to which rendezvous hashing assigns the key (here: the
 * greatest member of an entry's view) remembers the key and runs it. Views lag; members join, crash, restart and shut down as
 * planned; two entries act concurrently.
 */
module keys
open util/ordering[Endpoint]

sig Endpoint {}

sig Entry { 
  var view: set Endpoint,       -- the members that the entry knows of
  var listed: set Endpoint,     -- the endpoints that an inquiry must ask: all members so far, by a fresh read of the list
  var denied: set Endpoint      -- the endpoints that have denied the key in this inquiry and are now fenced
}

var sig Member in Endpoint {}     -- the platform's list
var sig Alive in Endpoint {}      -- the process runs
var sig Joined in Endpoint {}     -- was a member at some time
var sig Changed in Entry {}       -- the entry has seen its view change, or has no earlier view
var sig Restarted in Endpoint {}  -- the process is not the first incarnation under its name
var sig Blank in Endpoint {}      -- the process has a predecessor that crashed and may have seen the key
var sig Seen in Endpoint {}       -- claimed here, in memory
var sig Fenced in Endpoint {}     -- fenced here, in memory
var sig Wrote in Endpoint {}      -- shut down as planned and reported that it knew the key
var sig Ran in Endpoint {}
var sig RanAgain in Endpoint {}

fun holder[e: Entry]: lone Endpoint { max[e.view] }

pred init {
  some Member and Alive = Member and Joined = Member
  all e: Entry | e.view = Member
  no denied and no listed and no Changed and no Restarted and no Blank and no Seen and no Fenced and no Wrote and no Ran and no RanAgain
}

pred keepList { Member' = Member and Joined' = Joined }
pred keepEntries { view' = view and listed' = listed and denied' = denied and Changed' = Changed }
pred keepMemory { Seen' = Seen and Fenced' = Fenced and Blank' = Blank and Wrote' = Wrote and Alive' = Alive
  Restarted' = Restarted }
pred keepHistory { Ran' = Ran and RanAgain' = RanAgain }

pred join[p: Endpoint] {
  p not in Member and p not in Alive and p not in Joined
  Member' = Member + p and Joined' = Joined + p and Alive' = Alive + p
  Seen' = Seen and Fenced' = Fenced and Blank' = Blank and Wrote' = Wrote and Restarted' = Restarted
  keepEntries and keepHistory
}

pred unlist[p: Endpoint] {
  p in Member and some Member - p
  Member' = Member - p and Joined' = Joined
  keepEntries and keepMemory and keepHistory
}

pred crash[p: Endpoint] {
  p in Alive
  Alive' = Alive - p and Seen' = Seen - p and Fenced' = Fenced - p
  Blank' = Blank + p and Wrote' = Wrote and Restarted' = Restarted
  keepList and keepEntries and keepHistory
}

-- A planned shutdown: the process reports seen and fenced keys before it ends.
pred leave[p: Endpoint] {
  p in Alive
  Alive' = Alive - p and Seen' = Seen - p and Fenced' = Fenced - p
  p in Seen + Fenced + Wrote implies Wrote' = Wrote + p else Wrote' = Wrote
  Blank' = Blank and Restarted' = Restarted
  keepList and keepEntries and keepHistory
}

pred restart[p: Endpoint] {
  p in Member and p not in Alive
  Alive' = Alive + p and Seen' = Seen and Fenced' = Fenced and Blank' = Blank and Wrote' = Wrote
  Restarted' = Restarted + p
  let doubting = { e: Entry | holder[e] = p } |
    listed' = listed - (doubting -> Endpoint) and denied' = denied - (doubting -> Endpoint)
  view' = view and Changed' = Changed
  keepList and keepHistory
}

pred refresh[e: Entry] {
  view' = view - (e -> Endpoint) + (e -> Member)
  listed' = listed - (e -> Endpoint) and denied' = denied - (e -> Endpoint)
  Changed' = Changed + e
  keepList and keepMemory and keepHistory
}

-- The holder has reported that it is in doubt. An inquiry begins with a fresh read of the list of members.
pred begin[e: Entry] {
  no e.listed and holder[e] in Alive
  listed' = listed + (e -> Joined) and denied' = denied and view' = view and Changed' = Changed
  keepList and keepMemory and keepHistory
}

-- Asks an endpoint about the key. An endpoint that has not seen the key fences it.
pred inquire[e: Entry, p: Endpoint] {
  p in e.listed and p != holder[e]
  p in Alive implies {
    p not in Seen
    p not in Blank + Wrote //@guard a process whose predecessor may have seen the key does not deny it
    Fenced' = Fenced + p //@fence
  } else {
    p not in Blank //@guard of a process that crashed nothing is known
    p not in Wrote //@guard what a process said when it left counts
    Fenced' = Fenced
  }
  denied' = denied + (e -> p) and listed' = listed and view' = view and Changed' = Changed
  Seen' = Seen and Blank' = Blank and Wrote' = Wrote and Alive' = Alive and Restarted' = Restarted
  keepList and keepHistory
}

-- An endpoint that joined after the inquiry began cannot accept the key without asking the holder in turn.
pred allDenied[e: Entry] { some e.listed and e.listed - holder[e] in e.denied }

pred claim[e: Entry] {
  let h = holder[e] {
    h in Alive
    h not in Seen //@guard a key that was claimed is answered from memory
    h not in Fenced //@guard a key that has moved is not run
    h not in Blank + Wrote //@guard a holder whose predecessor may have seen the key does not run it
    h not in Restarted or allDenied[e] //@guard a restarted holder asks the others first, for its predecessor's denial counted
    e not in Changed or allDenied[e] //@guard after a change of members the others are asked first
    Seen' = Seen + h and Ran' = Ran + h
    h in Ran implies RanAgain' = RanAgain + h else RanAgain' = RanAgain
  }
  Fenced' = Fenced and Blank' = Blank and Wrote' = Wrote and Alive' = Alive and Restarted' = Restarted
  keepList and keepEntries
}

pred stutter { keepList and keepEntries and keepMemory and keepHistory }

fact behaviour {
  init
  always {
    stutter
    or (some p: Endpoint | join[p] or unlist[p] or crash[p] or leave[p] or restart[p])
    or (some e: Entry | refresh[e] or begin[e] or claim[e])
    or (some e: Entry, p: Endpoint | inquire[e, p])
  }
}

assert runsAtMostOnce { always (lone Ran and no RanAgain) }

run canRun { eventually some Ran } for 3 Endpoint, 2 Entry, 5 steps
run canRunAfterAChange { eventually (some Changed and some e: Entry | e in Changed and no Ran and after some Ran) } for 3 Endpoint, 1 Entry, 8 steps
-- A larger scope, checked by hand in two minutes: for 3 Endpoint, 2 Entry, 10 steps.
check runsAtMostOnce for 2 Endpoint, 2 Entry, 10 steps
check runsAtMostOnce for 3 Endpoint, 2 Entry, 8 steps
