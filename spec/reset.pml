/*
 * Reset of open flows to an unreachable server (pkg/steer: unreachable.go;
 * internal/marked: probe.go).
 *
 * A host probes a server, which may be cut off and heal at any time. The first
 * attempt is a connection to the server; if that fails, two more follow, each
 * together with a connection to a reference. A connection fails if the server is cut off, if its packets are lost, or if the host is
 * disturbed: its link is full, or the process is paused beyond the timeout. A
 * disturbance affects both connections of an attempt. One packet at most is lost
 * during a probe. The server may also answer a packet of a flow, which the host
 * sees.
 *
 * Property: the host resets flows only if the server was cut off during the probe.
 *
 * Mutation NOREFERENCE: the result of the reference is ignored.
 * Mutation ONCE: only one attempt is compared with the reference.
 */
bool cut = false;                /* the server is cut off */
bool cut_during_probe = false;
bool disturbed = false;          /* the host is disturbed */
bool answered = false;           /* the server answered a flow since the probe began */
byte losses = 0;
byte changes = 0;

bool server_ok, reference_ok;

/* traffic.connect: one connection; the disturbance is that of the whole attempt */
inline connect(result, reachable) {
  if
  :: disturbed -> result = false
  :: !disturbed && !(reachable) -> result = false
  :: !disturbed && (reachable) -> result = true
  :: !disturbed && (reachable) && losses < 1 -> losses++; result = false
  fi
}

#ifdef NOREFERENCE
#define inconclusive false
#else
#define inconclusive (!reference_ok)
#endif

active proctype Environment() {
  do
  :: atomic { changes < 6 && !cut -> changes++; cut = true; cut_during_probe = true; answered = false }
  :: atomic { changes < 6 && cut -> changes++; cut = false }
  :: atomic { changes < 6 -> changes++; disturbed = !disturbed }
  :: atomic { !cut && !answered -> answered = true }
  :: changes == 6 -> break
  od
}

active proctype Host() {
  byte probes = 0;
again:
  atomic { cut_during_probe = cut; answered = false; losses = 0; probes++ }
  atomic { connect(server_ok, !cut) }
  if
  :: server_ok -> goto done
  :: else
  fi;
#ifndef ONCE
  atomic { connect(server_ok, !cut); connect(reference_ok, true) }
  if
  :: server_ok || inconclusive -> goto done
  :: else
  fi;
#endif
  atomic { connect(server_ok, !cut); connect(reference_ok, true) }
  atomic {
    if
    :: server_ok || inconclusive || answered
    :: else -> assert(cut_during_probe)  /* Table.RecordProbe: the flows are reset */
    fi
  }
done:
  if
  :: probes < 3 -> goto again
  :: else
  fi
}
