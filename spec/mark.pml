/*
 * Marks while a host joins (pkg/steer: resend.go, observe.go, pin.go).
 *
 * A caller opens one flow. Routers deliver its packets to host 0, and to host 1
 * after it has joined. Both servers are healthy: each that gets the SYN answers
 * it, after any time. The flow opens at the server whose answer the caller receives
 * first. The caller sends its first packet at once, with the mark of that server;
 * later packets carry the mark of the answer that came last. Host 0 may take a slow
 * handshake for an unresponsive server and send the SYN to the other server. Host 1
 * announces to host 0 that it is ready before the routers use it. A pin that is
 * announced arrives before a later answer of a server.
 *
 * Assumption: if host 0 sent the SYN to the other server after a timeout, the
 * handshake ends before the routers move the flow. The routers learn of host 1 only
 * after host 0 has, and host 0 expects rerouting, and so sends no SYN after a
 * timeout, for longer than a handshake may last.
 *
 * Property: no packet of the open flow reaches a server at which it did not open.
 *
 * Mutation UNSETTLED: host 0 sends a SYN after a timeout even while host 1 joins.
 * Mutation LATEPIN: a pin is announced only when a mark shows that both servers
 * answered.
 * Mutation NOPIN: host 0 does not keep the flow at the server where it saw it open.
 */
#define NONE 2

bool syn_in_flight[2];              /* whether the server still has to answer a SYN */
bool answer_in_flight[2];           /* whether its answer has not arrived yet */
byte opened_at = NONE;              /* server at which the flow opened */
byte latest_mark = NONE;            /* latest mark that the caller received */
bool first_packet_arrived = false;  /* the first packet after the SYN has reached a host */
byte later_packets = 0;             /* number of packets after the first */
bool host1_known = false;           /* host 0 knows that host 1 is ready */
bool rerouted = false;              /* the routers deliver the flow to host 1 */
byte tries = 1;                     /* flow.tries at host 0 */
byte pinned_server = NONE;          /* flow.pinnedMark at host 0 */
byte received_pin = NONE;           /* pin announced to host 1 */

#ifdef UNSETTLED
#define routes_stable true
#else
#define routes_stable (!host1_known)
#endif

/* Table.recordOpen: the first packet after the SYN arrives at host 0 */
inline handle_first_packet() {
  pinned_server = opened_at;
#ifndef LATEPIN
  if
  :: host1_known && tries > 1 -> received_pin = pinned_server
  :: else
  fi
#endif
}

/* Table.serverFor: a later packet arrives at host 0 */
inline handle_at_host0() {
#ifdef NOPIN
  assert(latest_mark == opened_at);
#else
  if
  :: latest_mark != pinned_server && host1_known -> received_pin = pinned_server  /* Table.announcePin */
  :: else
  fi;
  assert(pinned_server == opened_at);
#endif
}

/* Table.serverFor, after Table.AddPin: a packet arrives at host 1 */
inline handle_at_host1() {
  if
  :: received_pin != NONE -> assert(received_pin == opened_at)
  :: else -> assert(latest_mark == opened_at)
  fi
}

active proctype Network() {
  syn_in_flight[0] = true;
  do
  :: atomic { syn_in_flight[0] -> syn_in_flight[0] = false; answer_in_flight[0] = true }
  :: atomic { syn_in_flight[1] -> syn_in_flight[1] = false; answer_in_flight[1] = true }
  :: atomic { answer_in_flight[0] -> answer_in_flight[0] = false; latest_mark = 0; if :: opened_at == NONE -> opened_at = 0 :: else fi }
  :: atomic { answer_in_flight[1] -> answer_in_flight[1] = false; latest_mark = 1; if :: opened_at == NONE -> opened_at = 1 :: else fi }
  :: atomic { opened_at != NONE && !first_packet_arrived ->
       first_packet_arrived = true;
       if
       :: rerouted                                 /* its mark is the right one */
       :: else -> handle_first_packet()
       fi }
  :: atomic { first_packet_arrived && later_packets < 4 ->
       later_packets++;
       if
       :: rerouted -> handle_at_host1()
       :: !rerouted && pinned_server != NONE -> handle_at_host0()
       :: else
       fi }
  :: first_packet_arrived && later_packets < 4 -> latest_mark = opened_at  /* data of the flow's server */
  :: atomic { pinned_server == NONE && tries == 1 && routes_stable -> tries = 2; syn_in_flight[1] = true }  /* Table.resendAfterTimeout */
  :: atomic { !host1_known ->                      /* peers: a first digest; all pins are announced */
       host1_known = true;
       if
       :: tries > 1 && pinned_server != NONE -> received_pin = pinned_server
       :: else
       fi }
  :: atomic { host1_known && !rerouted &&
#ifdef UNSETTLED
              true
#else
              (tries == 1 || pinned_server != NONE)  /* the assumption above */
#endif
       -> rerouted = true }
  :: later_packets == 4 -> break
  od
}
