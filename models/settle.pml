/*
 * Settlement of one request id: a first try and a retry, look-ups that settle,
 * late and lost messages, and changes of the primary that lose what was not
 * confirmed.
 *
 * Properties (one of them is defined):
 *   AT_MOST_ONCE    the request takes effect at most once
 *   TRUE_REFUSAL    after "not run" was answered, the request has no effect
 *   TRUE_OUTCOME    after "ran" was answered, the effect stays, and "not run"
 *                   is never answered as well
 *
 * Faults (at most one is defined):
 *   SETTLE_WITHOUT_RECORD        a settle that finds no record writes none
 *   ANSWER_BEFORE_CONFIRMATION   a settle is answered before it is confirmed
 *   NO_RECORD_CHECK              a try does not look for the request's record
 */

#define NONE 0
#define RAN 1
#define REFUSED 2

#define MAX_TRIES 2
#define MAX_SETTLES 2
#define MAX_CHANGES 2

/* What the present primary holds, and the part that a majority holds. The
   record and the effect are written in one transaction. */
byte outcome = NONE;
byte runs;
byte confirmedOutcome = NONE;
byte confirmedRuns;

/* Messages on their way. */
byte tries;
byte settles;
/* Results of the present term that wait for confirmation. */
bool awaitsRan;
bool awaitsNotRun;

bool toldRan;
bool toldNotRun;

inline check() {
#ifdef AT_MOST_ONCE
  assert(runs <= 1);
#endif
#ifdef TRUE_REFUSAL
  assert(!(toldNotRun && runs > 0));
#endif
#ifdef TRUE_OUTCOME
  assert(!(toldRan && runs == 0));
  assert(!(toldRan && toldNotRun));
#endif
  skip
}

inline answerByRecord() {
  if
  :: outcome == RAN -> awaitsRan = true
  :: outcome == REFUSED -> awaitsNotRun = true
  :: else
  fi
}

inline runTry() {
#ifdef NO_RECORD_CHECK
  outcome = RAN;
  runs++;
#else
  if
  :: outcome == NONE -> outcome = RAN; runs++
  :: else
  fi;
#endif
  answerByRecord()
}

inline runSettle() {
  if
  :: outcome == NONE ->
#ifdef SETTLE_WITHOUT_RECORD
    awaitsNotRun = true
#else
    outcome = REFUSED
#endif
  :: else
  fi;
  answerByRecord();
#ifdef ANSWER_BEFORE_CONFIRMATION
  toldRan = toldRan || awaitsRan;
  toldNotRun = toldNotRun || awaitsNotRun
#endif
}

active proctype Caller() {
  byte sentTries;
  byte sentSettles;
  do
  :: atomic { sentTries < MAX_TRIES -> sentTries++; tries++ }
  :: atomic { sentTries > 0 && sentSettles < MAX_SETTLES -> sentSettles++; settles++ }
  od
}

active proctype Group() {
  byte changes;
  do
  :: atomic { tries > 0 -> tries--; runTry(); check() }
  :: atomic { tries > 0 -> tries-- } /* Lost. */
  :: atomic { settles > 0 -> settles--; runSettle(); check() }
  :: atomic { settles > 0 -> settles-- } /* Lost. */
  :: atomic { confirmedOutcome != outcome || confirmedRuns != runs ->
       confirmedOutcome = outcome; confirmedRuns = runs }
  /* A change of the primary; a result that waits is never confirmed. */
  :: atomic { changes < MAX_CHANGES ->
       changes++;
       outcome = confirmedOutcome;
       runs = confirmedRuns;
       awaitsRan = false;
       awaitsNotRun = false;
       check() }
  od
}

active proctype Proxy() {
  do
  :: atomic { awaitsRan && confirmedOutcome == outcome -> awaitsRan = false; toldRan = true; check() }
  :: atomic { awaitsNotRun && confirmedOutcome == outcome -> awaitsNotRun = false; toldNotRun = true; check() }
  /* The answer is lost. */
  :: atomic { awaitsRan || awaitsNotRun -> awaitsRan = false; awaitsNotRun = false }
  od
}
