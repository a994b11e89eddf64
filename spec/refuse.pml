/*
 * Refusing a flow whose SYN waits at a host (pkg/steer/lane.go).
 *
 * A caller sends a SYN and two copies of it until its flow is open. Routers
 * hand each to either of two hosts, or it is lost. A host sends a SYN on to a
 * server, or keeps it; one that it kept, it may refuse: the caller gets a
 * reset. Messages to and from servers take any time. A reset arrives before
 * the next copy is sent, since hosts do not refuse in the margin before that.
 * Hosts crash and forget.
 *
 * Property: the caller gets no reset while its flow is open, and its flow does
 * not open after it was refused.
 *
 * Mutation FIRST: a host refuses also if the first SYN went elsewhere.
 * Mutation LATE: a host refuses also when a later copy may have gone elsewhere.
 */
#define HOSTS 2
#define COPIES 3

mtype = { waiting, opened, refused };
mtype caller = waiting;
byte now = 0;              /* the copy that is sent now, or was last */
bool copied = false;       /* it was sent */
byte seen[HOSTS];          /* flow.copies: consecutive copies from the first */
bool broken[HOSTS];        /* a copy was missing here */
bool holds[HOSTS];
bool sent[HOSTS];
bool reset[HOSTS];         /* a reset is on its way */
byte syns = 0;
byte acks = 0;
byte crashes = 0;

#ifdef FIRST
#define whole(h) (seen[h] > 0 || broken[h])
#else
#define whole(h) (!broken[h] && seen[h] > 0)
#endif
#ifdef LATE
#define current(h) true
#else
#define current(h) (copied && (seen[h] == now + 1 || broken[h]))
#endif

inline forget(h) {
  seen[h] = 0; broken[h] = false; holds[h] = false; sent[h] = false
}

/* Table.syn, Table.synCopy, flow.noteCopy */
inline arrive(h) {
  if
  :: seen[h] == now && !broken[h] -> seen[h]++
  :: else -> broken[h] = true
  fi;
  if
  :: sent[h] && syns < 3 -> syns++
  :: else -> holds[h] = !sent[h]
  fi
}

active proctype World() {
  byte h;
  do
  :: atomic { !copied && caller == waiting ->
       copied = true;
       if
       :: true -> arrive(0)
       :: true -> arrive(1)
       :: skip                                     /* lost */
       fi }
  :: atomic { copied && now < COPIES - 1 && !reset[0] && !reset[1] ->
       now++; copied = false }
  :: atomic { select (h : 0 .. HOSTS - 1);
       if
       :: holds[h] && syns < 3 ->                  /* Table.release */
          holds[h] = false; sent[h] = true; syns++
       :: holds[h] && whole(h) && current(h) ->    /* Table.holdEnded */
          forget(h); reset[h] = true
       :: holds[h] -> forget(h)                    /* given up in silence */
       :: reset[h] ->
          reset[h] = false;
          assert(caller != opened);
          caller = refused
       :: crashes < 2 -> crashes++; forget(h)
       :: else -> skip
       fi }
  :: atomic { syns > 0 && acks < 3 -> syns--; acks++ }
  :: atomic { acks > 0 ->
       acks--;
       assert(caller != refused);
       caller = opened }
  od
}
