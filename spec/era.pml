/*
 * A store that is restored from an older copy (pkg/mirror: Replica; internal/marked:
 * watch.go, fetch.go, era.go).
 *
 * The store has two items, whose writers number their versions: the operators'
 * document, and the entry of a server, which is ready (1), drains (2) and leaves (3,
 * no entry). A restore from an older copy raises the era and takes revisions and
 * items back; then the writers write again what was lost. Two hosts read snapshots
 * and changes, whose answers may arrive late: after others, and in a later era. They
 * exchange their states, unless they are partitioned. A host may be cut off from the
 * store, and one may restart without memory; it asks its peer before it serves.
 *
 * Properties: the version of a replica, the document in force at a host and the state
 * of the server there never go back; what a replica takes for the state of the store
 * was its state at that version; a host that restarts knows what its peer knows; in
 * the end each host has the latest document and state of the server.
 *
 * TWICE: two restores, of a store with the server only, without partitions.
 * Mutation REVISIONS: the code before, which compares revisions alone.
 * Mutation ACCEPT: a snapshot of a higher era replaces everything.
 * Mutation LATE: an answer of a lower era is applied.
 * Mutation DELTA: changes of a higher era are applied without a snapshot.
 * Mutation NOQUERY: a host that restarts does not ask its peer.
 */
#define HOSTS 2
#ifdef TWICE
#define MAX_ERA 2
#define LATEST_DOCUMENT 1
#define MAX_PARTITIONS 0
#else
#define MAX_ERA 1
#define LATEST_DOCUMENT 2
#define MAX_PARTITIONS 2
#endif
#define LEFT 3
#define MAX_REVISION 4  /* one for each version of an item */
#define AT(e, r) ((e) * (MAX_REVISION + 1) + (r))
#define MAX(x, y) ((x) > (y) -> (x) : (y))

typedef Contents {
  byte era, revision;
  byte document, document_at;  /* the version of the item, and its revision */
  byte server, server_at;
  byte kept_document, kept_server  /* of earlier eras, if newer than the above, else 0 */
};

Contents store, copy, none;
byte written_document = 1, written_server = 1;
byte past_document[15], past_server[15];  /* what the store had, by version */
bool has_copy = false;

Contents host[HOSTS];     /* the replicas; revision 0 is empty */
Contents answer[HOSTS];   /* an answer of the store on its way */
bool pending[HOSTS], is_snapshot[HOSTS];
byte seen_document[HOSTS], seen_server[HOSTS];

bool partitioned = false;  /* the hosts from each other */
bool cut = false;          /* host 0 from the store */
byte partitions = 0, restarts = 0;
bool settled = false;      /* the store and the network do not change any more */
byte known_document, known_server, before;

#define document_of(h) MAX(host[h].document, host[h].kept_document)
#define server_of(h) MAX(host[h].server, host[h].kept_server)
#define VERSION(s) AT(s.era, s.revision)

#ifdef REVISIONS
#define is_stale(h, s) (s.revision < host[h].revision)
#define is_higher(h, s) false
#define is_same(h, s) true
#define is_behind(h, s) (host[h].revision < s.revision)
#else
#define is_behind(h, s) (VERSION(host[h]) < VERSION(s))
#ifdef LATE
#define is_stale(h, s) (s.era == host[h].era && s.revision < host[h].revision)
#define is_higher(h, s) (s.era != host[h].era)
#else
#define is_stale(h, s) (VERSION(s) < VERSION(host[h]))
#define is_higher(h, s) (s.era > host[h].era)
#endif
#ifdef DELTA
#define is_same(h, s) (s.era >= host[h].era)
#else
#define is_same(h, s) (s.era == host[h].era)
#endif
#endif

inline assign(to, from) {
  to.era = from.era; to.revision = from.revision;
  to.document = from.document; to.document_at = from.document_at;
  to.server = from.server; to.server_at = from.server_at;
  to.kept_document = from.kept_document; to.kept_server = from.kept_server
}

inline forget_answer(h) { pending[h] = false; is_snapshot[h] = false; assign(answer[h], none) }

inline record_past() {
  past_document[VERSION(store)] = store.document;
  past_server[VERSION(store)] = store.server
}

/* Replica.keep, recordFormer: what the store shows ends a value that is not newer */
inline expire(h) {
  if :: host[h].kept_document <= host[h].document -> host[h].kept_document = 0 :: else fi;
  if :: host[h].kept_server <= host[h].server -> host[h].kept_server = 0 :: else fi
}

inline check(h) {
  assert(document_of(h) >= seen_document[h]);
  assert(server_of(h) >= seen_server[h]);
  seen_document[h] = document_of(h);
  seen_server[h] = server_of(h);
#ifndef REVISIONS
  assert(VERSION(host[h]) >= before);
  assert(host[h].document == past_document[VERSION(host[h])]);
  assert(host[h].server == past_server[VERSION(host[h])]);
#endif
  before = 0; known_document = 0; known_server = 0  /* fewer states */
}

/* Replica.ApplyChanges: items with a higher revision replace those of the replica */
inline apply_changes(h, s) {
  if
  :: is_same(h, s) ->
    if :: s.document_at > host[h].document_at -> host[h].document = s.document; host[h].document_at = s.document_at :: else fi;
    if :: s.server_at > host[h].server_at -> host[h].server = s.server; host[h].server_at = s.server_at :: else fi;
    host[h].era = MAX(host[h].era, s.era);
    host[h].revision = MAX(host[h].revision, s.revision);
    expire(h)
  :: else
  fi
}

/* Replica.applySnapshot */
inline apply_snapshot(h, s) {
  if
  :: is_stale(h, s)
  :: else ->
    if
    :: is_higher(h, s) ->
      known_document = MAX(document_of(h), s.kept_document);
      known_server = MAX(server_of(h), s.kept_server);
      assign(host[h], s);
#ifdef ACCEPT
      host[h].kept_document = 0; host[h].kept_server = 0;
#else
      host[h].kept_document = known_document; host[h].kept_server = known_server;
#endif
      expire(h)
    :: else ->
      apply_changes(h, s)
    fi
  fi
}

active proctype Environment() {
  atomic {
    store.revision = 1; store.document = 1; store.document_at = 1; store.server = 1; store.server_at = 1;
    record_past()
  }
  do
  :: atomic { store.document == written_document && written_document < LATEST_DOCUMENT ->
      written_document++; store.revision++; store.document = written_document; store.document_at = store.revision; record_past() }
  :: atomic { store.server == written_server && written_server < LEFT ->
      written_server++; store.revision++; store.server = written_server; store.server_at = store.revision; record_past() }
  :: atomic { !has_copy && store.era < MAX_ERA -> has_copy = true; assign(copy, store) }
  :: atomic { has_copy -> has_copy = false; copy.era = store.era + 1; assign(store, copy); assign(copy, none); record_past() }
  /* lost items are written again, or the lease of a server that has left expires */
  :: atomic { store.document < written_document ->
      store.revision++; store.document++; store.document_at = store.revision; record_past() }
  :: atomic { store.server < written_server ->
      store.revision++; store.server = written_server; store.server_at = store.revision; record_past() }
  :: atomic { partitions < MAX_PARTITIONS -> partitions++; partitioned = !partitioned }
  :: atomic { partitions < MAX_PARTITIONS -> partitions++; cut = !cut }
  :: atomic { store.document == written_document && store.server == written_server ->
      partitioned = false; cut = false; settled = true; break }
  od;
  /* each host then has the state of the store */
  timeout ->
  assert(document_of(0) == written_document && document_of(1) == written_document);
  assert(server_of(0) == written_server && server_of(1) == written_server)
}

active [HOSTS] proctype Host() {
  byte h = _pid - 1;
  byte peer = 1 - h;
end:
  do
  /* pollStore: the answer shows the store as it is now */
  :: atomic { !(cut && h == 0) && !pending[h] && is_behind(h, store) ->
      pending[h] = true; is_snapshot[h] = (host[h].revision == 0 || !(is_same(h, store))); assign(answer[h], store) }
  /* its arrival, at any time */
  :: atomic { pending[h] && is_snapshot[h] -> before = VERSION(host[h]); apply_snapshot(h, answer[h]); check(h); forget_answer(h) }
  :: atomic { pending[h] && !is_snapshot[h] -> before = VERSION(host[h]); apply_changes(h, answer[h]); check(h); forget_answer(h) }
  /* fetchFrom */
  :: atomic { !partitioned && is_behind(h, host[peer]) && host[h].revision > 0 && is_same(h, host[peer]) -> before = VERSION(host[h]); apply_changes(h, host[peer]); check(h) }
  :: atomic { !partitioned && is_behind(h, host[peer]) && !(host[h].revision > 0 && is_same(h, host[peer])) -> before = VERSION(host[h]); apply_snapshot(h, host[peer]); check(h) }
  /* a restart: it reads the store and asks its peer (awaitsKept, MergeKept) */
  :: atomic { restarts < 1 && !partitioned && !(cut && h == 0) && host[peer].revision > 0 && host[peer].era == store.era ->
      restarts++; forget_answer(h); seen_document[h] = 0; seen_server[h] = 0; before = 0;
      assign(host[h], store);
#ifndef NOQUERY
      host[h].kept_document = host[peer].kept_document; host[h].kept_server = host[peer].kept_server;
      expire(h);
#endif
      assert(document_of(h) >= document_of(peer) && server_of(h) >= server_of(peer));
      check(h) }
  od
}
