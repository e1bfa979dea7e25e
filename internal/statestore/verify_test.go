package statestore

import (
	"errors"
	"log/slog"
	"testing"

	"lemonmoor/internal/term"
)

// scriptedCopy is a Verifier that answers each verification with the next of its errors, and
// with nil when none remain. With withholdAnswers set it does not answer; the
// test calls the functions in withheld.
type scriptedCopy struct {
	name            string
	errs            []error
	verified        *[]string     // names of the copies verified, shared by the copies of a test
	withheld        []func(error) // callbacks of unanswered verifications
	withholdAnswers bool
}

func (c *scriptedCopy) Verify(fn func(error)) {
	*c.verified = append(*c.verified, c.name)
	if c.withholdAnswers {
		c.withheld = append(c.withheld, fn)
		return
	}
	var err error
	if len(c.errs) > 0 {
		err, c.errs = c.errs[0], c.errs[1:]
	}
	fn(err)
}

func newVerifyClient() (*fakeService, *Client) {
	service := newFakeService()
	return service, New(service, "state", slog.New(slog.DiscardHandler))
}

// TestVerifyUntilCurrentRestartsAfterAFailure checks that after a failure all copies are
// verified again, also those verified before it.
func TestVerifyUntilCurrentRestartsAfterAFailure(t *testing.T) {
	service, client := newVerifyClient()
	var terms term.Counter
	var verified []string
	records := &scriptedCopy{name: "records", verified: &verified}
	jobs := &scriptedCopy{name: "jobs", verified: &verified, errs: []error{errors.New("not reached")}}
	done := 0
	client.VerifyUntilCurrent(&terms, func() { done++ }, records, jobs)
	if done != 0 || len(service.timers) != 1 {
		t.Fatalf("after a failure: done called %d times, %d timers set, want 0 calls and 1 timer", done, len(service.timers))
	}
	service.step(false)
	if want := []string{"records", "jobs", "records", "jobs"}; done != 1 || len(verified) != len(want) {
		t.Fatalf("after the retry: done called %d times, verified %q, want 1 call and %q", done, verified, want)
	}
}

// TestVerifyUntilCurrentEndsWithTheTerm checks that a verification of an earlier term neither
// calls done nor retries after the term has ended.
func TestVerifyUntilCurrentEndsWithTheTerm(t *testing.T) {
	t.Run("while a copy is being verified", func(t *testing.T) {
		_, client := newVerifyClient()
		var terms term.Counter
		var verified []string
		records := &scriptedCopy{name: "records", verified: &verified, withholdAnswers: true}
		client.VerifyUntilCurrent(&terms, func() { t.Error("done called after the end of the term") }, records)
		terms.Advance()
		records.withheld[0](nil)
	})
	t.Run("during the pause after a failure", func(t *testing.T) {
		service, client := newVerifyClient()
		var terms term.Counter
		var verified []string
		records := &scriptedCopy{name: "records", verified: &verified, errs: []error{errors.New("not reached")}}
		client.VerifyUntilCurrent(&terms, func() { t.Error("done called after the end of the term") }, records)
		terms.Advance()
		service.step(false)
		if len(verified) != 1 {
			t.Errorf("verified %d times, want 1", len(verified))
		}
	})
}
