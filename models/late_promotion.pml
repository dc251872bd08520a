/*
 * Promotions that take effect at any time after the call, in any order, or
 * never, during changes of primary that several coordinators make one after
 * the other.
 *
 * Property: no write is acknowledged that was committed at the primary of the
 * record after another member had taken over.
 *
 * Faults (at most one is defined):
 *   NO_LIST       the record forgets candidates that were given up
 *   CHECK_FIRST   members are asked before the commit, not after it
 *   SETTLE_ANY    one effect settles all calls for a member
 *   DROP_LIST     the list is not carried on when a change begins
 *   FORGET_NAMED  a coordinator that takes over does not list the candidate
 */

#define MEMBERS 3
#define CALLS 3
#define CHANGES 2
#define NONE 3
#define BIT(m) (1 << (m))

/* The newest term and the term in which each member led last. */
byte newest = 1;
byte term[MEMBERS];
/* Calls that the platform has not executed. */
byte open[MEMBERS];
byte calls;

/* The record. */
byte primary;
byte recordTerm = 1;
/* Changes begun; a daemon uses the record of one only. */
byte begun;
bool changing;
byte candidate = NONE;
byte list;

/* What the present coordinator knows. */
byte made[MEMBERS];
byte unknown;

inline listUnsettled() {
  list = unknown;
  if :: made[0] > 0 -> list = list | BIT(0) :: else fi;
  if :: made[1] > 0 -> list = list | BIT(1) :: else fi;
  if :: made[2] > 0 -> list = list | BIT(2) :: else fi;
#ifdef NO_LIST
  list = 0;
#endif
}

/* Another coordinator continues, at any step. */
inline maybeTakeOver() {
  if
  :: true
  :: unknown = list;
#ifndef FORGET_NAMED
     if :: changing && candidate != NONE -> unknown = unknown | BIT(candidate)
        :: else fi;
#endif
     made[0] = 0; made[1] = 0; made[2] = 0
  fi
}

proctype Coordinator() {
  byte change = 0;
  byte chosen;
  do
  :: change < CHANGES ->
     change++;
     atomic {
       maybeTakeOver();
       changing = true; candidate = NONE; begun++;
#ifdef DROP_LIST
       unknown = 0; made[0] = 0; made[1] = 0; made[2] = 0;
#endif
       listUnsettled()
     }
name:
     atomic {
       if
       :: primary != 0 -> chosen = 0
       :: primary != 1 -> chosen = 1
       :: primary != 2 -> chosen = 2
       fi;
       candidate = chosen;
       listUnsettled()
     }
call:
     atomic {
       if
       :: calls < CALLS -> calls++; open[chosen]++; made[chosen]++
       :: else
       fi
     }
     atomic { maybeTakeOver() }
     if
     :: atomic { term[chosen] > recordTerm && term[chosen] == newest ->
#ifdef SETTLE_ANY
          made[chosen] = 0;
#else
          if :: made[chosen] == 1 -> made[chosen] = 0 :: else fi;
#endif
          primary = chosen; recordTerm = term[chosen];
          changing = false; candidate = NONE;
          listUnsettled()
        }
     :: calls < CALLS -> goto call
     :: calls < CALLS -> goto name
     :: calls == CALLS -> goto name
     :: calls == CALLS -> break
     fi
  :: else -> break
  od
}

/* The platform executes a call for the newest leader without effect. */
proctype Platform() {
  byte member;
  do
  :: atomic { open[0] > 0 -> member = 0; goto execute }
  :: atomic { open[1] > 0 -> member = 1; goto execute }
  :: atomic { open[2] > 0 -> member = 2; goto execute }
  :: break;
execute:
     atomic {
       open[member]--;
       if
       :: term[member] == newest
       :: else -> newest++; term[member] = newest
       fi
     }
  od
}

inline ask(m) {
  if
  :: (listed & BIT(m)) != 0 && m != usedPrimary && term[m] > usedTerm ->
     confirmed = false
  :: else
  fi
}

inline askAll() {
  atomic { ask(0) }
  atomic { ask(1) }
  atomic { ask(2) }
}

/* A daemon that writes once at any time. */
proctype Daemon() {
  byte usedPrimary;
  byte usedTerm;
  byte usedBegun;
  byte listed;
  bool superseded;
  bool confirmed = true;
  atomic {
    !changing -> usedPrimary = primary; usedTerm = recordTerm;
    usedBegun = begun; listed = list
  }
#ifdef CHECK_FIRST
  askAll();
#endif
  atomic { superseded = (newest > usedTerm) }
#ifndef CHECK_FIRST
  askAll();
#endif
  atomic {
    if
    :: confirmed && usedBegun == begun -> assert(!superseded)
    :: else
    fi
  }
}

init {
  atomic {
    term[0] = 1;
    run Coordinator(); run Platform(); run Daemon()
  }
}
