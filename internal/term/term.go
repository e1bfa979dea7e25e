// Package term drops calls that belong to an earlier term of a role. A process is the leader,
// or the owner of a shard, for a term. The answer to a request of an earlier term must not be
// acted upon, because the state that the request was based on has been rebuilt since.
//
// A Counter belongs to the event loop and is not safe for concurrent use.
package term

// Counter numbers the terms of one role. The zero value is ready for use.
type Counter struct{ number int }

// Advance begins a new term. Functions guarded in earlier terms do nothing from now on.
func (c *Counter) Advance() { c.number++ }

// Guard returns a function that calls fn as long as the current term lasts and does nothing
// afterwards.
func (c *Counter) Guard(fn func()) func() {
	number := c.number
	return func() {
		if number == c.number {
			fn()
		}
	}
}

// GuardValue is Guard for a function with one argument, such as an answer.
func GuardValue[T any](c *Counter, fn func(T)) func(T) {
	number := c.number
	return func(value T) {
		if number == c.number {
			fn(value)
		}
	}
}

// GuardResult is Guard for a function with a value and an error as arguments.
func GuardResult[T any](c *Counter, fn func(T, error)) func(T, error) {
	number := c.number
	return func(value T, err error) {
		if number == c.number {
			fn(value, err)
		}
	}
}
