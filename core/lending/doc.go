// Package lending plans which VMs change their pool. It moves idle VMs from
// pools with excess capacity and from the spare pool to pools that lack
// capacity, and parks VMs that stay idle in the spare pool, where they cost
// nothing.
package lending
