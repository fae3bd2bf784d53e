/**
 * Models engine memory. Places are booked in the endpoint's ledger, held by the engine, and released when the caller has
 * disconnected, the entry's lease expires, or the work ends. Cancellation and end may cross in transit; the entry may crash.
 */
module memory

sig Attempt {}

var sig Booked in Attempt {}    -- the ledger counts a place
var sig Held in Attempt {}      -- the engine holds memory
var sig Leased in Attempt {}    -- the entry's heartbeats still name it
var sig Gone in Attempt {}      -- the caller has disconnected, or the entry has crashed
var sig Sealed in Attempt {}    -- may no longer start
var sig Cancelling in Attempt {}-- the engine has been asked to drop it
var sig Ever in Attempt {}      -- was booked at some time
var sig Released in Attempt {}  -- has released its place
var sig ReleasedAgain in Attempt {}

pred init { no Booked and no Held and no Leased and no Gone and no Sealed and no Cancelling and no Ever
  no Released and no ReleasedAgain }

pred keepLedger { Booked' = Booked and Ever' = Ever and Released' = Released and ReleasedAgain' = ReleasedAgain }
pred keepEngine { Held' = Held and Cancelling' = Cancelling }
pred keepEntry { Leased' = Leased and Gone' = Gone }

pred book[a: Attempt] {
  a not in Ever and a not in Gone and a not in Sealed
  Booked' = Booked + a and Ever' = Ever + a and Leased' = Leased + a
  Released' = Released and ReleasedAgain' = ReleasedAgain and Gone' = Gone and Sealed' = Sealed
  keepEngine
}

pred start[a: Attempt] {
  a not in Held
  a in Booked //@guard the engine works only on what holds a place
  Held' = Held + a and Cancelling' = Cancelling and Sealed' = Sealed
  keepLedger and keepEntry
}

pred callerGone[a: Attempt] {
  a in Ever and a not in Gone
  Gone' = Gone + a and Leased' = Leased and Sealed' = Sealed
  keepLedger and keepEngine
}

-- An entry stops naming an attempt whose caller has disconnected; a crashed entry names none.
pred lapse[a: Attempt] {
  a in Gone & Leased
  Leased' = Leased - a and Gone' = Gone and Sealed' = Sealed
  keepLedger and keepEngine
}

-- The endpoint's timer finds the attempts that no heartbeat has named for the length of a lease.
pred sweep {
  let lapsed = Booked - Leased {
    Sealed' = Sealed + lapsed
    Cancelling' = Cancelling + (lapsed & Held)
    releasing[lapsed - Held]
  }
  Held' = Held
  keepEntry
}

pred releasing[those: set Attempt] {
  let counted = those & Booked | //@ledger
  Booked' = Booked - those and Released' = Released + those
    and ReleasedAgain' = ReleasedAgain + (Released & counted) and Ever' = Ever
}

-- The engine has dropped the work, and the endpoint is informed.
pred dropped[a: Attempt] {
  a in Cancelling
  Held' = Held - a and Cancelling' = Cancelling - a and Sealed' = Sealed
  releasing[a]
  keepEntry
}

pred finished[a: Attempt] {
  a in Held
  Held' = Held - a and Cancelling' = Cancelling and Sealed' = Sealed + a
  releasing[a]
  keepEntry
}

pred stutter { Sealed' = Sealed and keepLedger and keepEngine and keepEntry }

fact behaviour {
  init
  always {
    stutter or sweep
    or (some a: Attempt | book[a] or start[a] or callerGone[a] or lapse[a] or dropped[a] or finished[a])
  }
}

-- Fairness that a bound requires: leases expire, the timer sweeps and the engine carries out cancellations, each repeatedly.
pred fair {
  all a: Attempt | always (a in Gone & Leased implies eventually a not in Leased)
  all a: Attempt | always (a in Cancelling implies eventually a not in Cancelling)
  always eventually sweep //@guard the endpoint looks for lapsed leases again and again
}

assert freedWhenGone { fair implies always all a: Attempt | a in Gone implies eventually always a not in Held + Booked }
assert neverCountedFreeWhileHeld { always Held in Booked }
assert givenBackOnce { always no ReleasedAgain }

run canServe { eventually (some Held and eventually some Released) } for 2 but 6 steps
run canLose { fair and eventually (some Held & Gone) and eventually (some Gone and no Held) } for 2 but 9 steps
check freedWhenGone for 2 but 9 steps
check neverCountedFreeWhileHeld for 3 but 10 steps
check givenBackOnce for 3 but 10 steps
