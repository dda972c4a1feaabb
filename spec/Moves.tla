-------------------------------- MODULE Moves --------------------------------
(* A team moves to a version and back.  Two drivers, the holders of successive  *)
(* leases, report the steps of the pools to the configuration stream; reports   *)
(* of the one with the lower fencing number may be late.  ConfigFold checks     *)
(* that all routers compute the same state from the same records; so this       *)
(* module has a single state, and n is the offset of its next record.  Actions  *)
(* and the code that they model:                                                *)
(*                                                                              *)
(*   Begin(v)       an accepted Op::MoveTeam                                    *)
(*   Retry(p)       an accepted Op::Retry                                       *)
(*   See(d, p, w)   orders::next_move_step at driver d finds the pool ready or  *)
(*                  a load failed; the append of its report may take long       *)
(*   Take(m)        ConfigState::apply_step; a record may be appended twice     *)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Pools, Versions, Drivers, MaxLog,
    SeenMove,         \* a step is valid only for a move that its driver had read
    SeenPool,         \* a step is valid only if its pool was not retried since its base
    Fenced,           \* a step is invalid after a step of a later driver
    Together          \* a team shifts to the version only when all pools are ready

VARIABLES
    n,                \* offset of the next record
    to,               \* version that the team moves to, or 0 without a move
    since,            \* offset of the change that began the move
    ready,            \* pools that are ready for the move
    halted,           \* for each pool the base of the step that reported a failed load, or 0
    retried,          \* for each pool the offset after the last Retry
    fence,            \* for each pool the driver of its last step
    mail,             \* steps whose append has not taken effect yet
    seen,             \* for each pool the last base at which the version of the move was ready
    early,            \* whether a pool counted as ready that was not ready since the move began
    top               \* for each pool the newest driver of its steps

vars == <<n, to, since, ready, halted, retried, fence, mail, seen, early, top>>

Init ==
    /\ n = 1
    /\ to = 0
    /\ since = 0
    /\ ready = {}
    /\ halted = [p \in Pools |-> 0]
    /\ retried = [p \in Pools |-> 0]
    /\ fence = [p \in Pools |-> 0]
    /\ mail = {}
    /\ seen = [p \in Pools |-> 0]
    /\ early = FALSE
    /\ top = [p \in Pools |-> 0]

Begin(v) ==
    /\ n < MaxLog
    /\ to # v
    /\ to' = v
    /\ since' = n
    /\ ready' = {}
    /\ seen' = [p \in Pools |-> 0]
    /\ n' = n + 1
    /\ UNCHANGED <<halted, retried, fence, mail, early, top>>

Retry(p) ==
    /\ n < MaxLog
    /\ halted[p] > 0
    /\ halted' = [halted EXCEPT ![p] = 0]
    /\ retried' = [retried EXCEPT ![p] = n + 1]
    /\ n' = n + 1
    /\ UNCHANGED <<to, since, ready, fence, mail, seen, early, top>>

See(d, p, isWarm) ==
    /\ to # 0
    /\ Cardinality(mail) < 2
    /\ mail' = mail \union {[by |-> d, pool |-> p, v |-> to, base |-> n, warm |-> isWarm]}
    /\ seen' = IF isWarm THEN [seen EXCEPT ![p] = n] ELSE seen
    /\ UNCHANGED <<n, to, since, ready, halted, retried, fence, early, top>>

Counts(m) ==
    /\ SeenPool => m.base >= retried[m.pool]
    /\ Fenced => m.by >= fence[m.pool]
    /\ m.v = to
    /\ SeenMove => m.base > since

Newest(m) == IF m.by > top[m.pool] THEN [top EXCEPT ![m.pool] = m.by] ELSE top

Take(m) ==
    /\ n < MaxLog
    /\ n' = n + 1
    /\ mail' = mail \ {m}
    /\ IF ~Counts(m)
       THEN UNCHANGED <<to, since, ready, halted, fence, early, top>>
       ELSE IF m.warm
       THEN LET all == ready \union {m.pool}
                shifts == (~Together) \/ (all = Pools)
            IN /\ ready' = IF shifts THEN {} ELSE all
               /\ to' = IF shifts THEN 0 ELSE to
               /\ early' = (early \/ (seen[m.pool] <= since) \/ (shifts /\ (all # Pools)))
               /\ halted' = [halted EXCEPT ![m.pool] = 0]
               /\ fence' = [fence EXCEPT ![m.pool] = m.by]
               /\ top' = Newest(m)
               /\ since' = since
       ELSE /\ halted' = [halted EXCEPT ![m.pool] = m.base]
            /\ fence' = [fence EXCEPT ![m.pool] = m.by]
            /\ top' = Newest(m)
            /\ UNCHANGED <<to, since, ready, early>>
    /\ UNCHANGED <<retried, seen>>

Next ==
    \/ \E v \in Versions : Begin(v)
    \/ \E p \in Pools : Retry(p)
    \/ \E d \in Drivers, p \in Pools, w \in {TRUE, FALSE} : See(d, p, w)
    \/ \E m \in mail : Take(m)

Spec == Init /\ [][Next]_vars

\* A team shifts only when each pool was ready after the move began.
ShiftedReady == ~early
\* A move stops only for a load failure that is newer than the last retry of the pool.
StopIsNews == \A p \in Pools : halted[p] > 0 => halted[p] >= retried[p]
\* No step of an earlier driver is applied after a step of a later one.
NewestDriver == \A p \in Pools : fence[p] = top[p]
===============================================================================
