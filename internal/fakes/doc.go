// Package fakes holds small stand-ins for what lies around the system: the
// platform's key-value service, the fabric, backend servers and callers. They
// can misbehave in the ways that the product has to survive. They are used by
// tests, by the demo and by rampbench.
package fakes
