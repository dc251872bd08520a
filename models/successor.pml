/*
 * What a change of primary concludes from members that it does not see: one
 * synchronous replica, a primary that is dark, cut off from the coordinator,
 * lost, or back with its log under a new id, replicas that receive nothing, are
 * dark, lost or new, and daemons that restart.
 *
 * Properties: a member that is promoted has every acknowledged commit; no
 * commit is acknowledged at the primary after a candidate has taken over; and a
 * change that begins in calm ends, if the primary is there, or if all members
 * are that may hold an acknowledged commit.
 *
 * Faults (at most one is defined):
 *   REGISTERED_ONLY    only registered members count as receivers
 *   FORGET_AT_RESTART  the receivers are not in the record
 *   NO_JOIN            members that register later do not count
 *   DROP_UNCHECKED     an absent receiver is dropped without a check
 *   NEVER_DROP         an absent receiver is never dropped
 *   IGNORE_PRIMARY     a replica is promoted that lacks what the primary shows
 *   NO_LEAD_BACK       only a new leader ends a change
 *   SAME_ID_ONLY       a primary with a new id is not recognised
 *   LEAD_BACK_BLIND    a candidate that is not seen counts as not leading
 */

#define OLD 0
#define A 1
#define B 2
#define NEW 3
#define MEMBERS 4
#define NONE 4
#define COMMITS 2
#define BIT(m) (1 << (m))
#define HAS(set, m) (((set) >> (m)) & 1)

/* The members. NEW has no process at first. */
byte length[MEMBERS];
bool up[MEMBERS];
bool lost[MEMBERS];
bool deaf[MEMBERS];
bool registered[MEMBERS];
/* The primary has its log under a new id. */
bool newId;
/* A candidate has taken over; the old primary may not know. */
bool tookOver;
byte called = NONE;
byte acknowledged;

/* The record. */
bool changing;
byte primary = OLD;
bool namesNewId;
byte receivers = BIT(A) | BIT(B);
byte candidate = NONE;

byte faults;
bool calm;
/* An absent replica could have been dropped while the primary was there. */
bool wasChecked[MEMBERS];

#define USED (!changing && primary == OLD && namesNewId == newId)
/* Registered members other than the primary. */
#define REGISTERED \
  ((registered[A] << A) | (registered[B] << B) | (registered[NEW] << NEW))
#ifdef REGISTERED_ONLY
#define POSSIBLE REGISTERED
#else
#ifdef NO_JOIN
#define POSSIBLE receivers
#else
#define POSSIBLE (receivers | REGISTERED)
#endif
#endif

inline replicate(m) {
  up[OLD] && up[m] && !deaf[m] && !tookOver && length[m] < length[OLD] ->
    length[m] = length[OLD]
}

#define CONFIRMED \
  (candidate == NONE || lost[candidate] || (up[candidate] && !tookOver))
#define RECEIVED(n) \
  (length[A] >= (n) || length[B] >= (n) || length[NEW] >= (n))

/* Callers' commits at the old primary, and replication. */
proctype Service() {
  do
  :: atomic { USED && up[OLD] && length[OLD] < COMMITS ->
       length[OLD] = length[OLD] + 1 }
  :: atomic { USED && up[OLD] && acknowledged < length[OLD] && CONFIRMED &&
       RECEIVED(acknowledged + 1) ->
       acknowledged = acknowledged + 1;
       assert(!tookOver) }
  :: atomic { replicate(A) }
  :: atomic { replicate(B) }
  :: atomic { replicate(NEW) }
  od
}

/* Calls take effect at any time, also when the member is not seen. */
proctype Platform() {
  do
  :: atomic { called != NONE && !tookOver && !lost[called] ->
       assert(length[called] >= acknowledged);
       tookOver = true }
  od
}

/* An entry lasts longer than the interval at which members are read. */
inline removeEntry(m) {
#ifndef NO_JOIN
  receivers = receivers | BIT(m);
#endif
  registered[m] = false
}

proctype Environment() {
  do
  :: atomic { faults < 5 && up[OLD] -> faults++;
       if
       :: up[OLD] = false
       :: up[OLD] = false; lost[OLD] = true
       fi }
  :: atomic { !up[OLD] && !lost[OLD] ->
       if
       :: up[OLD] = true
       :: up[OLD] = true; newId = true
       fi }
  :: atomic { faults < 5 && up[B] -> faults++;
       if
       :: up[B] = false
       :: up[B] = false; lost[B] = true
       /* Leaves as planned. */
       :: up[B] = false; lost[B] = true; removeEntry(B)
       fi }
  :: atomic { !up[B] && !lost[B] ->
       up[B] = true; registered[B] = true; wasChecked[B] = false }
  :: atomic { registered[B] && !up[B] -> removeEntry(B) }
  :: atomic { faults < 5 && !deaf[A] -> faults++; deaf[A] = true }
  :: atomic { deaf[A] -> deaf[A] = false }
  :: atomic { faults < 5 && !up[NEW] && !lost[NEW] && !registered[NEW] ->
       faults++; up[NEW] = true; registered[NEW] = true }
  :: atomic { faults < 5 && up[NEW] -> faults++; up[NEW] = false;
       lost[NEW] = true }
  :: atomic { registered[NEW] && !up[NEW] -> removeEntry(NEW) }
  :: atomic { faults < 5 -> faults++;
#ifdef FORGET_AT_RESTART
       receivers = REGISTERED
#endif
     }
  :: atomic { !deaf[A] && (up[B] || lost[B] && !registered[B]) &&
       (up[NEW] || !registered[NEW]) && (up[OLD] || lost[OLD]) ->
       calm = true; break }
  od
}

/* Drops a receiver that has no entry, and so receives nothing any more, once
 * another one holds all that the primary had then. */
inline dropAbsent(m, other1, other2) {
  if
  :: HAS(receivers, m) && !registered[m] && !up[m] && up[OLD] && USED ->
     atomic {
       if
       :: USED && up[OLD] && !up[m] && !registered[m] &&
          (HAS(POSSIBLE, other1) && up[other1] &&
             length[other1] >= length[OLD] ||
           HAS(POSSIBLE, other2) && up[other2] &&
             length[other2] >= length[OLD]) ->
#ifndef NEVER_DROP
          receivers = receivers & ~BIT(m);
#endif
          wasChecked[m] = true
       :: else ->
#ifdef DROP_UNCHECKED
          receivers = receivers & ~BIT(m)
#else
          skip
#endif
       fi
     }
  :: else
  fi
}

#define SEEN(m) (up[m] && (calm || HAS(visible, m)))
/* All receivers must report, so that the longest log has every commit that one
 * of them received. */
#define REPORTED(m) (!HAS(POSSIBLE, m) || SEEN(m))
#define ALL_REPORTED (REPORTED(A) && REPORTED(B) && REPORTED(NEW))
#define PRESENT(m) (HAS(POSSIBLE, m) && SEEN(m))
#define LONGEST(m) \
  ((!PRESENT(A) || length[m] >= length[A]) && \
   (!PRESENT(B) || length[m] >= length[B]) && \
   (!PRESENT(NEW) || length[m] >= length[NEW]))
#define PRIMARY_SEEN (SEEN(OLD) && !tookOver)
#ifdef IGNORE_PRIMARY
#define ELIGIBLE(m) (PRESENT(m) && (PRIMARY_SEEN || ALL_REPORTED && LONGEST(m)))
#else
#define ELIGIBLE(m) \
  (PRESENT(m) && (PRIMARY_SEEN && length[m] >= length[OLD] || \
                  !SEEN(OLD) && ALL_REPORTED && LONGEST(m)))
#endif
#ifdef LEAD_BACK_BLIND
#define NOBODY_ELSE_LEADS (candidate == NONE || !SEEN(candidate) || !tookOver)
#else
/* The call for a candidate that lives may still take effect. */
#define NOBODY_ELSE_LEADS (candidate == NONE || lost[candidate])
#endif
#ifdef SAME_ID_ONLY
#define RECOGNISED (namesNewId == newId)
#else
#define RECOGNISED true
#endif
#ifdef NO_LEAD_BACK
#define MAY_LEAD_BACK false
#else
#define MAY_LEAD_BACK (PRIMARY_SEEN && RECOGNISED && NOBODY_ELSE_LEADS)
#endif

proctype Coordinator() {
  byte visible;
  bool wasCalm;
  do
  :: !changing ->
     /* The primary is dark, or the coordinator is cut off from it. */
     if
     :: !calm || primary == OLD && (!up[OLD] || namesNewId != newId) ->
        atomic { if :: primary == OLD -> changing = true :: else fi }
     :: true
     fi;
     atomic { receivers = POSSIBLE };
     dropAbsent(B, A, NEW);
     dropAbsent(NEW, A, B);
     if :: calm && primary != OLD -> break
        :: calm && USED && up[OLD] -> break
        :: else
     fi
  :: changing ->
     wasCalm = calm;
     atomic {
       /* Cut off from any of the members. */
       if :: visible = 15 :: visible = 14 :: visible = 13 :: visible = 1 fi
     };
     atomic {
       if
       :: candidate != NONE && tookOver && SEEN(candidate) ->
          primary = candidate; changing = false
       :: candidate == NONE && ELIGIBLE(A) -> candidate = A; called = A
       :: candidate == NONE && ELIGIBLE(B) -> candidate = B; called = B
       :: candidate == NONE && ELIGIBLE(NEW) -> candidate = NEW; called = NEW
       :: MAY_LEAD_BACK -> namesNewId = newId; changing = false
       :: else ->
          /* In calm nothing keeps the change from its end. */
          assert(!wasCalm || called != NONE ||
                 !(up[OLD] && !tookOver ||
                   lost[OLD] && up[A] && (up[B] || wasChecked[B]) &&
                     (up[NEW] || !HAS(POSSIBLE, NEW) || wasChecked[NEW])));
          if :: wasCalm -> break :: else fi
       fi
     };
     visible = 0
  od
}

init {
  atomic {
    up[OLD] = true; up[A] = true; up[B] = true;
    registered[A] = true; registered[B] = true;
    run Service(); run Platform(); run Environment(); run Coordinator()
  }
}
