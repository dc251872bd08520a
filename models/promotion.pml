/*
 * Acknowledge, seal, promote and follow of one database group.
 *
 * Three members, any number of competing leaders, one watched write. Members
 * act on any message that was ever sent, at any later time and any number of
 * times, or never: this covers loss, delay and repetition. A step that is never
 * taken covers crashed and paused members and leaders. Member state is durable.
 *
 * A leader has no state of its own. Its knowledge is a revision of the record
 * and answers to Seal. With an old revision its compare-and-swaps change
 * nothing, and its messages are among those that were ever sent. In the present
 * revision, the answers that it may have are those of any sealed members, whose
 * logs do not change before the next revision.
 *
 * Properties (one of them is defined):
 *   ONE_PRIMARY         a term has at most one primary
 *   CONFIRMED_SURVIVES  each later primary holds the confirmed write, and no
 *                       write is confirmed after a later primary began without
 *                       it
 *
 * Faults (at most one is defined):
 *   NO_SEAL             members answer a seal without keeping to it
 *   PRIMARY_ALONE       the primary's report confirms a write
 *   POSITION_ONLY       a report counts by its index, whatever its term
 *   OLD_TERM_ENTRIES    a member that holds the write counts, whatever the term
 *                       of its last entry
 */

#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LENGTH
#define MAX_LENGTH 2
#endif

#define ACTIVE 0
#define SEALING 1
#define PROMOTING 2

#define ENTRY(m, i) entries[(m) * MAX_LENGTH + (i)]
#define LAST_TERM(m) (length[m] == 0 -> 0 : ENTRY(m, length[m] - 1))
#define HOLDS(m) (length[m] >= writeLength && ENTRY(m, writeLength - 1) == writeTerm)

/* Members. */
byte sealed[N] = 1;
byte serves[N] = 1;
bool primary[N];
byte length[N];
byte entries[N * MAX_LENGTH];

/* The record; term and phase only advance, so that they stand for the revision. */
byte recordTerm = 1;
byte recordPhase = ACTIVE;
/* Candidate plus 1 and start of each term whose phase PROMOTING was recorded. */
byte candidate[MAX_TERM + 1];
byte startTerm[MAX_TERM + 1];
byte startLength[MAX_TERM + 1];

/* Observations for the properties. */
byte reign[MAX_TERM + 1];
bool startHolds[MAX_TERM + 1];
byte writeTerm;
byte writeLength;
byte reports;
bool confirmed;

inline checkConfirmed(t) {
#ifdef CONFIRMED_SURVIVES
  assert(!(confirmed && t > writeTerm && reign[t] != 0 && !startHolds[t]));
#endif
  skip
}

inline append(m) {
  ENTRY(m, length[m]) = serves[m];
  length[m]++;
}

/* A replica takes the next entry, or the whole log if its own diverged. */
inline pull(m, p) {
  if
  :: length[m] == 0 || (length[m] <= length[p] && ENTRY(p, length[m] - 1) == LAST_TERM(m)) ->
    if
    :: length[m] < length[p] -> ENTRY(m, length[m]) = ENTRY(p, length[m]); length[m]++
    :: else
    fi
  :: else ->
    length[m] = length[p];
    i = 0;
    do
    :: i < MAX_LENGTH -> ENTRY(m, i) = ENTRY(p, i); i++
    :: else -> break
    od
  fi
}

inline report(m) {
  reports = reports | (1 << m);
#ifdef PRIMARY_ALONE
  confirmed = primary[m] && serves[m] == writeTerm;
#else
  /* The primary and one more of three members. */
  confirmed = (reports == 3 || reports == 5 || reports == 6 || reports == 7);
#endif
  t = 1;
  do
  :: t <= MAX_TERM -> checkConfirmed(t); t++
  :: else -> break
  od
}

#if defined(POSITION_ONLY)
#define COUNTS(m) (length[m] >= writeLength)
#elif defined(OLD_TERM_ENTRIES)
#define COUNTS(m) (HOLDS(m))
#else
#define COUNTS(m) (serves[m] == writeTerm && sealed[m] <= writeTerm && \
                   LAST_TERM(m) == writeTerm && length[m] >= writeLength)
#endif

inline promote(m, t) {
  sealed[m] = t;
  serves[m] = t;
  primary[m] = true;
#ifdef ONE_PRIMARY
  assert(reign[t] == 0 || reign[t] == m + 1);
#endif
  reign[t] = m + 1;
  startHolds[t] = (writeTerm != 0 && HOLDS(m));
  checkConfirmed(t);
  append(m);
}

inline follow(m, t) {
  sealed[m] = t;
  serves[m] = t;
  primary[m] = false;
  if
  :: length[m] > startLength[t] -> length[m] = startLength[t]
  :: else
  fi;
  i = length[m];
  do
  :: i < MAX_LENGTH -> ENTRY(m, i) = 0; i++
  :: else -> break
  od
}

#ifdef NO_SEAL
#define AT_START(m, t) true
#else
#define AT_START(m, t) (length[m] == startLength[t] && LAST_TERM(m) == startTerm[t])
#endif

#ifdef NO_SEAL
byte answered;
#define ANSWERED(m) ((answered & (1 << (m))) != 0)
#else
#define ANSWERED(m) (sealed[m] == recordTerm)
#endif

inline sealMember(m, t) {
#ifdef NO_SEAL
  if
  :: t == recordTerm -> answered = answered | (1 << m)
  :: else
  fi
#else
  sealed[m] = t
#endif
}

/* Seal, Promote and Follow of term T, each once it may have been sent. */
#define MESSAGES(m, T) \
  :: atomic { recordTerm >= T && sealed[m] <= T && !(ANSWERED(m) && recordTerm == T) -> sealMember(m, T) } \
  :: atomic { candidate[T] == m + 1 && sealed[m] <= T && serves[m] < T && AT_START(m, T) && \
              length[m] < MAX_LENGTH -> promote(m, T) } \
  :: atomic { candidate[T] != 0 && candidate[T] != m + 1 && sealed[m] <= T && serves[m] < T -> \
       follow(m, T); i = 0 }

proctype Member(byte m) {
  byte i;
  byte p;
  byte t;
  do
  /* A write of the primary; any one may be the watched write. */
  :: atomic { primary[m] && sealed[m] <= serves[m] && length[m] < MAX_LENGTH ->
       append(m);
#ifdef CONFIRMED_SURVIVES
       if
       :: writeTerm == 0 -> writeTerm = serves[m]; writeLength = length[m]
       :: true
       fi
#endif
     }
  :: atomic { !primary[m] && sealed[m] <= serves[m] ->
       p = (m + 1) % N;
       if
       :: !(primary[p] && serves[p] == serves[m]) -> p = (m + 2) % N
       :: else
       fi;
       if
       :: primary[p] && serves[p] == serves[m] -> pull(m, p)
       :: else
       fi;
       i = 0; p = 0 }
  :: atomic { writeTerm != 0 && !confirmed && (reports & (1 << m)) == 0 && COUNTS(m) ->
       report(m); t = 0 }
  MESSAGES(m, 2)
  MESSAGES(m, 3)
#if MAX_TERM > 3
  MESSAGES(m, 4)
#endif
  od
}

inline beginTerm() {
  recordTerm++;
  recordPhase = SEALING;
#ifdef NO_SEAL
  answered = 0
#endif
}

#define LONGER(a, b) (LAST_TERM(a) > LAST_TERM(b) || (LAST_TERM(a) == LAST_TERM(b) && length[a] > length[b]))

/* The leader has answers of all members but the one without. */
inline choose(without) {
  best = (without + 1) % N;
  if
  :: LONGER((without + 2) % N, best) -> best = (without + 2) % N
  :: else
  fi;
  candidate[recordTerm] = best + 1;
  startTerm[recordTerm] = LAST_TERM(best);
  startLength[recordTerm] = length[best];
  recordPhase = PROMOTING;
  best = 0
}

#define MAJORITY(without) (ANSWERED((without + 1) % N) && ANSWERED((without + 2) % N))

proctype Leaders() {
  byte best;
  do
  :: atomic { recordPhase == ACTIVE && recordTerm < MAX_TERM -> beginTerm() }
  :: atomic { recordPhase == SEALING && MAJORITY(0) -> choose(0) }
  :: atomic { recordPhase == SEALING && MAJORITY(1) -> choose(1) }
  :: atomic { recordPhase == SEALING && MAJORITY(2) -> choose(2) }
  :: atomic { recordPhase == PROMOTING && reign[recordTerm] != 0 -> recordPhase = ACTIVE }
  :: atomic { recordPhase == PROMOTING && recordTerm < MAX_TERM -> beginTerm() }
  od
}

init {
  atomic {
    primary[0] = true;
    reign[1] = 1;
    run Member(0);
    run Member(1);
    run Member(2);
    run Leaders()
  }
}
