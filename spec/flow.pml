/*
 * Handover of a flow to a new owner (pkg/flow).
 *
 * There are three hosts. Host 0 joins. In the rendezvous order of the flow it comes
 * before host 1, and host 1 before host 2. Hosts 1 and 2 learn of the join at any
 * time, or never. Datagrams of one flow arrive at any host. Messages are delayed
 * and reordered, but not lost: the code sends a query up to eight times, and the
 * loss of all of them is outside this model.
 *
 * Property: at most one host pins the flow to a server.
 *
 * Mutation NOASK: an owner without an entry for the flow opens it without queries.
 * Mutation NOREDIRECT: a host that gets a query stores no redirect to the sender.
 */
#define HOSTS 3
#define NONE 9

mtype = { free, pinned, redirected, querying };
mtype = { datagram, query, reply };

mtype state[HOSTS];
byte redirect[HOSTS];     /* target of the redirect of a host */
byte pending[HOSTS];      /* hosts whose reply is missing, as bits */
bool knows_host0[HOSTS];  /* whether the host has learned of the join */
byte holders = 0;
chan net[HOSTS] = [6] of { mtype, byte, byte, byte };  /* kind, from, holder, hops */

/* Table.openFlow */
inline open_flow(me) {
  state[me] = pinned;
  holders++;
  assert(holders <= 1)
}

/* Table.forward */
inline forward(to, hops) {
  if
  :: hops < 3 && nfull(net[to]) -> net[to]!datagram,NONE,NONE,hops + 1
  :: else
  fi
}

/* Table.findHolder and sendQueries */
inline find_holder(me) {
#ifdef NOASK
  open_flow(me)
#else
  state[me] = querying;
  k = 0;
  pending[me] = 0;
  do
  :: k < HOSTS ->
     if
     :: k != me && (k != 0 || knows_host0[me]) ->
        pending[me] = pending[me] | (1 << k);
        net[k]!query,me,NONE,0
     :: else
     fi;
     k++
  :: k >= HOSTS -> break
  od;
  k = 0
#endif
}

/* Table.routeDatagram and handleMiss */
inline handle_datagram(me, hops) {
  owner = (knows_host0[me] -> 0 : 1);
  if
  :: state[me] == pinned || state[me] == querying
  :: state[me] == redirected -> forward(redirect[me], hops)
  :: state[me] == free && owner != me && hops < 2 -> forward(owner, hops)
  :: else -> find_holder(me)
  fi
}

/* Table.handleQuery */
inline handle_query(me, from) {
  holder = NONE;
  if
  :: state[me] == pinned -> holder = me
  :: state[me] == redirected && redirect[me] != from -> holder = redirect[me]
  :: state[me] == redirected && redirect[me] == from
  :: state[me] == querying && me < from -> holder = me
  :: state[me] == querying && me > from -> state[me] = redirected; redirect[me] = from
  :: state[me] == free ->
#ifndef NOREDIRECT
     state[me] = redirected; redirect[me] = from
#else
     skip
#endif
  fi;
  net[from]!reply,me,holder,0
}

/* Table.handleQueryReply */
inline handle_reply(me, from, who) {
  if
  :: state[me] != querying
  :: state[me] == querying && who != NONE && who != me ->
     state[me] = redirected; redirect[me] = who
  :: else ->
     pending[me] = pending[me] & ~(1 << from);
     if
     :: pending[me] == 0 -> open_flow(me)
     :: else
     fi
  fi
}

active proctype Host0() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[0]?datagram,from,who,hops -> handle_datagram(0, hops) }
  :: atomic { net[0]?query,from,who,hops -> handle_query(0, from) }
  :: atomic { net[0]?reply,from,who,hops -> handle_reply(0, from, who) }
  od }

active proctype Host1() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[1]?datagram,from,who,hops -> handle_datagram(1, hops) }
  :: atomic { net[1]?query,from,who,hops -> handle_query(1, from) }
  :: atomic { net[1]?reply,from,who,hops -> handle_reply(1, from, who) }
  :: atomic { !knows_host0[1] -> knows_host0[1] = true }
  od }

active proctype Host2() { byte k, owner, holder, from, who, hops; body: skip;
end: do
  :: atomic { net[2]?datagram,from,who,hops -> handle_datagram(2, hops) }
  :: atomic { net[2]?query,from,who,hops -> handle_query(2, from) }
  :: atomic { net[2]?reply,from,who,hops -> handle_reply(2, from, who) }
  :: atomic { !knows_host0[2] -> knows_host0[2] = true }
  od }

/* The fabric delivers three datagrams, each to any host. */
init {
  byte n;
  atomic { state[0] = free; state[1] = free; state[2] = free; knows_host0[0] = true };
  do
  :: n < 3 ->
     n++;
     if
     :: net[0]!datagram,NONE,NONE,0
     :: net[1]!datagram,NONE,NONE,0
     :: net[2]!datagram,NONE,NONE,0
     fi
  :: n >= 3 -> break
  od
}
