/*
 * Hosts that feed a cold server (pkg/warmup: membership.go; internal/marked:
 * feeders.go).
 *
 * Three hosts of a data centre and one cold server, which the first host of the
 * ranking feeds: host 0 ranks before host 1, and that before host 2. Hosts 1 and 2
 * run and know each other; host 0 joins at any time. One host at a time may be cut
 * off from the others, and one of hosts 1 and 2 restarts without memory. Each host
 * that feeds the server may send a flow at any time. A tick is a second.
 *
 * Assumptions: a host knows what a host knows that it has been in touch with for
 * LEARN ticks (digests name new hosts first); a cut ends before the hosts forget each other; a host that starts reads the records of hosts
 * 1 and 2 in the store; no host is cut off while it or one that it is in touch with has
 * yet to learn of a host that the other knows. The flows of a host that misses a join
 * in this way are covered by the reserve of the bound, which the model leaves out.
 *
 * Property: in any two successive ticks, flows of one host only reach the server.
 *
 * A host that has been cut off for FRESH ticks lacks a majority and feeds nothing, and
 * when it has one again, a hold-down begins. A
 * host that has the list of an established host need not hear from a host that has been
 * cut off for FRESH ticks and the hold-down.
 *
 * Mutation NOHOLDDOWN: a host feeds the server as soon as its knowledge allows it.
 * Mutation LIVEONLY: a host ranks only hosts that it is in touch with, and needs no
 * majority.
 * Mutation NOHEARING: a host that starts need not hear from the hosts that it knows.
 * Mutation NOREGAIN: a host that has a majority again feeds the server at once.
 * Mutation SOON: it need not hear from a host from the moment at which it is cut off.
 */
#define NONE 3
#define LEARN 2
#ifdef NOHOLDDOWN
#define HOLD 0
#else
#define HOLD 3
#endif
#define FRESH 2
#ifdef SOON
#define LOST 0
#else
#define LOST (FRESH + 3)
#endif
#define RECORDS 6                     /* hosts 1 and 2 */
#define has(set, i) (((set) >> (i)) & 1)

bool up[3];
byte known[3];                        /* sets of hosts, with the host itself */
byte heard[3];
bool listed[3];                       /* has the list of another host */
bool full_list[3];                    /* has the list of an established host */
bool established[3];
byte age[3];                          /* ticks since known changed, up to HOLD */
byte waited[9];                       /* ticks in touch with a host that knows more */
byte cut_off = NONE;
byte cuts = 0;
byte cut_for = 0;                     /* ticks of the present cut, up to FRESH + 3 */
bool restarted = false;
byte sender = NONE, previous_sender = NONE;

#define in_touch(i, j) (i != j && up[i] && up[j] && cut_off != i && cut_off != j)
#define knows_more(j, i) ((known[j] & ~known[i]) != 0)
#define is_behind(i, j) (in_touch(i, j) && knows_more(j, i))
#define agrees(i, j) (!is_behind(i, j) && !is_behind(j, i))
#define ranks_first(i) ((known[i] & ((1 << (i)) - 1)) == 0)

inline start(i) {
  up[i] = true; known[i] = (1 << i) | RECORDS; heard[i] = 1 << i;
  listed[i] = false; full_list[i] = false; established[i] = false; age[i] = 0
}

inline add(i, set) {
  if
  :: (known[i] | (set)) != known[i] -> known[i] = known[i] | (set); age[i] = 0
  :: else
  fi
}

/* peers.observeHost, handleDigest, mergeRetainedState */
inline receive(i, j) {
  if
  :: in_touch(i, j) && !has(known[i], j) -> add(i, 1 << j)
  :: in_touch(i, j) && has(known[j], i) && !has(heard[i], j) -> add(i, 1 << j); heard[i] = heard[i] | (1 << j)
  :: in_touch(i, j) && (!listed[i] || knows_more(j, i)) -> listed[i] = true; add(i, known[j]); full_list[i] = full_list[i] || established[j]
  :: else
  fi
}

/* Membership.Update */
inline establish(i) {
  established[i] = true; age[i] = 0
}

#ifdef NOHEARING
#define all_heard(i) true
#else
#define lost_set(i) ((full_list[i] && cut_off != NONE && cut_off != i && cut_for >= LOST) -> (1 << cut_off) : 0)
#define all_heard(i) ((known[i] & (heard[i] | lost_set(i))) == known[i])
#endif

#ifdef LIVEONLY
#define has_majority(i) true
#else
#define has_majority(i) (cut_off != i || cut_for < FRESH)
#endif

/* Limit.Next, Table.recordColdSYN */
inline send(i) {
  assert(sender == NONE || sender == i);
  assert(previous_sender == NONE || previous_sender == i);
  sender = i
}

#define overdue(i, j) (is_behind(i, j) && waited[3 * i + j] >= LEARN - 1)
#define none_overdue (!overdue(0, 1) && !overdue(0, 2) && !overdue(1, 0) && !overdue(1, 2) && !overdue(2, 0) && !overdue(2, 1))

inline count_wait(i, j) {
  if
  :: is_behind(i, j) -> waited[3 * i + j]++
  :: else -> waited[3 * i + j] = 0
  fi
}

inline drop_lost(i, j) {
  if
  :: i != j && has(known[i], j) && !in_touch(i, j) -> known[i] = known[i] & ~(1 << j); age[i] = 0
  :: else
  fi
}

inline end_tick() {
  previous_sender = sender; sender = NONE;
  if
  :: cut_off != NONE && cut_for < FRESH + 3 -> cut_for++
  :: else
  fi;
  for (a : 0 .. 2) {
    if
    :: age[a] < HOLD -> age[a]++
    :: else
    fi;
    for (b : 0 .. 2) {
      count_wait(a, b);
#ifdef LIVEONLY
      drop_lost(a, b)
#endif
    }
  }
  a = 0; b = 0
}

active proctype DataCentre() {
  byte a = 0, b = 0, i, j;
  atomic {
    start(1); start(2);
    heard[1] = 6; heard[2] = 6; listed[1] = true; listed[2] = true;
    establish(1); establish(2); age[1] = HOLD; age[2] = HOLD
  }
  do
  :: atomic { !up[0] -> start(0) }
  :: atomic { !restarted -> restarted = true; if :: start(1) :: start(2) fi }
  :: atomic { cut_off == NONE && cuts < 3 -> select(i : 0 .. 2);
       if
       :: agrees(i, 0) && agrees(i, 1) && agrees(i, 2) -> cuts++; cut_off = i
       :: else
       fi; i = 0 }
  :: atomic { cut_off != NONE ->
#ifndef NOREGAIN
       if
       :: cut_for >= FRESH -> age[cut_off] = 0
       :: else
       fi;
#endif
       cut_off = NONE; cut_for = 0 }
  :: atomic { select(i : 0 .. 2); select(j : 0 .. 2); receive(i, j); i = 0; j = 0 }
  :: atomic { select(i : 0 .. 2);
       if
       :: up[i] && listed[i] && !established[i] && all_heard(i) -> establish(i)
       :: else
       fi; i = 0 }
  :: atomic { select(i : 0 .. 2);
       if
       :: up[i] && established[i] && age[i] >= HOLD && has_majority(i) && ranks_first(i) -> send(i)
       :: else
       fi; i = 0 }
  :: atomic { none_overdue -> end_tick() }
  od
}
