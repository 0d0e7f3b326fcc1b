//go:build review3

// Command stand3 plays the cases of the third review: it starts hosts of the load balancer as
// processes, with a fake store, fake servers and clients on loopback addresses, and checks one rule
// by what clients and servers have seen.
//
//	stand3 -record FILE -trouble=true CASE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
