// Package proofs holds end-to-end tests of the invariants P1 to P8 of docs/design.md. Each test runs entry hosts, fake
// targets and a fake platform as processes on loopback, injects faults under load, and compares the outcomes that
// callers got with what the targets executed. docs/proofs.md lists the tests of each invariant.
package proofs
