// Package fakes provides simple stand-ins for the surroundings of the system:
// the platform's key-value service, the fabric and backend servers. The platform
// can inject the faults that the system must tolerate. Tests, the demo and
// rampbench use the package.
package fakes
