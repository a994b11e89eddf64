/*
 * Hand-over of a flow (pkg/flow).
 *
 * Three hosts. Host 0 joins and outranks host 1, which outranks host 2. Hosts
 * 1 and 2 learn of the join at any time, or not at all. Datagrams of one flow
 * arrive at any host. Messages are delayed and reordered, but not lost: the
 * code repeats an ask eight times, and a loss of all is outside this model.
 *
 * Property: at most one host holds the flow.
 *
 * Mutation NOASK: an owner opens a flow that it does not know at once.
 * Mutation NOREDIRECT: a host that is asked does not remember the asker.
 */
#define HOSTS 3
#define NONE 9

mtype = { free, held, redirected, asking };
mtype = { packet, ask, answer };

mtype state[HOSTS];
byte peer[HOSTS];
byte waits[HOSTS];          /* answers that are still missing, as bits */
bool sees[HOSTS];           /* whether the host knows of host 0 */
byte holders = 0;
chan net[HOSTS] = [6] of { mtype, byte, byte, byte };  /* kind, from, holder, hops */

inline open(me) {
  state[me] = held;
  holders++;
  assert(holders <= 1)
}

/* Table.pass */
inline pass(to, hops) {
  if
  :: hops < 3 && nfull(net[to]) -> net[to]!packet,NONE,NONE,hops + 1
  :: else
  fi
}

/* Table.seek */
inline seek(me) {
#ifdef NOASK
  open(me)
#else
  state[me] = asking;
  k = 0;
  waits[me] = 0;
  do
  :: k < HOSTS ->
     if
     :: k != me && (k != 0 || sees[me]) ->
        waits[me] = waits[me] | (1 << k);
        net[k]!ask,me,NONE,0
     :: else
     fi;
     k++
  :: k >= HOSTS -> break
  od;
  k = 0
#endif
}

/* Table.datagram and Table.miss */
inline datagram(me, hops) {
  owner = (sees[me] -> 0 : 1);
  if
  :: state[me] == held || state[me] == asking
  :: state[me] == redirected -> pass(peer[me], hops)
  :: state[me] == free && owner != me && hops < 2 -> pass(owner, hops)
  :: else -> seek(me)
  fi
}

/* Table.asked */
inline asked(me, from) {
  holder = NONE;
  if
  :: state[me] == held -> holder = me
  :: state[me] == redirected && peer[me] != from -> holder = peer[me]
  :: state[me] == redirected && peer[me] == from
  :: state[me] == asking && me < from -> holder = me
  :: state[me] == asking && me > from -> state[me] = redirected; peer[me] = from
  :: state[me] == free ->
#ifndef NOREDIRECT
     state[me] = redirected; peer[me] = from
#else
     skip
#endif
  fi;
  net[from]!answer,me,holder,0
}

/* Table.answer */
inline answered(me, from, who) {
  if
  :: state[me] != asking
  :: state[me] == asking && who != NONE && who != me ->
     state[me] = redirected; peer[me] = who
  :: else ->
     waits[me] = waits[me] & ~(1 << from);
     if
     :: waits[me] == 0 -> open(me)
     :: else
     fi
  fi
}

active proctype Host0() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[0]?packet,from,who,hops -> datagram(0, hops) }
  :: atomic { net[0]?ask,from,who,hops -> asked(0, from) }
  :: atomic { net[0]?answer,from,who,hops -> answered(0, from, who) }
  od }

active proctype Host1() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[1]?packet,from,who,hops -> datagram(1, hops) }
  :: atomic { net[1]?ask,from,who,hops -> asked(1, from) }
  :: atomic { net[1]?answer,from,who,hops -> answered(1, from, who) }
  :: atomic { !sees[1] -> sees[1] = true }
  od }

active proctype Host2() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[2]?packet,from,who,hops -> datagram(2, hops) }
  :: atomic { net[2]?ask,from,who,hops -> asked(2, from) }
  :: atomic { net[2]?answer,from,who,hops -> answered(2, from, who) }
  :: atomic { !sees[2] -> sees[2] = true }
  od }

/* The fabric hands three datagrams to any host. */
init {
  byte n;
  atomic { state[0] = free; state[1] = free; state[2] = free; sees[0] = true };
  do
  :: n < 3 ->
     n++;
     if
     :: net[0]!packet,NONE,NONE,0
     :: net[1]!packet,NONE,NONE,0
     :: net[2]!packet,NONE,NONE,0
     fi
  :: n >= 3 -> break
  od
}
