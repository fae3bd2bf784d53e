/**
 * Models the attempts at one non-idempotent request without a key. The entry sends an order for each attempt to an endpoint.
 * Orders may be delayed, duplicated and lost; endpoints may crash and restart with an empty memory; leases may expire.
 *
 * A line with the comment "@guard" models a guard of the code. The mutation test removes one of these lines at a time and
 * expects a counterexample.
 */
module attempts

sig Endpoint {}

sig Attempt { at: one Endpoint }

var sig Sent in Attempt {}        -- the entry has sent the order at some time
var sig Order in Attempt {}       -- an order is in transit
var sig Waiting in Attempt {}     -- the endpoint holds the attempt, not started
var sig Started in Attempt {}     -- the endpoint's current incarnation has started it
var sig Sealed in Attempt {}      -- the endpoint holds a tombstone
var sig Proof in Attempt {}       -- an answer "sealed before start" is in transit
var sig StaleProof in Attempt {}  -- the same, but from a later incarnation than the order was sent to
var sig Proved in Attempt {}      -- the entry has accepted the proof
var sig Forgotten in Attempt {}   -- the endpoint has restarted since the order was sent
var sig Ran in Attempt {}         -- the back end has run it
var sig RanAgain in Attempt {}    -- the back end has run it more than once
var lone sig Told in Verdict {}   -- the outcome reported to the caller

abstract sig Verdict {}
one sig NotRun, Unknown, Answered extends Verdict {}

pred init {
  no Sent and no Order and no Waiting and no Started and no Sealed and no Proof and no StaleProof
  no Proved and no Forgotten and no Ran and no RanAgain and no Told
}

pred keepEntry { Sent' = Sent and Proved' = Proved and Told' = Told }
pred keepNetwork { Order' = Order and Proof' = Proof and StaleProof' = StaleProof }
pred keepEndpoint { Waiting' = Waiting and Started' = Started and Sealed' = Sealed and Forgotten' = Forgotten }
pred keepHistory { Ran' = Ran and RanAgain' = RanAgain }

pred send[a: Attempt] {
  a not in Sent and no Told
  Sent in Proved //@guard only what was proved not to have run is tried again
  Sent' = Sent + a and Order' = Order + a
  Proved' = Proved and Told' = Told and Proof' = Proof and StaleProof' = StaleProof
  keepEndpoint and keepHistory
}

pred lose[a: Attempt] {
  a in Order and Order' = Order - a
  Proof' = Proof and StaleProof' = StaleProof
  keepEntry and keepEndpoint and keepHistory
}

-- The order stays in transit, so it may arrive again.
pred deliver[a: Attempt] {
  a in Order
  a not in Sealed //@guard a sealed attempt is refused when its order arrives
  a not in Started //@guard an order that comes twice starts nothing twice
  Waiting' = Waiting + a
  Started' = Started and Sealed' = Sealed and Forgotten' = Forgotten
  keepEntry and keepNetwork and keepHistory
}

pred start[a: Attempt] {
  a in Waiting
  Waiting' = Waiting - a and Started' = Started + a
  Sealed' = Sealed and Forgotten' = Forgotten
  Ran' = Ran + a
  a in Ran implies RanAgain' = RanAgain + a else RanAgain' = RanAgain
  keepEntry and keepNetwork
}

-- The entry requested it, or the lease expired. The tombstone stays.
pred seal[a: Attempt] {
  a in Sent
  a not in Started //@guard what has started is not reported as sealed
  Sealed' = Sealed + a and Waiting' = Waiting - a
  a in Forgotten implies (StaleProof' = StaleProof + a and Proof' = Proof)
    else (Proof' = Proof + a and StaleProof' = StaleProof)
  Started' = Started and Forgotten' = Forgotten and Order' = Order
  keepEntry and keepHistory
}

-- The two proofs differ only in the incarnation that the connection's handshake named.
pred takeProof[a: Attempt] {
  a in Proof + StaleProof
  a in Proof //@guard a proof counts only from the incarnation that the order was sent to
  Proved' = Proved + a and Sent' = Sent and Told' = Told
  keepNetwork and keepEndpoint and keepHistory
}

-- Orders are bound to their connection, which ends with the process.
pred crash[e: Endpoint] {
  let gone = at.e {
    Waiting' = Waiting - gone and Started' = Started - gone and Sealed' = Sealed - gone
    Forgotten' = Forgotten + (gone & Sent)
    Order' = Order - gone
  }
  Proof' = Proof and StaleProof' = StaleProof
  keepEntry and keepHistory
}

pred tell[v: Verdict] {
  no Told //@guard a caller is told once
  v = NotRun implies Sent in Proved //@guard not run is said only when every attempt is proved
  v = Answered implies some Ran
  Told' = v and Sent' = Sent and Proved' = Proved
  keepNetwork and keepEndpoint and keepHistory
}

pred stutter { keepEntry and keepNetwork and keepEndpoint and keepHistory }

fact behaviour {
  init
  always {
    stutter
    or (some a: Attempt | send[a] or lose[a] or deliver[a] or start[a] or seal[a] or takeProof[a])
    or (some e: Endpoint | crash[e])
    or (some v: Verdict | tell[v])
  }
}

assert runsAtMostOnce { always (lone Ran and no RanAgain) }
assert notRunIsTrueForEver { always (Told = NotRun implies always no Ran) }
assert toldOnce { always all v: Verdict | Told = v implies always Told = v }

run canAnswer { eventually Told = Answered } for 2 but 8 steps
run canRetryAndAnswer { eventually (#Sent = 2 and Told = Answered) } for 2 but 10 steps
run canProve { eventually (some Sent and Told = NotRun) } for 2 but 8 steps
check runsAtMostOnce for 3 Attempt, 2 Endpoint, 3 Verdict, 11 steps
check notRunIsTrueForEver for 3 Attempt, 2 Endpoint, 3 Verdict, 11 steps
check toldOnce for 2 Attempt, 2 Endpoint, 3 Verdict, 9 steps
