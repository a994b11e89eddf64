/*
 * At-most-once execution (pkg/once, internal/httplb/once.go and reserve.go).
 *
 * There are one idempotency key and four hosts, numbered in the rendezvous order
 * of the key. A network partition lasts for a while, and there are up to two
 * crashes. A crashed host loses its records and may be restarted. The request of
 * the key is submitted twice, at any time, and each time goes to the host that the
 * receiving host takes for the owner. The group of the key is the hosts 0 to 2.
 * The owner records the key and reserves it at the other hosts of the group that
 * it can reach. It runs the request if all hosts of the group but one have
 * recorded the key; hosts that were restarted do not count.
 *
 * Property: the request runs at most once.
 *
 * Mutation NORESERVE: the owner runs the request without reserving the key.
 * Mutation NOFORGOT: a restarted host counts as one that still has its records.
 * Mutation PAIR: any two reachable hosts suffice, even outside of the group.
 */
#define HOSTS 4
#define GROUP 3

bool up[HOSTS];
bool has_record[HOSTS];
bool records_lost[HOSTS];
byte process[HOSTS];  /* number of the current process of a host */
bool side[HOSTS];     /* side of the host during the partition */
bool partitioned = false;
byte runs = 0;
byte crashes = 0;

#define can_reach(a, b) (up[b] && (!partitioned || side[a] == side[b]))

/* once.MakePlan: the owner is the first host that the receiver can reach. */
inline find_owner(from) {
  if
  :: can_reach(from, 0) -> owner = 0
  :: !can_reach(from, 0) && can_reach(from, 1) -> owner = 1
  :: !can_reach(from, 0) && !can_reach(from, 1) && can_reach(from, 2) -> owner = 2
  :: else -> owner = 3
  fi
}

proctype Caller(byte tries) {
  byte n, from, owner, other, confirmed, own_process;
  bool already_recorded;
  do
  :: n < tries ->
     n++;
     if
     :: from = 0
     :: from = 3
     fi;
     atomic {                                      /* Ledger.Begin */
       find_owner(from);
       if
       :: !up[from] || !can_reach(from, owner) || has_record[owner] -> owner = HOSTS
       :: else ->
          own_process = process[owner];
          has_record[owner] = true;
          confirmed = (records_lost[owner] || owner >= GROUP -> 0 : 1)
       fi
     };
     already_recorded = false; other = 0;
#ifdef NORESERVE
     confirmed = 2;
#else
     do                                            /* Deduplicator.reserve */
     :: owner < HOSTS && other < HOSTS ->
        atomic {
          if
#ifdef PAIR
          :: other != owner && can_reach(owner, other) && confirmed < 2 ->
#else
          :: other != owner && other < GROUP && can_reach(owner, other) ->
#endif
             if
             :: has_record[other] -> already_recorded = true
             :: else ->
                has_record[other] = true;
#ifdef NOFORGOT
                confirmed++
#else
                confirmed = confirmed + (records_lost[other] -> 0 : 1)
#endif
             fi
          :: else
          fi;
          other++
        }
     :: else -> break
     od;
#endif
     atomic {                                      /* Deduplicator.reserveAndRun */
       if
       :: owner < HOSTS && up[owner] && process[owner] == own_process && !already_recorded && confirmed >= GROUP - 1 ->
          runs++;
          assert(runs <= 1)
       :: else                                     /* outcome unknown; records stay */
       fi;
       owner = 0; confirmed = 0; other = 0; own_process = 0; already_recorded = false; from = 0
     }
  :: n >= tries -> break
  od
}

proctype Crash() {
  byte h;
  do
  :: crashes < 2 ->
     atomic {
       crashes++;
       if
       :: h = 0
       :: h = 1
       :: h = 2
       fi;
       up[h] = false; has_record[h] = false; process[h]++
     };
     if
     :: atomic { up[h] = true; records_lost[h] = true }
     :: skip
     fi
  :: break
  od
}

proctype Partition() {
  atomic {
    if :: side[0] = true :: skip fi;
    if :: side[1] = true :: skip fi;
    if :: side[2] = true :: skip fi;
    if :: side[3] = true :: skip fi;
    partitioned = true
  };
  atomic { partitioned = false }
}

init {
  atomic {
    up[0] = true; up[1] = true; up[2] = true; up[3] = true;
    run Caller(1); run Caller(1); run Crash(); run Partition()
  }
}
