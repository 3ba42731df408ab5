package fleet

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one version of what the operator asks for.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBody is the largest request body in bytes, zero where there is no limit.
	MaxBody int64

	byHost map[string][]*Queue
	byName map[string]*Queue
	pools  map[string]*Pool
	teams  map[string]*Team
	keys   map[string]*Team
}

// Queue is a route of callers' work to a pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority zero goes first.
	Priority int
	// Attempts is how many failed runs end a task for good.
	Attempts int
	// Stretch and Objective give the latency objective of a job: Stretch times
	// its longest chain of work plus Objective.
	Stretch   float64
	Objective time.Duration
	Timeout   time.Duration
	// Open queues take work without a key.
	Open bool
	// Advised queues need a ticket for each start.
	Advised bool
}

// Pool is a set of VMs that serve the same queues.
type Pool struct {
	Name string
	// Guarded pools have executors that refuse what does not fit.
	Guarded bool
	// Spare pools hold VMs that are off and are lent to other pools.
	Spare bool
}

// Team is a client account with its share and its limit.
type Team struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds what the team has running in the whole fleet.
	Limit Vector
}

// Index prepares the look-ups and has to be called once before them.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Queue{}
	c.byName = map[string]*Queue{}
	c.pools = map[string]*Pool{}
	c.teams = map[string]*Team{}
	c.keys = map[string]*Team{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		c.byName[q.Name] = q
	}
	for _, queues := range c.byHost {
		sort.Slice(queues, func(i, j int) bool { return len(queues[i].Prefix) > len(queues[j].Prefix) })
	}
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		c.teams[t.Name] = t
		for _, key := range t.Keys {
			c.keys[key] = t
		}
	}
}

// Match returns the queue with the longest prefix of path on host, or nil.
func (c *Configuration) Match(host, path string) *Queue {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(name string) *Queue { return c.byName[name] }

// Pool returns the pool with the given name, or nil.
func (c *Configuration) Pool(name string) *Pool { return c.pools[name] }

// Team returns the team with the given name, or nil.
func (c *Configuration) Team(name string) *Team { return c.teams[name] }

// TeamOfKey returns the team that holds key, or nil.
func (c *Configuration) TeamOfKey(key string) *Team { return c.keys[key] }

// PoolIsSpare reports whether the VMs of a pool are off.
func (c *Configuration) PoolIsSpare(name string) bool {
	p := c.pools[name]
	return p != nil && p.Spare
}
