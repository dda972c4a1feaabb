------------------------------- MODULE Lease -------------------------------
(* The lease of one group of engines: routers append bids to a log stream, the  *)
(* holder may pause at any point and sends orders to an engine that checks      *)
(* fencing numbers (Fenced) or ignores them. A record is valid only at the      *)
(* position that it names. Each of the last four constants removes one guard.   *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS Routers, Term, LongestOrder, MaxTime, MaxLog,
          Fenced, CountFromAnswer, SkipWait, NoFencing, IgnorePosition

VARIABLES now, log, net, applied, last, until, fence, since, ready, orders,
          engine, back, backLate

vars == <<now, log, net, applied, last, until, fence, since, ready, orders,
          engine, back, backLate>>

router == <<applied, last, until, fence, since, ready>>
engines == <<engine, back, backLate>>

Init ==
    /\ now = 0
    /\ log = <<>>
    /\ net = {}
    /\ applied = [r \in Routers |-> 0]
    /\ last = [r \in Routers |-> 0]
    /\ until = [r \in Routers |-> 0]
    /\ fence = [r \in Routers |-> 0]
    /\ since = [r \in Routers |-> 0]
    /\ ready = [r \in Routers |-> 0]
    /\ orders = {}
    /\ engine = 0
    /\ back = FALSE
    /\ backLate = FALSE

Holds(r) == now < until[r]

(* An order is delivered or lost within LongestOrder of being sent. *)
Tick ==
    /\ now < MaxTime
    /\ \A o \in orders : now < o.sent + LongestOrder
    /\ now' = now + 1
    /\ UNCHANGED <<log, net, router, orders, engines>>

MaySend(r) ==
    /\ \A m \in net : m.by # r
    /\ Len(log) + Cardinality(net) < MaxLog

(* A candidate bids when the last valid record is at least a term old; last is  *)
(* the time at which the router read that record, plus the term.                *)
Bid(r) ==
    /\ ~Holds(r)
    /\ MaySend(r)
    /\ now >= last[r]
    /\ net' = net \union {[by |-> r, pos |-> applied[r] + 1, sent |-> now, fence |-> 0]}
    /\ UNCHANGED <<now, log, router, orders, engines>>

Renew(r) ==
    /\ Holds(r)
    /\ MaySend(r)
    /\ net' = net \union {[by |-> r, pos |-> applied[r] + 1, sent |-> now, fence |-> fence[r]]}
    /\ UNCHANGED <<now, log, router, orders, engines>>

(* An append takes effect at any later time. Its answer may be lost, so no      *)
(* router relies on it.                                                         *)
Arrive(m) ==
    /\ log' = Append(log, m)
    /\ net' = net \ {m}
    /\ UNCHANGED <<now, router, orders, engines>>

Counts(m, i) == IgnorePosition \/ m.pos = i

Read(r) ==
    /\ applied[r] < Len(log)
    /\ LET i == applied[r] + 1
           m == log[i]
           f == IF m.fence = 0 THEN i ELSE m.fence
           start == IF CountFromAnswer THEN now ELSE m.sent
       IN /\ applied' = [applied EXCEPT ![r] = i]
          /\ IF ~Counts(m, i)
             THEN UNCHANGED <<last, until, fence, since>>
             ELSE /\ last' = [last EXCEPT ![r] = now + Term]
                  /\ IF m.by = r
                     THEN /\ until' = [until EXCEPT ![r] = start + Term]
                          /\ fence' = [fence EXCEPT ![r] = f]
                          /\ since' = [since EXCEPT ![r] = IF f = fence[r] THEN since[r] ELSE now]
                     ELSE /\ until' = [until EXCEPT ![r] = 0]
                          /\ fence' = [fence EXCEPT ![r] = 0]
                          /\ since' = since
    /\ UNCHANGED <<now, log, net, ready, orders, engines>>

(* The holder checks its lease, may pause for any time, and then sends an order. *)
Look(r) ==
    /\ Holds(r)
    /\ ready[r] = 0
    /\ ready' = [ready EXCEPT ![r] = fence[r]]
    /\ UNCHANGED <<now, log, net, applied, last, until, fence, since, orders, engines>>

Order(r) == [fence |-> ready[r], sent |-> now,
             late |-> ~(Holds(r) /\ fence[r] = ready[r])]

Send(r) ==
    /\ ready[r] # 0
    /\ Cardinality(orders) < 2
    /\ Fenced \/ SkipWait \/ now >= since[r] + LongestOrder
    /\ orders' = orders \union {Order(r)}
    /\ ready' = [ready EXCEPT ![r] = 0]
    /\ UNCHANGED <<now, log, net, applied, last, until, fence, since, engines>>

Accepts(o) == ~Fenced \/ NoFencing \/ o.fence >= engine

Deliver(o) ==
    /\ orders' = orders \ {o}
    /\ engine' = IF Accepts(o) THEN o.fence ELSE engine
    /\ back' = (back \/ (Accepts(o) /\ o.fence < engine /\ ~o.late))
    /\ backLate' = (backLate \/ (Accepts(o) /\ o.fence < engine /\ o.late))
    /\ UNCHANGED <<now, log, net, router>>

Next ==
    \/ Tick
    \/ \E r \in Routers : Bid(r) \/ Renew(r) \/ Read(r) \/ Look(r) \/ Send(r)
    \/ \E m \in net : Arrive(m)
    \/ \E o \in orders : Deliver(o)

Spec == Init /\ [][Next]_vars

(* At most one router believes that it holds the lease. *)
OneHolder == \A r, s \in Routers : Holds(r) /\ Holds(s) => r = s

(* Without a pause between Look and Send, the engine applies no order of an     *)
(* earlier lease term after an order of a later one.                            *)
BackOnlyByPause == ~back

(* Holds for an engine that checks fencing numbers. An engine that ignores them *)
(* may apply an outdated order, until the holder sends its orders again.        *)
NeverBack == ~back /\ ~backLate
=============================================================================
