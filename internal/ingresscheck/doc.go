// Package ingresscheck tests the daemons against clients that do not behave: they send large bodies, stop just short of their end and keep
// the connection open, or send complete requests that take far more memory than their bytes. It starts the real processes on loopback
// addresses and checks that they live, answer an ordinary request and stay within bounds of memory and open descriptors. scripts/test runs it
// alone, after all other packages.
package ingresscheck
