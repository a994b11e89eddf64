/*
 * At most once (pkg/once, internal/front/once.go).
 *
 * One key, three hosts, ranked 0, 1, 2. The caller submits the key up to
 * three times, each time to the host that it finds as owner: the first host
 * that is up. The owner records the key, reserves it at the next host that is
 * up, and then runs it. Up to two hosts crash; a crashed host loses its
 * records and may be restarted, which the others know (Forgot).
 *
 * Property: the request runs at most once.
 *
 * Mutation NORESERVE: the owner runs the key without reserving it.
 * Mutation NOFORGOT: a restart does not count as a lost memory.
 */
#define HOSTS 3

bool up[HOSTS];
bool knows[HOSTS];
bool forgot[HOSTS];
byte life[HOSTS];        /* counts the processes of a host */
byte runs = 0;
byte crashes = 0;

/* once.MakePlan: lost memories that rank before the first settled host. */
inline plan() {
  lost = 0; covered = false; i = 0;
  do
  :: i < HOSTS ->
     if
#ifdef NOFORGOT
     :: !covered && !up[i] -> lost++
#else
     :: !covered && (!up[i] || forgot[i]) -> lost++
#endif
     :: else
     fi;
     if
     :: up[i] && !forgot[i] -> covered = true
     :: else
     fi;
     i++
  :: i >= HOSTS -> break
  od;
  i = 0
}

/* The owner is the first host that is up. */
inline find_owner() {
  if
  :: up[0] -> owner = 0
  :: !up[0] && up[1] -> owner = 1
  :: !up[0] && !up[1] && up[2] -> owner = 2
  :: else -> owner = HOSTS
  fi
}

proctype Caller() {
  byte n, owner, i, lost, other, silent;
  bool covered, known, unsure;
  byte confirmed, mine;
  do
  :: n < 3 ->
     n++;
     atomic { find_owner() };
     if
     :: owner == HOSTS -> skip
     :: else ->
        atomic {                                   /* Ledger.Begin */
          if
          :: !up[owner] -> owner = HOSTS
          :: up[owner] && knows[owner] -> owner = HOSTS
          :: else -> knows[owner] = true; mine = life[owner]; plan(); unsure = (lost >= 2)
          fi
        };
        confirmed = 0; known = false; other = 0; covered = false; silent = 0;
#ifndef NORESERVE
        do                                         /* Once.reserve */
        :: owner < HOSTS && other < HOSTS ->
           atomic {
             if                                    /* MakePlan: who is asked */
             :: other != owner && up[other] && !(covered && confirmed >= 1) ->
                if
                :: knows[other] -> known = true
                :: else -> knows[other] = true; confirmed++
                fi
             :: !up[other] && !covered -> silent++    /* markLost */
             :: else
             fi;
#ifndef NOFORGOT
             if
             :: up[other] && forgot[other] && !covered -> silent++
             :: else
             fi;
#endif
             if
             :: up[other] && !forgot[other] -> covered = true
             :: else
             fi;
             other++
           }
        :: else -> break
        od;
#else
        confirmed = 1;
#endif
        atomic {                                   /* Once.runOnce */
          if
          :: owner < HOSTS && up[owner] && life[owner] == mine && !known && !unsure && silent < 2 && confirmed >= 1 ->
             runs++;
             assert(runs <= 1)
          :: else                                  /* unknown; records stay */
          fi
        }
     fi
  :: n >= 3 -> break
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

init {
  atomic {
    up[0] = true; up[1] = true; up[2] = true;
    run Caller(); run Caller(); run Crash()
  }
}
