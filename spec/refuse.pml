/*
 * Refusal of a flow whose SYN is held (pkg/steer/hold.go).
 *
 * A caller sends a SYN and retransmits it twice unless its flow opens. Routers
 * deliver each transmission to one of two hosts, or it is lost. A host forwards the
 * SYN to a server or holds it. It may refuse a flow whose SYN it holds: the caller
 * then gets a reset. Messages to and from servers take any time. A reset arrives
 * before the next retransmission is sent, since hosts refuse no flow within a
 * margin before it. Hosts crash and lose their state.
 *
 * Properties: the caller gets no reset while its flow is open, and its flow does
 * not open after it was refused.
 *
 * Mutation FIRST: a host refuses even if the first SYN went to the other host.
 * Mutation LATE: a host refuses even if a later SYN may have gone to the other host.
 */
#define HOSTS 2
#define TRANSMISSIONS 3

mtype = { opening, opened, refused };
mtype caller = opening;
byte latest = 0;              /* index of the latest transmission */
bool transmitted = false;     /* whether it has been sent */
byte syns_seen[HOSTS];        /* flow.synsSeen: consecutive transmissions from the first */
bool missed_syn[HOSTS];       /* whether a transmission did not arrive here */
bool held[HOSTS];             /* whether the host holds the SYN */
bool forwarded[HOSTS];        /* whether the host sent the SYN to a server */
bool reset_in_flight[HOSTS];  /* whether a reset of the host is in flight */
byte syns_in_flight = 0;
byte syn_acks_in_flight = 0;
byte crashes = 0;

#ifdef FIRST
#define saw_all(h) (syns_seen[h] > 0 || missed_syn[h])
#else
#define saw_all(h) (!missed_syn[h] && syns_seen[h] > 0)
#endif
#ifdef LATE
#define saw_latest(h) true
#else
#define saw_latest(h) (transmitted && (syns_seen[h] == latest + 1 || missed_syn[h]))
#endif

inline delete_flow(h) {
  syns_seen[h] = 0; missed_syn[h] = false; held[h] = false; forwarded[h] = false
}

/* Table.handleSYN, Table.handleRetransmittedSYN, flow.recordSYN */
inline handle_syn(h) {
  if
  :: syns_seen[h] == latest && !missed_syn[h] -> syns_seen[h]++
  :: else -> missed_syn[h] = true
  fi;
  if
  :: forwarded[h] && syns_in_flight < 3 -> syns_in_flight++
  :: else -> held[h] = !forwarded[h]
  fi
}

active proctype Network() {
  byte h;
  do
  :: atomic { !transmitted && caller == opening ->
       transmitted = true;
       if
       :: true -> handle_syn(0)
       :: true -> handle_syn(1)
       :: skip                                     /* lost */
       fi }
  :: atomic { transmitted && latest < TRANSMISSIONS - 1 && !reset_in_flight[0] && !reset_in_flight[1] ->
       latest++; transmitted = false }
  :: atomic { select (h : 0 .. HOSTS - 1);
       if
       :: held[h] && syns_in_flight < 3 ->         /* Table.release */
          held[h] = false; forwarded[h] = true; syns_in_flight++
       :: held[h] && saw_all(h) && saw_latest(h) ->  /* Table.handleHoldTimeout */
          delete_flow(h); reset_in_flight[h] = true
       :: held[h] -> delete_flow(h)                /* dropped without a reset */
       :: reset_in_flight[h] ->
          reset_in_flight[h] = false;
          assert(caller != opened);
          caller = refused
       :: crashes < 2 -> crashes++; delete_flow(h)
       :: else -> skip
       fi }
  :: atomic { syns_in_flight > 0 && syn_acks_in_flight < 3 -> syns_in_flight--; syn_acks_in_flight++ }
  :: atomic { syn_acks_in_flight > 0 ->
       syn_acks_in_flight--;
       assert(caller != refused);
       caller = opened }
  od
}
