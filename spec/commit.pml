/*
 * Commit and adoption of the configuration (pkg/conf).
 *
 * Two operators edit different sections through the one head key. A write's
 * answer may be lost after it took effect; the operator then reads the head
 * and looks for its commit's identifier. The platform may go back in time
 * once. Two hosts adopt heads from the platform or from each other.
 *
 * Content is a set of bits, one for each operator's edit.
 *
 * Properties: an edit is committed at most once; an accepted edit is in the
 * head unless the platform went back; a host's revision never falls, and
 * neither does a host lose an edit that it had in force.
 *
 * Mutation NOCAS: the head is written without a comparison.
 * Mutation DOWN: hosts adopt any head that they are offered.
 */
#define OPERATORS 2
#define HOSTS 2

byte head_rev = 0;      /* revision in the platform */
byte head_bits = 0;     /* edits in the platform's head */
byte version = 0;       /* version of the head key */
byte saved_rev = 0;
byte saved_bits = 0;
bool went_back = false;
byte commits[OPERATORS];
bool accepted[OPERATORS];
byte host_rev[HOSTS];
byte host_bits[HOSTS];

/* conf.Committer.Put and try */
proctype Operator(byte me) {
  byte rev, bits, ver, tries;
  bit lost;
  do
  :: tries < 3 ->
     tries++;
     atomic { rev = head_rev; bits = head_bits; ver = version }    /* ReadHead */
     if
     :: (bits & (1 << me)) ->                                      /* Head.find */
        accepted[me] = true;
        break
     :: else
     fi;
     if                                                            /* BehindError */
     :: rev < host_rev[0] -> break
     :: else
     fi;
     atomic {                                                      /* KV.Swap */
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
          :: lost = 1                                              /* ErrUnknown */
          :: lost = 0
          fi
       :: else -> lost = 1                                         /* ErrConflict */
       fi
     };
     if
     :: lost == 0 -> accepted[me] = true; break
     :: else -> lost = 0
     fi
  :: tries >= 3 -> break
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
     assert(went_back || (host_bits[h] & bits) == host_bits[h]);
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
     :: atomic { rev = head_rev; bits = head_bits }                /* watchLoop */
     :: atomic { rev = host_rev[1 - me]; bits = host_bits[1 - me] } /* fetchPeer */
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
     atomic { head_rev = saved_rev; head_bits = saved_bits; version++; went_back = true }
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
  assert(went_back || commits[0] <= 1);
  assert(went_back || commits[1] <= 1);
  assert(went_back || !accepted[0] || (head_bits & 1));
  assert(went_back || !accepted[1] || (head_bits & 2))
}
