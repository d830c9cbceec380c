// Package ingresscheck tests the daemons against clients that send large bodies, stop just short of their end and keep the
// connection open. It starts the real processes on loopback addresses and checks their memory and open descriptors, so
// scripts/test runs it alone, after all other packages.
package ingresscheck
