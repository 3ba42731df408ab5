package config

import (
	"fmt"
	"net/netip"
	"slices"
)

// CheckReferences returns all faults in the names and references of a document:
// duplicate names, references to names that do not exist, and duplicates of values
// that must be unique. It also checks the addresses, shares and limits.
func CheckReferences(doc *Document) Findings {
	c := checker{doc: doc}
	c.checkDataCentres()
	c.checkPools()
	c.checkQueues()
	c.checkTeams()
	c.checkVMs()
	c.checkKeys()
	c.checkRules()
	return c.findings
}

// checker collects the faults of a document.
type checker struct {
	doc      *Document
	findings Findings

	dataCentreNames pathByName
	poolNames       pathByName
	teamNames       pathByName
}

// pathByName maps a name to the path of the entry that has it.
type pathByName map[string]string

// checkUnique records a name and reports a second entry with the same name.
func (c *checker) checkUnique(seen pathByName, name, path string) {
	if first, taken := seen[name]; taken {
		c.findings.Add(path, "name %q is already used by %s", name, first)
		return
	}
	seen[name] = path
}

// checkReference reports a reference to a name that does not exist.
func (c *checker) checkReference(known pathByName, kind, name, path string) {
	if _, ok := known[name]; !ok {
		c.findings.Add(path, "no %s is named %q", kind, name)
	}
}

func (c *checker) checkDataCentres() {
	c.dataCentreNames = pathByName{}
	for i, dc := range c.doc.Register.DataCentres {
		c.checkUnique(c.dataCentreNames, dc.Name, fmt.Sprintf("register.data_centres[%d].name", i))
	}
}

func (c *checker) checkPools() {
	c.poolNames = pathByName{}
	for i, p := range c.doc.Register.Pools {
		c.checkUnique(c.poolNames, p.Name, fmt.Sprintf("register.pools[%d].name", i))
	}
}

func (c *checker) checkQueues() {
	seen := pathByName{}
	for i, q := range c.doc.Register.Queues {
		path := fmt.Sprintf("register.queues[%d]", i)
		c.checkUnique(seen, q.Name, path+".name")
		c.checkReference(c.poolNames, "pool", q.Pool, path+".pool")
	}
}

func (c *checker) checkTeams() {
	c.teamNames = pathByName{}
	for i, t := range c.doc.Register.Teams {
		path := fmt.Sprintf("register.teams[%d]", i)
		c.checkUnique(c.teamNames, t.Name, path+".name")
		if t.Share < 1 {
			c.findings.Add(path+".share", "share %d is below 1", t.Share)
		}
		if t.Limit < 1 {
			c.findings.Add(path+".limit", "limit %d is below 1", t.Limit)
		}
	}
}

func (c *checker) checkVMs() {
	seen := pathByName{}
	addresses := pathByName{}
	hasVM := map[string]bool{}
	for i, vm := range c.doc.Register.VMs {
		path := fmt.Sprintf("register.vms[%d]", i)
		c.checkVMName(seen, vm, path)
		c.checkReference(c.poolNames, "pool", vm.Pool, path+".pool")
		c.checkReference(c.dataCentreNames, "data centre", vm.DataCentre, path+".data_centre")
		c.checkAddress(addresses, vm.Executor.Address, path+".executor.address")
		hasVM[vm.DataCentre] = true
	}
	if len(c.doc.Register.VMs) == 0 {
		return
	}
	for i, dc := range c.doc.Register.DataCentres {
		if !hasVM[dc.Name] {
			c.findings.Add(fmt.Sprintf("register.data_centres[%d].name", i), "no VM is in data centre %q", dc.Name)
		}
	}
}

func (c *checker) checkVMName(seen pathByName, vm VM, path string) {
	first, taken := seen[vm.Name]
	if !taken {
		seen[vm.Name] = path
		return
	}
	for _, other := range c.doc.Register.VMs {
		if other.Name == vm.Name && other.Pool != vm.Pool {
			c.findings.Add(path+".pool", "VM %q is in pool %q and, at %s, in pool %q", vm.Name, vm.Pool, first, other.Pool)
			return
		}
	}
	c.findings.Add(path+".name", "name %q is already used by %s", vm.Name, first)
}

func (c *checker) checkAddress(seen pathByName, address, path string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 {
		c.findings.Add(path, "%q is not an IP address with a port", address)
		return
	}
	if first, taken := seen[address]; taken {
		c.findings.Add(path, "address %s is already used by %s", address, first)
		return
	}
	seen[address] = path
}

func (c *checker) checkKeys() {
	seen := pathByName{}
	keyByDigest := map[string]Key{}
	for i, k := range c.doc.Register.Keys {
		path := fmt.Sprintf("register.keys[%d]", i)
		c.checkUnique(seen, k.Name, path+".name")
		c.checkReference(c.teamNames, "team", k.Team, path+".team")
		other, taken := keyByDigest[k.SHA256]
		switch {
		case !taken:
			keyByDigest[k.SHA256] = k
		case other.Team != k.Team:
			c.findings.Add(path+".sha256", "the key is used by teams %q and %q", other.Team, k.Team)
		default:
			c.findings.Add(path+".sha256", "the key is already listed as %q", other.Name)
		}
	}
}

func (c *checker) checkRules() {
	out := c.doc.Rules.DataCentresOut
	for i, name := range out {
		path := fmt.Sprintf("rules.data_centres_out[%d]", i)
		c.checkReference(c.dataCentreNames, "data centre", name, path)
		if slices.Index(out, name) < i {
			c.findings.Add(path, "data centre %q is listed twice", name)
		}
	}
}
