package estimate

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The stored form of a Book.
const (
	// storedForm is the number of the form; others are not read.
	storedForm = 1
	// maxStoredImages bounds the images in the stored form: with at most 64 queues it takes
	// less than 16 kB.
	maxStoredImages = 96
	// storedDigits is how many decimals of the sums are stored.
	storedDigits = 1e3
	// maxStoredSum bounds the sums that are read.
	maxStoredSum = 1e6
	// minStoredWeight is the weight, in whole steps, below which an entry is not stored.
	minStoredWeight = 0.5
)

// Stored is a Book as the next owner reads it. Its JSON form is kept small.
type Stored struct {
	Form   int          `json:"form"`
	Queues []StoredItem `json:"queues,omitempty"`
	Images []StoredItem `json:"images,omitempty"`
}

// StoredItem holds the sums of one queue or image: N, X, D, XX, XD, DD, Long, Ended and Failed.
type StoredItem struct {
	Queue string    `json:"q"`
	Image string    `json:"i,omitempty"`
	Sums  []float64 `json:"s"`
}

func (m *moments) sums() []*float64 {
	return []*float64{&m.N, &m.X, &m.D, &m.XX, &m.XD, &m.DD, &m.Long, &m.Ended, &m.Failed}
}

func (m *moments) stored(queue, image string) StoredItem {
	item := StoredItem{Queue: queue, Image: image}
	for _, v := range m.sums() {
		item.Sums = append(item.Sums, math.Round(*v*storedDigits)/storedDigits)
	}
	return item
}

// Store returns the stored form, with the images that weigh most.
func (b *Book) Store() Stored {
	s := Stored{Form: storedForm}
	for queue, m := range b.queues {
		if m.N+m.Failed >= minStoredWeight {
			s.Queues = append(s.Queues, m.stored(queue, ""))
		}
	}
	for k, m := range b.images {
		if m.N+m.Failed >= minStoredWeight {
			s.Images = append(s.Images, m.stored(k.queue, k.image))
		}
	}
	slices.SortFunc(s.Queues, func(a, b StoredItem) int { return cmp.Compare(a.Queue, b.Queue) })
	slices.SortFunc(s.Images, func(a, b StoredItem) int {
		return cmp.Or(cmp.Compare(b.Sums[0], a.Sums[0]), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
	})
	if len(s.Images) > maxStoredImages {
		s.Images = s.Images[:maxStoredImages]
	}
	return s
}

// Load adds what an earlier owner has stored to what this one has learnt since. A form that is
// not this build's, or with a value out of range, changes nothing.
func (b *Book) Load(now time.Duration, s Stored) error {
	if s.Form != storedForm {
		return fmt.Errorf("load estimates: form %d, this build reads %d", s.Form, storedForm)
	}
	if len(s.Queues) > maxQueues || len(s.Images) > maxImages {
		return fmt.Errorf("load estimates: %d queues and %d images, at most %d and %d", len(s.Queues), len(s.Images), maxQueues, maxImages)
	}
	for _, item := range slices.Concat(s.Queues, s.Images) {
		if err := item.check(); err != nil {
			return err
		}
	}
	for _, item := range s.Queues {
		entry(&b.queues, item.Queue, maxQueues).merge(now, item)
	}
	for _, item := range s.Images {
		entry(&b.images, imageKey{item.Queue, item.Image}, maxImages).merge(now, item)
	}
	return nil
}

// check returns an error if the sums cannot come from reports.
func (s StoredItem) check() error {
	var m moments
	if len(s.Sums) != len(m.sums()) {
		return fmt.Errorf("load estimates of queue %q: %d sums", s.Queue, len(s.Sums))
	}
	for _, v := range s.Sums {
		if math.IsNaN(v) || math.Abs(v) > maxStoredSum {
			return fmt.Errorf("load estimates of queue %q: a sum of %g", s.Queue, v)
		}
	}
	m.set(s)
	if m.N < 0 || m.N > 2*maxWeight || m.Long < 0 || m.Ended < 0 || m.Failed < 0 || m.Failed > m.Ended ||
		math.Abs(m.D) > m.N*math.Log(maxFactor)+1 {
		return fmt.Errorf("load estimates of queue %q: sums that no reports have", s.Queue)
	}
	return nil
}

func (m *moments) set(s StoredItem) {
	for i, v := range m.sums() {
		*v = s.Sums[i]
	}
}

func (m *moments) merge(now time.Duration, s StoredItem) {
	var earlier moments
	earlier.set(s)
	own, added := m.sums(), earlier.sums()
	for i := range own {
		*own[i] += *added[i]
	}
	m.at = max(m.at, now)
	m.fade(now)
}
