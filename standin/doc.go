// Package standin is the root of the small programs that take the place of the
// platform and of the targets where the real ones are not at hand.
package standin
