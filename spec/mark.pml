/*
 * Marks while a host joins (pkg/steer: Table.resend, open, later; pins).
 *
 * A caller opens one flow. Routers hand its packets to host 0, and after host 1
 * has joined to host 1. Both servers are sound; each that gets the SYN answers
 * it, after any time. The caller's flow opens at the server whose answer it takes
 * first, and its first packet, which it sends at once, names that server; later
 * ones carry the mark of the answer that came last. Host 0 may take
 * a slow handshake for a silent server and send the SYN to the other server.
 * Host 1 tells host 0 that it is ready before the routers use it. Pins that are
 * told arrive before a later answer of a server.
 *
 * Assumption: a SYN that was sent on by time is decided before the routers move
 * the flow. They see host 1 only after host 0 has heard of it, and host 0 takes
 * silence for a moved flow for longer than a handshake may last.
 *
 * Property: no packet of the open flow reaches a server at which it did not open.
 *
 * Mutation UNSETTLED: host 0 sends a SYN on by time also while host 1 joins.
 * Mutation LATEPIN: a pin is told only when a mark shows that both answered.
 * Mutation NOPIN: host 0 does not keep the flow where it saw it open.
 */
#define NONE 2

bool syn[2];              /* the SYN is on its way to the server, or there */
bool answer[2];           /* the server's answer to the SYN is on its way */
byte opened = NONE;       /* where the caller's flow opened */
byte mark = NONE;         /* the latest mark that the caller received */
bool acked = false;       /* the caller's first packet has reached a host */
byte packets = 0;         /* later ones of the caller */
bool told = false;        /* host 0 knows that host 1 is ready */
bool moved = false;       /* the routers use host 1 for the flow */
byte tries = 1;           /* flow.tries at host 0 */
byte pinned = NONE;       /* flow.pinned at host 0 */
byte pin = NONE;          /* what host 1 was told */

#ifdef UNSETTLED
#define settled true
#else
#define settled (!told)
#endif

/* Table.open: the flow's first packet at host 0 */
inline atOpen() {
  pinned = opened;
#ifndef LATEPIN
  if
  :: told && tries > 1 -> pin = pinned
  :: else
  fi
#endif
}

/* Table.marked: a later packet at host 0 */
inline atFirst() {
#ifdef NOPIN
  assert(mark == opened);
#else
  if
  :: mark != pinned && told -> pin = pinned       /* Table.tellPin */
  :: else
  fi;
  assert(pinned == opened);
#endif
}

/* Table.later, with Table.Told */
inline atSecond() {
  if
  :: pin != NONE -> assert(pin == opened)
  :: else -> assert(mark == opened)
  fi
}

active proctype World() {
  syn[0] = true;
  do
  :: atomic { syn[0] -> syn[0] = false; answer[0] = true }
  :: atomic { syn[1] -> syn[1] = false; answer[1] = true }
  :: atomic { answer[0] -> answer[0] = false; mark = 0; if :: opened == NONE -> opened = 0 :: else fi }
  :: atomic { answer[1] -> answer[1] = false; mark = 1; if :: opened == NONE -> opened = 1 :: else fi }
  :: atomic { opened != NONE && !acked ->
       acked = true;
       if
       :: moved                                   /* its mark is right */
       :: else -> atOpen()
       fi }
  :: atomic { acked && packets < 4 ->
       packets++;
       if
       :: moved -> atSecond()
       :: !moved && pinned != NONE -> atFirst()
       :: else
       fi }
  :: acked && packets < 4 -> mark = opened        /* data of the flow's server */
  :: atomic { pinned == NONE && tries == 1 && settled -> tries = 2; syn[1] = true }  /* Table.resend */
  :: atomic { !told ->                            /* peers.heard; all pins are told again */
       told = true;
       if
       :: tries > 1 && pinned != NONE -> pin = pinned
       :: else
       fi }
  :: atomic { told && !moved &&
#ifdef UNSETTLED
              true
#else
              (tries == 1 || pinned != NONE)      /* the assumption */
#endif
       -> moved = true }
  :: packets == 4 -> break
  od
}
