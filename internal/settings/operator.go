package settings

import (
	"errors"
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Operator is the operators' own settings (HCL). Every setting has a default.
type Operator struct {
	// WaitBoundS is the wait in the extra queue, in seconds, after which a task is placed
	// first.
	WaitBoundS *float64 `hcl:"wait_bound_s,optional"`
	// IdleKeepS is how long a machine without tasks is kept, in seconds.
	IdleKeepS *float64 `hcl:"idle_keep_s,optional"`
	// Drains enables stepwise drains; nil disables them.
	Drains *Drains `hcl:"drains,block"`
}

// maxOperatorSeconds is the maximum of the times that operators can set, one day in seconds.
const maxOperatorSeconds = 86400

// OperatorError reports an invalid setting in the operators' file.
type OperatorError struct {
	File    string
	Line    int    // counted from 1
	Setting string // name, prefixed by "drains: " in that block, or the summary of an HCL diagnostic
	Reason  string
}

// Error returns file, line, setting and reason in one line.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Setting, e.Reason)
}

// ParseOperator parses the operators' settings; file is only named in errors. An unknown
// setting, or one out of range, is an *OperatorError.
func ParseOperator(file string, source []byte) (Operator, error) {
	var operator Operator
	if err := hclsimple.Decode(file, source, nil, &operator); err != nil {
		var diagnostics hcl.Diagnostics
		if errors.As(err, &diagnostics) && len(diagnostics) > 0 && diagnostics[0].Subject != nil {
			first := diagnostics[0]
			return operator, &OperatorError{file, first.Subject.Start.Line, first.Summary, first.Detail}
		}
		return operator, fmt.Errorf("%s: %w", file, err)
	}
	for _, setting := range []struct {
		name    string
		seconds *float64
	}{
		{"wait_bound_s", operator.WaitBoundS},
		{"idle_keep_s", operator.IdleKeepS},
	} {
		if value := setting.seconds; value != nil && !isOperatorTime(*value) {
			return operator, &OperatorError{file, lineOf(source, setting.name), setting.name, fmt.Sprintf("%g is outside 0 to %d", *value, maxOperatorSeconds)}
		}
	}
	if operator.Drains != nil {
		if err := operator.Drains.check(); err != nil {
			return operator, &OperatorError{file, err.line(source), "drains: " + err.key, err.reason}
		}
	}
	return operator, nil
}

// isOperatorTime reports whether a number of seconds is in the range that operators can set.
func isOperatorTime(seconds float64) bool {
	return seconds >= 0 && seconds <= maxOperatorSeconds // false for NaN
}

// lineOf returns the first line, counted from 1, on which a word starts with key, 1 if there is
// none.
func lineOf(source []byte, key string) int {
	line := 1
	for i := 0; i+len(key) <= len(source); i++ {
		if source[i] == '\n' {
			line++
		}
		if string(source[i:i+len(key)]) == key && (i == 0 || source[i-1] == '\n' || source[i-1] == ' ' || source[i-1] == '\t') {
			return line
		}
	}
	return 1
}
