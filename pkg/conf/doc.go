// Package conf defines the operators' configuration document. It validates
// documents, commits edits of a team's section to the platform's store, and
// decides which revisions a host adopts.
//
// A document has one section per team. An encoded section, its body, is
// immutable and stored under a key that contains its digest. The head, a
// single key, lists the revision and digest of every section. A
// compare-and-swap of the head is the only commit point. Each commit carries
// a unique ID, so a client that lost the response to its write reads the head
// to find out whether the edit was committed.
//
// JSON names are in camel case and durations in JSON are strings such as
// "2.5s". Each commit increments the revision, which never decreases.
package conf
