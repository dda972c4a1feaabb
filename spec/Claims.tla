------------------------------- MODULE Claims -------------------------------
(* A call with an idempotency key runs at most once, whatever its attempts do. *)
(*                                                                             *)
(* The caller sends each attempt at the call to a different router, and        *)
(* attempt n + 1 at any time after attempt n.  Appends to the log take effect  *)
(* at once, late, or never, and their answers get lost; an outage is a time in *)
(* which no append takes effect.  A paused router takes no step for a while; a *)
(* crashed one takes no step ever again.  Log retention is not modelled; fuzz  *)
(* tests of ClaimLedger cover it.  Actions and the code that they model:       *)
(*                                                                             *)
(*   Send(a)       relay::call_service                                         *)
(*   Refuse(a)     ClaimAttempt::on_reply: the owner has appended nothing      *)
(*   AppendClaim   once::claim, ClaimAttempt::request: the owner appends       *)
(*   AskAgain      ClaimAttempt::on_no_reply: another owner appends it again   *)
(*   Arrive(r)     an append takes effect late                                 *)
(*   Settle(a)     ClaimLedger::claim_position at an owner, Claim::settle      *)
(*   Dispatch(a)   relay::keyed::dispatch                                      *)
(*   Record(a)     once::record_result                                         *)
(*   GiveUp(a)     Claim<Indeterminate>::give_up,                              *)
(*                 Claim<Acquired>::finish(NotRun)                             *)
(*   Replay(a)     relay::keyed::replay                                        *)
(*   Crash(a)      the router of the attempt crashes                           *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    Attempts,         \* 1..n
    Few,              \* number of attempts in behaviours with repeated appends; bounds the states
    ReadBack,         \* a claim is settled by reading the log
    NoTakeOver,       \* no attempt takes over the claim of another one
    ProvedNotRun      \* only a first attempt without an append, or a record, proves "not run"

VARIABLES
    log,              \* records in log order: <<"claim", a>>, <<"ran", a>>, <<"not run", a>>
    late,             \* records whose append has not taken effect yet
    stage,            \* stage of each attempt
    said,             \* verdict that each attempt returned to the caller
    ran               \* attempts that the service ran

vars == <<log, late, stage, said, ran>>

Claims == SelectSeq(log, LAMBDA r : r[1] = "claim")
HasFirst == Len(Claims) > 0
First == Claims[1][2]
Holds(r) == \E i \in 1..Len(log) : log[i] = r

Copies(a) ==
    Cardinality({i \in 1..Len(log) : log[i] = <<"claim", a>>})
        + (IF <<"claim", a>> \in late THEN 1 ELSE 0)

Init ==
    /\ log = <<>>
    /\ late = {}
    /\ stage = [a \in Attempts |-> "unsent"]
    /\ said = [a \in Attempts |-> "nothing"]
    /\ ran = {}

Move(a, s) == stage' = [stage EXCEPT ![a] = s]
Say(a, v) == said' = [said EXCEPT ![a] = v]

Send(a) ==
    /\ stage[a] = "unsent"
    /\ a = 1 \/ (a - 1 \in Attempts /\ stage[a - 1] # "unsent")
    /\ a <= Few \/ \A b \in Attempts : Copies(b) < 2
    /\ Move(a, "new")
    /\ UNCHANGED <<log, late, said, ran>>

Refuse(a) ==
    /\ stage[a] = "new"
    /\ Move(a, "done")
    /\ Say(a, IF a = 1 THEN "not run" ELSE "may have run")
    /\ UNCHANGED <<log, late, ran>>

\* A record takes effect at once, late, or never (it stays in `late`).
Write(r) ==
    \/ log' = Append(log, r) /\ UNCHANGED late
    \/ late' = late \union {r} /\ UNCHANGED log

AppendClaim(a) ==
    /\ stage[a] = "new"
    /\ Write(<<"claim", a>>)
    /\ Move(a, "sent")
    /\ UNCHANGED <<said, ran>>

\* The owner has not answered, so another one appends the same claim.  The two records are equal,
\* so it is enough that one of them can be late.
AskAgain(a) ==
    /\ a <= Few
    /\ \A b \in Attempts : b > Few => stage[b] = "unsent"
    /\ stage[a] = "sent"
    /\ Copies(a) < 2
    /\ log' = Append(log, <<"claim", a>>)
    /\ UNCHANGED <<late, stage, said, ran>>

Arrive(r) ==
    /\ late' = late \ {r}
    /\ log' = Append(log, r)
    /\ UNCHANGED <<stage, said, ran>>

Wins(a) ==
    \/ HasFirst /\ First = a
    \/ ~ReadBack
    \/ ~NoTakeOver /\ HasFirst /\ ~Holds(<<"ran", First>>)

\* A router that does not read the log far enough in time settles its claim as indeterminate.
Settle(a) ==
    /\ stage[a] = "sent"
    /\ \/ Wins(a) /\ Move(a, "won") /\ UNCHANGED said
       \/ HasFirst /\ First # a /\ Move(a, "lost") /\ UNCHANGED said
       \/ /\ Move(a, "unknown")
          /\ Say(a, IF ProvedNotRun THEN "may have run" ELSE "not run")
    /\ UNCHANGED <<log, late, ran>>

Dispatch(a) ==
    /\ stage[a] = "won"
    /\ ran' = ran \union {a}
    /\ \/ Move(a, "ran") /\ Say(a, "ran")
       \/ Move(a, "done") /\ Say(a, "may have run")
    /\ UNCHANGED <<log, late>>

Record(a) ==
    /\ stage[a] = "ran"
    /\ Write(<<"ran", a>>)
    /\ Move(a, "done")
    /\ UNCHANGED <<said, ran>>

GiveUp(a) ==
    /\ stage[a] \in {"won", "unknown"}
    /\ Write(<<"not run", a>>)
    /\ Move(a, "done")
    /\ IF stage[a] = "won" THEN Say(a, "never runs") ELSE UNCHANGED said
    /\ UNCHANGED ran

Replay(a) ==
    /\ stage[a] = "lost"
    /\ Move(a, "done")
    /\ Say(a, IF Holds(<<"ran", First>>) THEN "ran"
              ELSE IF Holds(<<"not run", First>>) THEN "never runs"
              ELSE "may have run")
    /\ UNCHANGED <<log, late, ran>>

Crash(a) ==
    /\ stage[a] \notin {"unsent", "done"}
    /\ Move(a, "done")
    /\ UNCHANGED <<log, late, said, ran>>

Next ==
    \/ \E a \in Attempts :
        \/ Send(a) \/ Refuse(a) \/ AppendClaim(a) \/ AskAgain(a) \/ Settle(a) \/ Dispatch(a)
        \/ Record(a) \/ GiveUp(a) \/ Replay(a) \/ Crash(a)
    \/ \E r \in late : Arrive(r)

Spec == Init /\ [][Next]_vars

AtMostOnce == Cardinality(ran) <= 1

\* "Not run" means that this attempt and the ones before it have not run and will not run.
NotRunIsTrue ==
    \A a \in Attempts : said[a] = "not run" => \A b \in Attempts : b <= a => b \notin ran

\* "Never runs" means that no attempt has run or will run.
NeverRunsIsTrue == (\E a \in Attempts : said[a] = "never runs") => ran = {}

RanIsTrue == (\E a \in Attempts : said[a] = "ran") => ran # {}
=============================================================================
