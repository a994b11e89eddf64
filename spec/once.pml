/*
 * At most once (pkg/once, internal/httplb/once.go).
 *
 * One key, four hosts ranked 0 to 3, a cut that parts them for a while, and
 * up to two crashes; a crashed host loses its records and may be restarted.
 * The key is submitted twice, at any time, to the host that the receiving
 * side finds as owner. The key's group is the hosts 0 to 2. The
 * owner records the key, reserves it at the others of the group that it can
 * reach, and runs it if all but one of the group recorded it, hosts that were
 * restarted not counted.
 *
 * Property: the request runs at most once.
 *
 * Mutation NORESERVE: the owner runs the key without reserving it.
 * Mutation NOFORGOT: a restarted host counts as one that remembers.
 * Mutation PAIR: any two reachable hosts suffice, also outside of the group.
 */
#define HOSTS 4
#define GROUP 3

bool up[HOSTS];
bool knows[HOSTS];
bool forgot[HOSTS];
byte life[HOSTS];        /* counts the processes of a host */
bool side[HOSTS];        /* where a host is while the cut lasts */
bool parted = false;
byte runs = 0;
byte crashes = 0;

#define reach(a, b) (up[b] && (!parted || side[a] == side[b]))

/* once.MakePlan: the owner is the first host that the receiver can reach. */
inline find_owner(from) {
  if
  :: reach(from, 0) -> owner = 0
  :: !reach(from, 0) && reach(from, 1) -> owner = 1
  :: !reach(from, 0) && !reach(from, 1) && reach(from, 2) -> owner = 2
  :: else -> owner = 3
  fi
}

proctype Caller(byte tries) {
  byte n, from, owner, other, confirmed, mine;
  bool known;
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
       :: !up[from] || !reach(from, owner) || knows[owner] -> owner = HOSTS
       :: else ->
          mine = life[owner];
          knows[owner] = true;
          confirmed = (forgot[owner] || owner >= GROUP -> 0 : 1)
       fi
     };
     known = false; other = 0;
#ifdef NORESERVE
     confirmed = 2;
#else
     do                                            /* Once.reserve */
     :: owner < HOSTS && other < HOSTS ->
        atomic {
          if
#ifdef PAIR
          :: other != owner && reach(owner, other) && confirmed < 2 ->
#else
          :: other != owner && other < GROUP && reach(owner, other) ->
#endif
             if
             :: knows[other] -> known = true
             :: else ->
                knows[other] = true;
#ifdef NOFORGOT
                confirmed++
#else
                confirmed = confirmed + (forgot[other] -> 0 : 1)
#endif
             fi
          :: else
          fi;
          other++
        }
     :: else -> break
     od;
#endif
     atomic {                                      /* Once.runOnce */
       if
       :: owner < HOSTS && up[owner] && life[owner] == mine && !known && confirmed >= GROUP - 1 ->
          runs++;
          assert(runs <= 1)
       :: else                                     /* unknown; records stay */
       fi;
       owner = 0; confirmed = 0; other = 0; mine = 0; known = false; from = 0
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
       up[h] = false; knows[h] = false; life[h]++
     };
     if
     :: atomic { up[h] = true; forgot[h] = true }
     :: skip
     fi
  :: break
  od
}

proctype Cut() {
  atomic {
    if :: side[0] = true :: skip fi;
    if :: side[1] = true :: skip fi;
    if :: side[2] = true :: skip fi;
    if :: side[3] = true :: skip fi;
    parted = true
  };
  atomic { parted = false }
}

init {
  atomic {
    up[0] = true; up[1] = true; up[2] = true; up[3] = true;
    run Caller(1); run Caller(1); run Crash(); run Cut()
  }
}
