/**
 * Models accepted catalogue versions. Operators propose versions, reviewers accept them by conditional update, and processes
 * adopt what the store or a peer offers. Reads may be stale, the store may revert to an older state, and processes may restart
 * without a catalogue.
 */
module catalogue
open util/ordering[Version]

sig Version {}

sig Manifest { version: one Version }

one sig Store { var accepted: one Manifest }

sig Reviewer { var read: lone Manifest }

sig Process { var current: lone Manifest }

var sig Accepted in Manifest {}   -- accepted at some time

pred init {
  Store.accepted.version = first
  Accepted = Store.accepted
  no read and no current
}

pred keepReviewers { read' = read }
pred keepProcesses { current' = current }
pred keepStore { accepted' = accepted and Accepted' = Accepted }

pred reads[r: Reviewer] {
  read' = read - (r -> Manifest) + (r -> Store.accepted)
  keepStore and keepProcesses
}

pred accept[r: Reviewer, m: Manifest] {
  some r.read
  m.version = next[r.read.version] //@guard a proposal is numbered one above what it was made from
  r.read = Store.accepted //@guard the write is conditional on what was read
  accepted' = Store -> m and Accepted' = Accepted + m
  keepReviewers and keepProcesses
}

-- The store, possibly stale, or a peer may offer any manifest that was ever accepted.
pred adopt[p: Process, m: Manifest] {
  m in Accepted
  some p.current implies gt[m.version, p.current.version] //@guard an older version is never taken
  current' = current - (p -> Manifest) + (p -> m)
  keepStore and keepReviewers
}

pred restart[p: Process] {
  current' = current - (p -> Manifest)
  keepStore and keepReviewers
}

pred stutter { keepStore and keepReviewers and keepProcesses }

fact behaviour {
  init
  always {
    stutter
    or (some r: Reviewer | reads[r])
    or (some r: Reviewer, m: Manifest | accept[r, m])
    or (some p: Process, m: Manifest | adopt[p, m])
    or (some p: Process | restart[p])
  }
}

assert neverReverts {
  always all p: Process | (some p.current and some p.current') implies gte[p.current'.version, p.current.version]
}
assert oneManifestAVersion { always all disj m, n: Accepted | m.version != n.version }

run canChangeTwice { eventually some p: Process | p.current.version = last } for 3 but 9 steps
check neverReverts for 3 but 10 steps
check oneManifestAVersion for 4 but 3 Version, 10 steps
