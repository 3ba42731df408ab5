package carrier

import "time"

const (
	// maxOrderAge is how old an order may be when a node sends it on. It is shorter
	// than the time after which the owner acts as if the order had been lost.
	maxOrderAge = 600 * time.Millisecond
	// sampleLifetime is how long a comparison of the two clocks counts; within it
	// they drift apart by less than the rounding of an order's time.
	sampleLifetime = 10 * time.Second
)

// Freshness tells a node how old the owner's orders are. The clocks of two VMs have
// nothing in common, so it compares them whenever a message returns: the owner's
// clock cannot have been later, at the node's question, than its answer says. A VM
// that was frozen between receiving and sending an order finds it too old. The zero
// value takes every order as too old.
type Freshness struct {
	samples []clockSample
}

// clockSample is an upper bound of the owner's clock less the node's.
type clockSample struct {
	at     time.Duration
	offset time.Duration
}

// Compare records that the owner's clock read ownerClock after the node's read
// asked; now is the node's present clock.
func (f *Freshness) Compare(now, asked, ownerClock time.Duration) {
	kept := f.samples[:0]
	for _, s := range f.samples {
		if now <= s.at+sampleLifetime {
			kept = append(kept, s)
		}
	}
	f.samples = kept
	s := clockSample{now, ownerClock - asked}
	// Only a smaller bound is worth keeping beside later ones.
	for len(f.samples) > 0 && f.samples[len(f.samples)-1].offset >= s.offset {
		f.samples = f.samples[:len(f.samples)-1]
	}
	f.samples = append(f.samples, s)
}

// IsFresh reports whether an order that the owner sent at the given time of its
// clock may still be sent on at the node's time now.
func (f *Freshness) IsFresh(now, sent time.Duration) bool {
	age, ok := f.MaxAge(now, sent)
	return ok && age <= maxOrderAge
}

// MaxAge returns how old a message is at most, at this side's time now, that the peer
// sent at the given time of its clock. It returns false if the clocks have not been
// compared lately.
func (f *Freshness) MaxAge(now, sent time.Duration) (time.Duration, bool) {
	for _, s := range f.samples {
		if now <= s.at+sampleLifetime {
			// The first sample that still counts has the smallest offset.
			return now + s.offset - sent, true
		}
	}
	return 0, false
}
