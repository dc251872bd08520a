/*
 * Use of a primary under leases, and the change of primary that ends it:
 * renewals whose arrival and answer are late or lost, daemons that are
 * suspended, and a coordinator that asks each daemon to relinquish and
 * otherwise waits for the end of its lease at the store.
 *
 * Property: no daemon uses the old primary after the new one serves.
 *
 * Faults (at most one is defined):
 *   NO_WAIT          the coordinator does not wait for the end of leases
 *   STEADY_CLOCK     a daemon's clock stands still while it is suspended
 *   COUNT_FROM_ANSWER  the lease is counted from the answer to its renewal
 *   AGREE_FIRST      a daemon agrees before it has ended its use
 *   LEASE_FIRST      a daemon that registers anew uses its lease before it has
 *                    read whether a change is under way
 */

#define DAEMONS 2
#define TTL 3
#define MAX_TIME 8

#define NONE 0
#define SENT 1
#define ARRIVED 2

byte now;
/* Rest of the lease, at the store and as the daemon believes. */
byte atStore[DAEMONS];
byte believed[DAEMONS];
/* The renewal in flight and the time since it was sent. */
byte flight[DAEMONS];
byte age[DAEMONS];
bool suspended[DAEMONS];
bool relinquished[DAEMONS];
bool agreed[DAEMONS];
/* A daemon has written its entry anew and has not read the record yet. */
bool registering[DAEMONS];
bool changing;
bool served;

inline passTime(i) {
  if
  :: atStore[i] > 0 -> atStore[i]--
  :: else
  fi;
  if
#ifdef STEADY_CLOCK
  :: believed[i] > 0 && !suspended[i] -> believed[i]--
#else
  :: believed[i] > 0 -> believed[i]--
#endif
  :: else
  fi;
  if
  :: (flight[i] != NONE || registering[i]) && age[i] < TTL -> age[i]++
  :: else
  fi
}

active proctype Clock() {
  do
  :: now < MAX_TIME -> atomic { now++; passTime(0); passTime(1) }
  :: else -> break
  od
}

proctype Daemon(byte i) {
  do
  :: atomic { !suspended[i] && flight[i] == NONE && !registering[i] &&
       atStore[i] > 0 -> flight[i] = SENT; age[i] = 0 }
  /* The store has the renewal; too late if the lease has ended. */
  :: atomic { flight[i] == SENT && atStore[i] > 0 ->
       flight[i] = ARRIVED; atStore[i] = TTL }
  :: atomic { flight[i] == SENT -> flight[i] = NONE }
  :: atomic { !suspended[i] && flight[i] == ARRIVED ->
       flight[i] = NONE;
#ifdef COUNT_FROM_ANSWER
       believed[i] = TTL
#else
       if
       :: TTL - age[i] > believed[i] -> believed[i] = TTL - age[i]
       :: else
       fi
#endif
     }
  :: atomic { !suspended[i] -> suspended[i] = true }
  :: atomic { suspended[i] -> suspended[i] = false }
  /* The request to relinquish may be lost: it need not be answered. */
#ifdef AGREE_FIRST
  :: atomic { !suspended[i] && changing && !agreed[i] -> agreed[i] = true }
  :: atomic { !suspended[i] && agreed[i] -> relinquished[i] = true }
#else
  :: atomic { !suspended[i] && changing && !agreed[i] ->
       relinquished[i] = true; agreed[i] = true }
#endif
  /* A lease that is over at both sides is replaced. A change that began before
     does not ask this daemon again, so it reads the record afterwards. */
  :: atomic { !suspended[i] && atStore[i] == 0 && believed[i] == 0 &&
       flight[i] == NONE && !registering[i] ->
       registering[i] = true; atStore[i] = TTL; age[i] = 0;
#ifdef LEASE_FIRST
       believed[i] = TTL
#endif
     }
  :: atomic { !suspended[i] && registering[i] ->
       registering[i] = false;
       if
       :: changing -> relinquished[i] = true
       :: else
       fi;
#ifndef LEASE_FIRST
       if
       :: age[i] < TTL -> believed[i] = TTL - age[i]
       :: else
       fi
#endif
     }
  /* Use of the old primary. */
  :: atomic { !suspended[i] && believed[i] > 0 && !relinquished[i] ->
       assert(!served) }
  :: now == MAX_TIME -> break
  od
}

proctype Coordinator() {
  byte i = 0;
  changing = true;
#ifndef NO_WAIT
  do
  :: i < DAEMONS -> (agreed[i] || atStore[i] == 0); i++
  :: else -> break
  od;
#endif
  served = true
}

init {
  atomic {
    atStore[0] = TTL; atStore[1] = TTL;
    believed[0] = TTL; believed[1] = TTL;
    run Daemon(0); run Daemon(1); run Coordinator()
  }
}
