// Package conf holds the operators' document: its types, the check of the
// whole document, the commit of one team's section and the adoption by hosts.
//
// A document has a section for each team. Section bodies are stored under
// keys named by their digest and never change. One head key lists every
// section's revision and digest; a compare-and-swap of the head is the only
// commit point. Each commit carries an identifier, so that an answer that was
// lost is settled by reading the head.
//
// Conventions. Names in JSON are in camel case. Durations in JSON are strings
// such as "2.5s". Revisions grow by one with each commit and never go back.
package conf
