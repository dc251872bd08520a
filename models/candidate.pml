/*
 * The candidate in the record of a change of primary: coordinators that are
 * lost at any step, promotions that take effect some time after the call, in
 * the order of the calls, a member that ends, and a candidate that takes too
 * long to take over, so that another member is named.
 *
 * Property: once the record names the new primary, no other member takes over.
 *
 * Faults (at most one is defined):
 *   ANY_LEADER    whoever leads a new term is accepted
 *   CALL_FIRST    the candidate is recorded after the call
 *   CHOOSE_AGAIN  a coordinator that continues the change ignores the candidate
 *   LATE_CALL     a coordinator may call after it has lost the role
 */

#define COORDINATORS 3
#define CALLS 4
#define NONE 0
#define OLD 3

/* Members 1 and 2 are replicas of the old primary. */
byte leader = OLD;
bool ended[4];
bool failed;
/* A candidate whose promotion took too long; it may still take effect. */
byte givenUp;
/* Promotions that have been called for and have not taken effect. */
chan calls = [CALLS] of { byte };
byte called;
/* The record. */
byte candidate;
byte primary;
/* The coordinator that holds the role. */
byte holder;

#ifdef LATE_CALL
#define MAY_CALL true
#else
#define MAY_CALL (holder == i)
#endif

#ifdef ANY_LEADER
#define ACCEPTED (leader != OLD)
#else
#define ACCEPTED (leader == candidate)
#endif

inline choose() {
  if
  :: !ended[1] && (givenUp != 1 || ended[2]) -> chosen = 1
  :: !ended[2] && (givenUp != 2 || ended[1]) -> chosen = 2
  fi
}

inline record() {
  atomic {
    if
    :: holder == i && primary == NONE -> candidate = chosen
    :: else -> goto lost
    fi
  }
}

inline call() {
  atomic {
    if
    :: MAY_CALL && primary == NONE && called < CALLS && !ended[chosen] ->
       calls!chosen; called++
    :: MAY_CALL && primary == NONE && ended[chosen] -> goto again
    :: else -> goto lost
    fi
  }
}

/* The role passes to another coordinator between any two steps. */
proctype Coordinator(byte i) {
  byte chosen;
  holder == i;
again:
  if
  :: holder != i || primary != NONE -> goto lost
  :: holder == i && candidate != NONE && ACCEPTED -> goto accept
  :: else
  fi;
#ifdef CHOOSE_AGAIN
  choose();
#else
  if
  :: candidate != NONE && !ended[candidate] && candidate != givenUp ->
     chosen = candidate
  :: else -> choose()
  fi;
#endif
#ifdef CALL_FIRST
  call();
  record();
#else
  record();
  call();
#endif
  if
  :: holder == i && primary == NONE && ACCEPTED
  :: holder == i && primary == NONE && ended[chosen] -> goto again
  :: atomic { holder == i && primary == NONE && givenUp == NONE ->
       givenUp = chosen; goto again }
  :: holder != i || primary != NONE -> goto lost
  fi;
accept:
  atomic {
    if
    :: holder == i && primary == NONE && ACCEPTED && !ended[leader] ->
       primary = leader
    :: else -> goto again
    fi
  }
lost:
  skip
}

proctype Platform() {
  byte member;
  do
  :: atomic { calls?member ->
       if
       :: !ended[member] ->
          assert(primary == NONE || primary == member || ended[primary]);
          leader = member
       :: else
       fi
     }
  od
}

proctype Environment() {
  do
  :: atomic { holder + 1 < COORDINATORS -> holder++ }
  :: atomic { !failed -> failed = true;
       if
       :: ended[1] = true
       :: ended[2] = true
       fi }
  :: break
  od
}

init {
  atomic {
    run Coordinator(0); run Coordinator(1); run Coordinator(2);
    run Platform(); run Environment()
  }
}
