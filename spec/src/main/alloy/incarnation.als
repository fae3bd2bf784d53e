/**
 * Models one endpoint that restarts under the same id, as an entry sees it: registrations and reports that arrive late, orders
 * that are based on a report, and bookings of an incarnation that may have ended. A Life is an incarnation.
 *
 * An order names the endpoint's id and the count of orders from the report. Both may be equal in two incarnations (none has
 * accepted an order at its start), so they prove nothing here and are not modelled. The platform may itself delay an order past
 * a restart; that is not modelled either, and no guard of the entry prevents it.
 */
module incarnation

open util/ordering[Life]

sig Life {}
sig Connection { to: one Life }      -- ends with the process that accepted it

var one sig Alive in Life {}         -- the incarnation that runs
var sig Registered in Life {}        -- incarnations of which a registration may still arrive
var lone sig Known in Life {}        -- the incarnation that the entry takes as current
var sig Reporting in Connection {}   -- reports that were sent and have not arrived yet
var lone sig Believed in Life {}     -- the incarnation that the entry holds a report for
var lone sig Source in Connection {} -- the connection over which this report arrived
var lone sig Order in Connection {}  -- an order is in transit over the connection
var lone sig Reason in Life {}       -- the incarnation on whose report that order is based
var sig Ordered in Life {}           -- has accepted an order
var sig Misled in Life {}            -- has accepted an order based on another incarnation's report
var lone sig Booking in Life {}      -- the entry holds a booking or a KV handle of this incarnation
var sig Misused in Life {}           -- its booking was sent when the entry knew another incarnation

pred init {
  Alive = first and no Registered and no Known and no Reporting and no Believed and no Source
  no Order and no Reason and no Ordered and no Misled and no Booking and no Misused
}

pred keepEndpoint { Alive' = Alive and Ordered' = Ordered and Misled' = Misled }
pred keepNetwork { Registered' = Registered and Reporting' = Reporting and Order' = Order and Reason' = Reason }
pred keepBelief { Believed' = Believed and Source' = Source }
pred keepBooking { Booking' = Booking and Misused' = Misused }

pred restart {
  some next[Alive]
  Alive' = next[Alive] and Ordered' = Ordered and Misled' = Misled
  Known' = Known and keepNetwork and keepBelief and keepBooking
}

pred register {
  Registered' = Registered + Alive
  Reporting' = Reporting and Order' = Order and Reason' = Reason
  Known' = Known and keepEndpoint and keepBelief and keepBooking
}

-- Listings may arrive late and in any order.
pred listed[l: Life] {
  l in Registered
  l not in prevs[Known] //@guard a registration of an earlier life changes nothing
  Known' = l
  keepEndpoint and keepNetwork and keepBelief and keepBooking
}

pred report[c: Connection] {
  c.to = Alive
  Reporting' = Reporting + c
  Registered' = Registered and Order' = Order and Reason' = Reason
  Known' = Known and keepEndpoint and keepBelief and keepBooking
}

-- A report that was in transit when the process ended may still arrive.
pred reportTaken[c: Connection] {
  c in Reporting and some Known
  c.to = Known //@guard a report counts only for the life that it is of
  Believed' = Known and Source' = c and Reporting' = Reporting - c
  Registered' = Registered and Order' = Order and Reason' = Reason
  Known' = Known and keepEndpoint and keepBooking
}

pred reportEndsLife[c: Connection] {
  c in Reporting
  c.to in nexts[Known] //@guard only the report of a later life ends the one known
  Known' = c.to and Reporting' = Reporting - c
  Registered' = Registered and Order' = Order and Reason' = Reason
  keepEndpoint and keepBelief and keepBooking
}

pred order[c: Connection] {
  Believed = Known and some Source
  c = Source //@guard an order leaves over the connection that brought its report
  Order' = c and Reason' = Source.to
  Registered' = Registered and Reporting' = Reporting
  Known' = Known and keepEndpoint and keepBelief and keepBooking
}

pred orderArrives {
  some Order and Order.to = Alive
  Ordered' = Ordered + Alive and Alive' = Alive
  Reason = Alive implies Misled' = Misled else Misled' = Misled + Alive
  no Order' and no Reason' and Registered' = Registered and Reporting' = Reporting
  Known' = Known and keepBelief and keepBooking
}

pred book {
  some Known
  Booking' = Known and Misused' = Misused
  Known' = Known and keepEndpoint and keepNetwork and keepBelief
}

pred useBooking {
  some Booking
  Booking = Known //@guard what a life holds is asked for only while it is the life known
  Booking = Known implies Misused' = Misused else Misused' = Misused + Booking
  no Booking'
  Known' = Known and keepEndpoint and keepNetwork and keepBelief
}

pred stutter { Known' = Known and keepEndpoint and keepNetwork and keepBelief and keepBooking }

fact behaviour {
  init
  always {
    stutter or restart or register or orderArrives or book or useBooking
    or (some l: Life | listed[l])
    or (some c: Connection | report[c] or reportTaken[c] or reportEndsLife[c] or order[c])
  }
}

assert neverBackToAnEarlierLife { always all l: Life | Known = l implies always Known not in prevs[l] }
assert believedIsWhatThatLifeSaid { always (some Believed implies Believed = Source.to) }
assert noOrderRestsOnAnotherLife { always no Misled }
assert noBookingOutlivesItsLife { always no Misused }

run canOrderBothLives { eventually #Ordered = 2 } for 2 but 14 steps
run canLearnOfARestartByReport { eventually (Known = first and eventually (Known = last and last not in Registered)) }
  for 2 but 8 steps
check neverBackToAnEarlierLife for 3 but 9 steps
check believedIsWhatThatLifeSaid for 3 but 9 steps
check noOrderRestsOnAnotherLife for 3 but 10 steps
check noBookingOutlivesItsLife for 3 but 9 steps
