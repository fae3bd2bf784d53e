/**
 * Models orders to engines under a lease that is a record in the platform's store. A holder renews the record and sends orders
 * only right after a confirmed renewal. A process that finds the record unchanged for long takes it over and waits before its
 * first order. Answers of the store may arrive late, processes may be suspended, and another writer may overwrite the record at
 * any moment.
 *
 * Time is modelled in the preconditions: what lasts at most one second has ended when something that takes several has passed.
 */
module orders

sig Process {}
sig Revision {}

var one sig Current in Revision {}      -- the record's revision
var sig Used in Revision {}             -- revisions that the record has had
var lone sig Holder in Process {}       -- the process that the record names
var sig Believes in Process {}          -- considers itself the holder
var sig Quiet in Process {}             -- has taken over and waits before its first order
var sig Recent in Process {}            -- its latest renewal took effect within the last second
var sig Confirmed in Process {}         -- has the store's answer to its latest renewal
var sig Sent in Process {}              -- one of its orders is in transit
var sig Hot in Process {}               -- one of its orders is so recent that an order of another process would alternate with it
one sig Known { var of: Process -> lone Revision }  -- the revision that each process has read last

pred init {
  Used = Current and no Holder and no Believes and no Quiet and no Recent and no Confirmed and no Sent and no Hot and no Known.of
}

pred keepRecord { Current' = Current and Used' = Used and Holder' = Holder }
pred keepBelief { Believes' = Believes and Quiet' = Quiet and of' = of }
pred keepTime { Recent' = Recent and Confirmed' = Confirmed and Hot' = Hot and Sent' = Sent }

pred read[p: Process] {
  of' = of ++ Known -> p -> Current
  Believes' = (p in Holder implies Believes + p else Believes - p)
  Quiet in Quiet' and Quiet' in Quiet + p
  (p in Holder and p not in Believes) implies p in Quiet' //@guard who finds itself the holder waits like one that took over
  keepRecord and keepTime
}

-- Another writer replaces the record by one that names any process, or by one that cannot be parsed and so names none.
pred spoil {
  some r: Revision - Used { Current' = r and Used' = Used + r }
  keepBelief and keepTime
}

-- Timing: if the record has been unchanged for long, no renewal and no order is recent.
pred takeOver[p: Process] {
  some Known.of[p] and Known.of[p] = Current and p not in Believes
  no Recent and no Hot
  some r: Revision - Used { Current' = r and Used' = Used + r and of' = of ++ Known -> p -> r }
  Holder' = p and Believes' = Believes + p and Quiet' = Quiet + p
  Confirmed' = Confirmed - p and Recent' = Recent and Hot' = Hot and Sent' = Sent
}

-- Timing: actions of other processes from before the take-over have ended by now.
pred quietEnds[p: Process] {
  p in Quiet and no (Recent - p) and no (Hot - p) and no (Sent - p)
  Quiet' = Quiet - p and Believes' = Believes and of' = of
  keepRecord and keepTime
}

pred renew[p: Process] {
  p in Believes
  Known.of[p] = Current //@guard a renewal is conditional on the revision that the holder knows
  some r: Revision - Used { Current' = r and Used' = Used + r and of' = of ++ Known -> p -> r }
  Holder' = p and Believes' = Believes and Quiet' = Quiet
  Recent' = Recent + p and Confirmed' = Confirmed - p and Hot' = Hot and Sent' = Sent
}

pred confirm[p: Process] {
  p in Believes and Known.of[p] in Used
  Confirmed' = Confirmed + p and Recent' = Recent and Hot' = Hot and Sent' = Sent
  keepRecord and keepBelief
}

pred secondPasses[p: Process] {
  p in Recent
  Recent' = Recent - p and Confirmed' = Confirmed and Hot' = Hot and Sent' = Sent
  keepRecord and keepBelief
}

pred order[p: Process] {
  p in Believes and p in Confirmed
  p in Recent //@guard an order leaves only while both clocks say that the renewal is recent
  p not in Quiet //@guard a new holder waits until any order before its own is long past
  Sent' = Sent + p and Hot' = Hot and Recent' = Recent and Confirmed' = Confirmed
  keepRecord and keepBelief
}

-- Arrival may take long, because a suspended machine or a cut link can delay it.
pred arrive[p: Process] {
  p in Sent
  Sent' = Sent - p and Hot' = Hot + p and Recent' = Recent and Confirmed' = Confirmed
  keepRecord and keepBelief
}

pred orderAges[p: Process] {
  p in Hot and p not in Recent + Sent
  Hot' = Hot - p and Sent' = Sent and Recent' = Recent and Confirmed' = Confirmed
  keepRecord and keepBelief
}

pred idle { keepRecord and keepBelief and keepTime }

fact behaviour {
  init
  always (idle or spoil or some p: Process {
    read[p] or takeOver[p] or quietEnds[p] or renew[p] or confirm[p] or secondPasses[p] or order[p] or arrive[p] or orderAges[p]
  })
}

/** Holders do not alternate: no order arrives while another process's order is recent. */
assert NoTurns { always lone Hot }
check NoTurns for 2 Process, 5 Revision, 17 steps expect 0

/** The lease can change its holder, and both holders can send orders. */
run BothOrder { some disj p, q: Process | eventually (p in Hot and eventually q in Hot) }
  for 2 Process, 5 Revision, 20 steps expect 1
