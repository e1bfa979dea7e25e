// Package term drops what arrives too late. A process acts as the leader, or as the owner
// of a shard, for a term; the answer to a request of an earlier term must not be acted
// upon, since the state behind it has been rebuilt in the meantime.
//
// A Counter belongs to the event loop and is not safe for concurrent use.
package term

// Counter numbers the terms of one role. The zero value is ready for use.
type Counter struct{ number int }

// Advance begins a new term: functions guarded in earlier ones do nothing from now on.
func (c *Counter) Advance() { c.number++ }

// Guard returns a function that calls fn unless a new term has begun since.
func (c *Counter) Guard(fn func()) func() {
	number := c.number
	return func() {
		if number == c.number {
			fn()
		}
	}
}

// GuardValue is Guard for a function that takes a value, such as an answer.
func GuardValue[T any](c *Counter, fn func(T)) func(T) {
	number := c.number
	return func(value T) {
		if number == c.number {
			fn(value)
		}
	}
}

// GuardResult is Guard for a function that takes a value or an error.
func GuardResult[T any](c *Counter, fn func(T, error)) func(T, error) {
	number := c.number
	return func(value T, err error) {
		if number == c.number {
			fn(value, err)
		}
	}
}
