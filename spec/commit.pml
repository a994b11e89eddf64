/*
 * Commit and adoption of the configuration (pkg/conf).
 *
 * Two operators edit different sections of the document, whose revision and
 * history are in a single head key. The answer to a write may be lost after the
 * write took effect; the operator then reads the head and looks for the identifier
 * of its commit. The platform may roll back once to an earlier state. Two hosts
 * adopt heads from the platform or from each other.
 *
 * The content of a document is a set of bits, one for the edit of each operator.
 *
 * Properties: an edit is committed at most once. An accepted edit is in the head
 * unless the platform rolled back. The revision of a host never decreases, and a
 * host never loses an edit that was in force on it.
 *
 * Mutation NOCAS: the head is written without comparing its version.
 * Mutation DOWN: hosts adopt any head that they are offered.
 */
#define OPERATORS 2
#define HOSTS 2

byte head_rev = 0;   /* revision of the head in the platform */
byte head_bits = 0;  /* edits in the head in the platform */
byte version = 0;    /* version of the head key */
byte saved_rev = 0;
byte saved_bits = 0;
bool rolled_back = false;
byte commits[OPERATORS];
bool accepted[OPERATORS];
byte host_rev[HOSTS];
byte host_bits[HOSTS];

/* conf.Committer.Put and attempt */
proctype Operator(byte me) {
  byte rev, bits, ver, attempts;
  bit retry;
  do
  :: attempts < 3 ->
     attempts++;
     atomic { rev = head_rev; bits = head_bits; ver = version }   /* ReadHead */
     if
     :: (bits & (1 << me)) ->                                     /* Head.commitByID */
        accepted[me] = true;
        break
     :: else
     fi;
     if                                                           /* StaleHeadError */
     :: rev < host_rev[0] -> break
     :: else
     fi;
     atomic {                                                     /* KV.CompareAndSwap */
       if
#ifdef NOCAS
       :: true ->
#else
       :: version == ver ->
#endif
          version++;
          head_rev = rev + 1;
          head_bits = bits | (1 << me);
          commits[me]++;
          if
          :: retry = 1                                            /* store.ErrOutcomeUnknown */
          :: retry = 0
          fi
       :: else -> retry = 1                                       /* store.ErrConflict */
       fi
     };
     if
     :: retry == 0 -> accepted[me] = true; break
     :: else -> retry = 0
     fi
  :: attempts >= 3 -> break
  od
}

/* conf.Adopter.Offer */
inline offer(h, rev, bits) {
  if
#ifdef DOWN
  :: true ->
#else
  :: rev > host_rev[h] ->
#endif
     assert(rev >= host_rev[h]);
     assert(rolled_back || (host_bits[h] & bits) == host_bits[h]);
     host_rev[h] = rev;
     host_bits[h] = bits
  :: else
  fi
}

proctype Host(byte me) {
  byte n, rev, bits;
  do
  :: n < 3 ->
     n++;
     if
     :: atomic { rev = head_rev; bits = head_bits }               /* watchLoop */
     :: atomic { rev = host_rev[1 - me]; bits = host_bits[1 - me] }  /* fetchConfig, fetchForeignConfig */
     fi;
     atomic { offer(me, rev, bits) }
  :: n >= 3 -> break
  od
}

/* fakes.Platform.Snapshot */
proctype Platform() {
  atomic { saved_rev = head_rev; saved_bits = head_bits };
  if
  :: true ->
     atomic { head_rev = saved_rev; head_bits = saved_bits; version++; rolled_back = true }
  :: true
  fi
}

init {
  atomic {
    run Operator(0); run Operator(1);
    run Host(0); run Host(1);
    run Platform()
  };
  (_nr_pr == 1);
  assert(rolled_back || commits[0] <= 1);
  assert(rolled_back || commits[1] <= 1);
  assert(rolled_back || !accepted[0] || (head_bits & 1));
  assert(rolled_back || !accepted[1] || (head_bits & 2))
}
