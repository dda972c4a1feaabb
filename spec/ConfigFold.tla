------------------------------ MODULE ConfigFold ------------------------------
(* Two operators change one object through a log that drops old records.       *)
(* Routers read the log late, restart, and start from checkpoints or from the  *)
(* states of peers.                                                            *)
(*                                                                             *)
(* The record at index i has offset i - 1.  A change with base b was planned   *)
(* on the state after records 1..b.  Actions and the code that they model:     *)
(*                                                                             *)
(*   Confirm(o, r)   intent::draft at router r, then LogService::append        *)
(*   Retry(o)        intent::confirm appends the change again                  *)
(*   Read(r)         ConfigState::apply                                        *)
(*   WritePoint(r)   config::write_checkpoints, perhaps with an outdated state *)
(*   Forge           a checkpoint without the fleet's seal is appended         *)
(*   Drop            the log drops its oldest record                           *)
(*   Restart(r)      a router restarts without its state                       *)
(*   StartAtPoint(r) config::newest_valid_checkpoint                           *)
(*   Ask, Deliver    Config::changes_since and, perhaps late, Config::adopt    *)
(*                                                                             *)
(* Only the routers in Faulty restart and ask peers; the others only read, so  *)
(* that the state space stays small.  AnswerIsTrue covers Plan::outcome.       *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    Operators, Routers, Faulty, MaxLog,
    ConflictCheck,    \* a change is rejected when its object was changed since its base
    DecideOnce,       \* a change is accepted or rejected once, at its first record
    ExactPoint,       \* a checkpoint is valid only at the offset that it names
    SealedPoint,      \* a checkpoint is valid only with the fleet's seal
    OnlyAhead         \* a router adopts only a state that is ahead of its own

VARIABLES
    log,              \* records ever appended
    first,            \* index of the oldest record in the log
    truth,            \* state after each prefix of the log
    won,              \* accepted changes: operator, base, index
    base,             \* base of each operator's plan, or MaxLog + 1
    router,           \* state of each router
    high,             \* highest index that each router has applied since its restart
    mail              \* for each router a state from a peer that has not arrived yet

vars == <<log, first, truth, won, base, router, high, mail>>

NoBase == MaxLog + 1
Empty == [n |-> 0, val |-> 0, touched |-> 0, decided |-> [o \in Operators |-> "none"]]
Latest == truth[Len(truth)]

Conflicts(s, r) == ConflictCheck /\ s.touched > r.base
Repeats(s, r) == DecideOnce /\ s.decided[r.by] # "none"

Apply(s, r) ==
    IF r.kind = "point" \/ Repeats(s, r)
    THEN [s EXCEPT !.n = s.n + 1]
    ELSE IF Conflicts(s, r)
    THEN [s EXCEPT !.n = s.n + 1, !.decided = [s.decided EXCEPT ![r.by] = "rejected"]]
    ELSE [n |-> s.n + 1, val |-> r.by, touched |-> s.n + 1,
          decided |-> [s.decided EXCEPT ![r.by] = "accepted"]]

Put(r) ==
    /\ Len(log) < MaxLog
    /\ log' = Append(log, r)
    /\ truth' = Append(truth, Apply(Latest, r))
    /\ won' = IF r.kind = "change" /\ ~Repeats(Latest, r) /\ ~Conflicts(Latest, r)
              THEN Append(won, <<r.by, r.base, Len(log) + 1>>)
              ELSE won

Init ==
    /\ log = <<>>
    /\ first = 1
    /\ truth = <<Empty>>
    /\ won = <<>>
    /\ base = [o \in Operators |-> NoBase]
    /\ router = [r \in Routers |-> Empty]
    /\ high = [r \in Routers |-> 0]
    /\ mail = [r \in Faulty |-> Empty]

Confirm(o, r) ==
    /\ base[o] = NoBase
    /\ base' = [base EXCEPT ![o] = router[r].n]
    /\ Put([kind |-> "change", by |-> o, base |-> router[r].n])
    /\ UNCHANGED <<first, router, high, mail>>

Retry(o) ==
    /\ base[o] # NoBase
    /\ Put([kind |-> "change", by |-> o, base |-> base[o]])
    /\ UNCHANGED <<first, base, router, high, mail>>

Read(r) ==
    /\ router[r].n < Len(log)
    /\ router[r].n + 1 >= first
    /\ router' = [router EXCEPT ![r] = Apply(router[r], log[router[r].n + 1])]
    /\ high' = [high EXCEPT ![r] = router[r].n + 1]
    /\ UNCHANGED <<log, first, truth, won, base, mail>>

WritePoint(r) ==
    /\ router[r].n > 0
    /\ Put([kind |-> "point", state |-> router[r], sealed |-> TRUE])
    /\ UNCHANGED <<first, base, router, high, mail>>

Forge ==
    /\ Put([kind |-> "point", state |-> [Empty EXCEPT !.n = Len(log)], sealed |-> FALSE])
    /\ UNCHANGED <<first, base, router, high, mail>>

Drop ==
    /\ first <= Len(log)
    /\ first' = first + 1
    /\ UNCHANGED <<log, truth, won, base, router, high, mail>>

Restart(r) ==
    /\ router[r].n > 0
    /\ router' = [router EXCEPT ![r] = Empty]
    /\ high' = [high EXCEPT ![r] = 0]
    /\ mail' = [mail EXCEPT ![r] = Empty]
    /\ UNCHANGED <<log, first, truth, won, base>>

Usable(i) ==
    /\ log[i].kind = "point"
    /\ ExactPoint => log[i].state.n = i - 1
    /\ SealedPoint => log[i].sealed

StartAtPoint(r) ==
    /\ router[r].n + 1 < first
    /\ \E i \in first..Len(log) :
        /\ Usable(i)
        /\ \A j \in (i + 1)..Len(log) : ~Usable(j)
        /\ router' = [router EXCEPT ![r] = [log[i].state EXCEPT !.n = i - 1]]
        /\ high' = [high EXCEPT ![r] = i - 1]
    /\ UNCHANGED <<log, first, truth, won, base, mail>>

Ask(r, q) ==
    /\ r # q
    /\ router[q].n > router[r].n
    /\ mail' = [mail EXCEPT ![r] = router[q]]
    /\ UNCHANGED <<log, first, truth, won, base, router, high>>

Deliver(r) ==
    /\ mail[r].n > 0
    /\ OnlyAhead => mail[r].n > router[r].n
    /\ router' = [router EXCEPT ![r] = mail[r]]
    /\ high' = [high EXCEPT ![r] = IF mail[r].n > @ THEN mail[r].n ELSE @]
    /\ mail' = [mail EXCEPT ![r] = Empty]
    /\ UNCHANGED <<log, first, truth, won, base>>

Next ==
    \/ \E o \in Operators, r \in Routers : Confirm(o, r)
    \/ \E o \in Operators : Retry(o)
    \/ \E r \in Routers : Read(r)
    \/ \E r \in Routers : WritePoint(r)
    \/ Forge
    \/ Drop
    \/ \E r \in Faulty : Restart(r)
    \/ \E r \in Faulty : StartAtPoint(r)
    \/ \E r \in Faulty, q \in Routers : Ask(r, q)
    \/ \E r \in Faulty : Deliver(r)

Spec == Init /\ [][Next]_vars

SameState == \A r \in Routers : router[r] = truth[router[r].n + 1]
NeverBack == \A r \in Routers : router[r].n >= high[r]
OneWinner == \A i, j \in 1..Len(won) : i < j => won[j][2] >= won[i][3]
Wins(o) == \E i \in 1..Len(won) : won[i][1] = o
Decided(r, o) == router[r].decided[o]
AnswerIsTrue ==
    \A r \in Routers, o \in Operators :
        Decided(r, o) # "none" => (Decided(r, o) = "accepted") = Wins(o)
===============================================================================
