package fleet

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	// Version is the number that operators give this version in the document, which
	// is not the revision of the document in the store. A higher one replaces it.
	Version int64
	Queues  []Queue
	Pools   []Pool
	Teams   []Team
	// MaxBody is the largest request body in bytes, zero for no limit.
	MaxBody int64
	// MaxHead is the largest head of a request in bytes, HeadTimeout how long a caller
	// may take to send it, and IdleTimeout how long a connection may wait for the next
	// request; zero means that the operators set no limit.
	MaxHead                  int64
	HeadTimeout, IdleTimeout time.Duration

	queuesByHost map[string][]*Queue
	queuesByName map[string]*Queue
	poolsByName  map[string]*Pool
	teamsByName  map[string]*Team
	teamsByKey   map[string]*Team
}

// Queue routes the callers' jobs for a host and path prefix to a pool. Its JSON form is stored
// with jobs.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Pool   string `json:"pool"`
	// Priority is the scheduling priority; zero is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int `json:"max_attempts"`
	// ObjectiveFactor and ObjectiveBase define the latency objective of a job:
	// ObjectiveFactor times the length of its critical path, plus ObjectiveBase.
	ObjectiveFactor float64       `json:"objective_factor,omitempty"`
	ObjectiveBase   time.Duration `json:"objective_base_ns,omitempty"`
	// Timeout is the timeout in the operators' document. Nothing applies it.
	Timeout time.Duration `json:"-"`
	// Open queues accept work without a key.
	Open bool `json:"-"`
	// NeedsTicket means that each start needs a ticket of the advice service.
	NeedsTicket bool `json:"needs_ticket,omitempty"`
	// Advice holds how long calls to that service take for the queue.
	Advice AdviceTimes `json:"advice,omitzero"`
}

// AdviceTimes holds how long the advice service takes to answer a call, and for how long the
// tickets are valid that it issues. Times that are not known are zero. Its JSON form is stored
// with jobs.
type AdviceTimes struct {
	// Base is the time that each call takes, and PerExecutor what it takes in addition for
	// each executor that it names.
	Base        time.Duration `json:"base_ns,omitempty"`
	PerExecutor time.Duration `json:"per_executor_ns,omitempty"`
	// TicketLife is how long a ticket is valid.
	TicketLife time.Duration `json:"ticket_life_ns,omitempty"`
}

// Of returns how long the service takes for a call that names n executors.
func (a AdviceTimes) Of(n int) time.Duration { return a.Base + time.Duration(n)*a.PerExecutor }

// Pool is a set of VMs that serve the same queues.
type Pool struct {
	Name string
	// RejectsOverload means that the pool's executors refuse runs that exceed their
	// capacity.
	RejectsOverload bool
	// Spare pools hold VMs that are switched off and can be lent to other pools.
	Spare bool
}

// Team is a client account with its share and its limit.
type Team struct {
	Name  string
	Keys  []string
	Share float64
	// Limit is the largest amount of resources that the team's running tasks may
	// use across the fleet.
	Limit Vector
}

// Index builds the indexes of the lookup methods, and must be called once before
// them.
func (c *Configuration) Index() {
	c.queuesByHost = map[string][]*Queue{}
	c.queuesByName = map[string]*Queue{}
	c.poolsByName = map[string]*Pool{}
	c.teamsByName = map[string]*Team{}
	c.teamsByKey = map[string]*Team{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
		c.queuesByName[q.Name] = q
	}
	for _, queues := range c.queuesByHost {
		sort.Slice(queues, func(i, j int) bool { return len(queues[i].Prefix) > len(queues[j].Prefix) })
	}
	for i := range c.Pools {
		c.poolsByName[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		c.teamsByName[t.Name] = t
		for _, key := range t.Keys {
			c.teamsByKey[key] = t
		}
	}
}

// Match returns the queue of host with the longest prefix of path, or nil. It
// ignores a port in host.
func (c *Configuration) Match(host, path string) *Queue {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range c.queuesByHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(name string) *Queue { return c.queuesByName[name] }

// QueueAt returns the queue with exactly the given host and prefix, or nil.
func (c *Configuration) QueueAt(host, prefix string) *Queue {
	for _, q := range c.queuesByHost[host] {
		if q.Prefix == prefix {
			return q
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (c *Configuration) Pool(name string) *Pool { return c.poolsByName[name] }

// Team returns the team with the given name, or nil.
func (c *Configuration) Team(name string) *Team { return c.teamsByName[name] }

// TeamOfKey returns the team that holds key, or nil.
func (c *Configuration) TeamOfKey(key string) *Team { return c.teamsByKey[key] }

// IsSparePool reports whether the pool is a spare pool, whose VMs are switched
// off.
func (c *Configuration) IsSparePool(name string) bool {
	p := c.poolsByName[name]
	return p != nil && p.Spare
}
