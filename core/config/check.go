package config

import (
	"fmt"
	"net/netip"
	"slices"
)

// Check returns every fault in the references of a document: names that occur
// twice, names that do not exist, and values that only one entry may hold.
func Check(doc *Document) Findings {
	c := checker{doc: doc}
	c.dataCentres()
	c.pools()
	c.queues()
	c.teams()
	c.vms()
	c.keys()
	c.rules()
	return c.findings
}

type checker struct {
	doc      *Document
	findings Findings

	dataCentreNames names
	poolNames       names
	teamNames       names
}

// names maps a name to the path of the entry that bears it.
type names map[string]string

// add records a name and reports a second entry of the same name.
func (c *checker) add(seen names, name, path string) {
	if first, taken := seen[name]; taken {
		c.findings.Add(path, "name %q is already used by %s", name, first)
		return
	}
	seen[name] = path
}

// refer reports a reference to a name that does not exist.
func (c *checker) refer(known names, kind, name, path string) {
	if _, ok := known[name]; !ok {
		c.findings.Add(path, "no %s is named %q", kind, name)
	}
}

func (c *checker) dataCentres() {
	c.dataCentreNames = names{}
	for i, dc := range c.doc.Register.DataCentres {
		c.add(c.dataCentreNames, dc.Name, fmt.Sprintf("register.data_centres[%d].name", i))
	}
}

func (c *checker) pools() {
	c.poolNames = names{}
	for i, p := range c.doc.Register.Pools {
		c.add(c.poolNames, p.Name, fmt.Sprintf("register.pools[%d].name", i))
	}
}

func (c *checker) queues() {
	seen := names{}
	for i, q := range c.doc.Register.Queues {
		path := fmt.Sprintf("register.queues[%d]", i)
		c.add(seen, q.Name, path+".name")
		c.refer(c.poolNames, "pool", q.Pool, path+".pool")
	}
}

func (c *checker) teams() {
	c.teamNames = names{}
	for i, t := range c.doc.Register.Teams {
		path := fmt.Sprintf("register.teams[%d]", i)
		c.add(c.teamNames, t.Name, path+".name")
		if t.Share < 1 {
			c.findings.Add(path+".share", "share %d is below 1", t.Share)
		}
		if t.Limit < 1 {
			c.findings.Add(path+".limit", "limit %d is below 1", t.Limit)
		}
	}
}

func (c *checker) vms() {
	seen := names{}
	addresses := names{}
	inhabited := map[string]bool{}
	for i, vm := range c.doc.Register.VMs {
		path := fmt.Sprintf("register.vms[%d]", i)
		c.vmName(seen, vm, path)
		c.refer(c.poolNames, "pool", vm.Pool, path+".pool")
		c.refer(c.dataCentreNames, "data centre", vm.DataCentre, path+".data_centre")
		c.address(addresses, vm.Executor.Address, path+".executor.address")
		inhabited[vm.DataCentre] = true
	}
	if len(c.doc.Register.VMs) == 0 {
		return
	}
	for i, dc := range c.doc.Register.DataCentres {
		if !inhabited[dc.Name] {
			c.findings.Add(fmt.Sprintf("register.data_centres[%d].name", i), "no VM is in data centre %q", dc.Name)
		}
	}
}

func (c *checker) vmName(seen names, vm VM, path string) {
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

func (c *checker) address(seen names, address, path string) {
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

func (c *checker) keys() {
	seen := names{}
	digests := map[string]Key{}
	for i, k := range c.doc.Register.Keys {
		path := fmt.Sprintf("register.keys[%d]", i)
		c.add(seen, k.Name, path+".name")
		c.refer(c.teamNames, "team", k.Team, path+".team")
		other, taken := digests[k.SHA256]
		switch {
		case !taken:
			digests[k.SHA256] = k
		case other.Team != k.Team:
			c.findings.Add(path+".sha256", "the key is used by teams %q and %q", other.Team, k.Team)
		default:
			c.findings.Add(path+".sha256", "the key is already listed as %q", other.Name)
		}
	}
}

func (c *checker) rules() {
	out := c.doc.Rules.DataCentresOut
	for i, name := range out {
		path := fmt.Sprintf("rules.data_centres_out[%d]", i)
		c.refer(c.dataCentreNames, "data centre", name, path)
		if slices.Index(out, name) < i {
			c.findings.Add(path, "data centre %q is listed twice", name)
		}
	}
}
