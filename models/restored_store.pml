/*
 * A store that is restored from a copy, which holds neither leases nor the
 * record of a change of primary that has begun or ended since. Daemons register
 * again in the new era; a coordinator of before may still act for a while; a
 * coordinator of the new era confirms the record or changes the primary.
 *
 * Property: no daemon uses the old primary after the new one serves.
 *
 * Faults (at most one is defined):
 *   NO_RESTORE_WAIT  the coordinator does not wait until leases of before are
 *                    over
 *   TRUST_OLD_RECORD a daemon whose lease ended before it registered again goes
 *                    by the record that it knows
 *   COPY_WINS        a record of the copy replaces a newer one that is known
 *   RENEW_OLD_LEASE  the id of a lease of before is renewed, because the store
 *                    has given it to somebody else
 */

#define DAEMONS 2
#define TTL 2
/* Rest of the coordinator's lease at the restore, at most. */
#define COORDINATOR_TTL 1
#define MAX_TIME 6
#define NEVER 255

/* Records of the store. */
#define OLD 0
#define CHANGING 1
#define NEW 2

byte now;
byte era = 1;
byte restoredAt = NEVER;
byte stored = OLD;
/* Whether the record was written in the present era. */
bool storedNow = true;
bool served;
/* Whether a coordinator asks the daemons to relinquish. */
bool asking[2];

byte atStore[DAEMONS];
byte believed[DAEMONS];
byte leaseEra[DAEMONS];
byte known[DAEMONS];
bool trusted[DAEMONS];

inline passTime(i) {
  if
  :: atStore[i] > 0 -> atStore[i]--
  :: else
  fi;
  if
  :: believed[i] > 0 -> believed[i]--
  :: else
  fi
}

proctype Clock() {
  do
  :: now < MAX_TIME -> atomic { now++; passTime(0); passTime(1) }
  :: else -> break
  od
}

proctype Restore() {
  atomic {
    era = 2; restoredAt = now;
    atStore[0] = 0; atStore[1] = 0;
    stored = OLD; storedNow = false
  }
}

proctype Daemon(byte i) {
  do
  /* A renewal. */
  :: atomic { leaseEra[i] == era && atStore[i] > 0 ->
       atStore[i] = TTL; believed[i] = TTL }
#ifdef RENEW_OLD_LEASE
  :: atomic { leaseEra[i] < era && believed[i] > 0 -> believed[i] = TTL }
#endif
  /* The process is lost, and with it what it knows. */
  :: atomic { believed[i] = 0; leaseEra[i] = 0; known[i] = OLD;
       trusted[i] = false }
  /* Registers, and reads the record. */
  :: atomic { leaseEra[i] != era || (atStore[i] == 0 && believed[i] == 0) ->
#ifndef TRUST_OLD_RECORD
       if
       :: believed[i] == 0 -> trusted[i] = false
       :: else
       fi;
#endif
       if
       :: storedNow -> known[i] = stored; trusted[i] = true
       :: else ->
#ifdef COPY_WINS
          known[i] = stored
#else
          skip
#endif
       fi;
       leaseEra[i] = era; atStore[i] = TTL; believed[i] = TTL }
  /* A request to relinquish, and the record that follows, may be lost. */
  :: atomic { asking[0] && era == 1 && leaseEra[i] != 0 && known[i] == OLD ->
       known[i] = CHANGING }
  :: atomic { asking[0] && era == 2 && leaseEra[i] == 1 && known[i] == OLD ->
       known[i] = CHANGING }
  :: atomic { asking[1] && leaseEra[i] == 2 && known[i] == OLD ->
       known[i] = CHANGING }
  :: atomic { storedNow && leaseEra[i] == era && known[i] != stored ->
       known[i] = stored; trusted[i] = true }
  /* Use of the old primary. */
  :: atomic { believed[i] > 0 && trusted[i] && known[i] == OLD ->
       assert(!served) }
  :: now == MAX_TIME -> break
  od
}

#define ACTS (era == 1 || now - restoredAt < COORDINATOR_TTL)

/* Its change is cut short by the restore at any step. */
proctype FormerCoordinator() {
  byte i = 0;
  atomic {
    if
    :: era == 1 -> stored = CHANGING; asking[0] = true
    :: else -> goto done
    fi
  }
  do
  :: i == DAEMONS -> break
  :: atomic { i < DAEMONS && ACTS &&
       ((leaseEra[i] == 1 && known[i] == CHANGING) ||
        (era == 1 && atStore[i] == 0)) -> i++ }
  :: !ACTS -> goto done
  od;
  atomic {
    if
    :: ACTS -> served = true
    :: else -> goto done
    fi
  }
  atomic {
    if
    :: era == 1 -> stored = NEW
    :: else
    fi
  }
done:
  asking[0] = false
}

/* Waits until the daemons registered have relinquished. */
inline revoke() {
  i = 0;
  do
  :: i == DAEMONS -> break
  :: atomic { i < DAEMONS &&
       ((leaseEra[i] == 2 && known[i] != OLD) || atStore[i] == 0) -> i++ }
  :: now == MAX_TIME -> goto done
  od
}

/* Daemon 0 or 1 becomes the coordinator of the new era. */
proctype Coordinator() {
  byte i;
  byte self;
  era == 2;
#ifndef NO_RESTORE_WAIT
  if
  :: now - restoredAt >= TTL
  :: now == MAX_TIME && now - restoredAt < TTL -> goto done
  fi;
#endif
  if
  :: self = 0
  :: self = 1
  fi;
  atomic {
    if
    :: leaseEra[self] == 2 && believed[self] > 0
    :: now == MAX_TIME -> goto done
    fi;
    if
    :: trusted[self] && known[self] != CHANGING ->
       stored = known[self]; storedNow = true
    :: else -> stored = CHANGING; storedNow = true; asking[1] = true
    fi
  }
  if
  :: stored == OLD ->
     /* A later change. */
     atomic { stored = CHANGING; asking[1] = true }
  :: else
  fi;
  if
  :: stored == CHANGING -> revoke(); served = true; stored = NEW
  :: else
  fi;
done:
  skip
}

init {
  atomic {
    atStore[0] = TTL; atStore[1] = TTL;
    believed[0] = TTL; believed[1] = TTL;
    leaseEra[0] = 1; leaseEra[1] = 1;
    trusted[0] = true; trusted[1] = true;
    run Daemon(0); run Daemon(1);
    run Clock(); run Restore(); run FormerCoordinator(); run Coordinator()
  }
}
