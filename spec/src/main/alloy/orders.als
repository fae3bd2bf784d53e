/**
 * Orders to engines under a lease that is a record in the platform's store. A holder renews the record and orders only right
 * after a renewal that is confirmed; a process that finds the record unchanged for long takes it over and waits before its
 * first order. Answers of the store may come late, processes may be suspended, and another writer may spoil the record at any
 * moment.
 *
 * Time is in the preconditions: what lasts at most one second has ended when something that takes several has passed.
 */
module orders

sig Process {}
sig Revision {}

var one sig Current in Revision {}      -- the record's revision
var sig Used in Revision {}             -- revisions that the record has had
var lone sig Holder in Process {}       -- whom the record names
var sig Believes in Process {}          -- takes itself for the holder
var sig Quiet in Process {}             -- has taken over and waits before its first order
var sig Recent in Process {}            -- its newest renewal took effect within the last second
var sig Confirmed in Process {}         -- has the store's answer to its newest renewal
var sig Sent in Process {}              -- an order of its is on its way
var sig Hot in Process {}               -- an order of its is so new that another's would take turns with it
one sig Known { var of: Process -> lone Revision }  -- the revision each has seen last

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

-- Another writer replaces the record: by one that names anyone, or by one that can't be read and so names nobody.
pred spoil {
  some r: Revision - Used { Current' = r and Used' = Used + r }
  keepBelief and keepTime
}

-- Timing: a record that has stood still for long means that no renewal is recent and no order new.
pred takeOver[p: Process] {
  some Known.of[p] and Known.of[p] = Current and p not in Believes
  no Recent and no Hot
  some r: Revision - Used { Current' = r and Used' = Used + r and of' = of ++ Known -> p -> r }
  Holder' = p and Believes' = Believes + p and Quiet' = Quiet + p
  Confirmed' = Confirmed - p and Recent' = Recent and Hot' = Hot and Sent' = Sent
}

-- Timing: what others did before the take-over has ended by now.
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

-- Arrival may take long: a suspended machine or a cut link holds it up.
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

/** Holders don't take turns: no order comes while another process's order is new. */
assert NoTurns { always lone Hot }
check NoTurns for 2 Process, 5 Revision, 17 steps expect 0

/** The lease can change hands, and both holders can order. */
run BothOrder { some disj p, q: Process | eventually (p in Hot and eventually q in Hot) }
  for 2 Process, 5 Revision, 20 steps expect 1
