package settings

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Operator is the operators' own settings. Every one has a default.
type Operator struct {
	// WaitBoundS is the wait in the extra queue after which a task goes
	// first, in seconds.
	WaitBoundS *float64 `hcl:"wait_bound_s,optional"`
	// IdleKeepS is how long a machine without tasks is kept, in seconds.
	IdleKeepS *float64 `hcl:"idle_keep_s,optional"`
	// Drains turns stepwise drains on.
	Drains *Drains `hcl:"drains,block"`
}

// ParseOperator reads the operators' settings; an unknown or out-of-range one
// is refused with file, line and reason.
func ParseOperator(name string, source []byte) (Operator, error) {
	var operator Operator
	if err := hclsimple.Decode(name, source, nil, &operator); err != nil {
		var diagnostics hcl.Diagnostics
		if errors.As(err, &diagnostics) && len(diagnostics) > 0 && diagnostics[0].Subject != nil {
			first := diagnostics[0]
			return operator, fmt.Errorf("%s:%d: %s: %s", name, first.Subject.Start.Line, first.Summary, first.Detail)
		}
		return operator, fmt.Errorf("%s: %w", name, err)
	}
	for _, f := range []struct {
		key      string
		value    *float64
		min, max float64
	}{
		{"wait_bound_s", operator.WaitBoundS, 0, 86400},
		{"idle_keep_s", operator.IdleKeepS, 0, 86400},
	} {
		if f.value != nil && (*f.value < f.min || *f.value > f.max || math.IsNaN(*f.value)) {
			return operator, fmt.Errorf("%s:%d: %s: %g is outside %g to %g", name, lineOf(source, f.key), f.key, *f.value, f.min, f.max)
		}
	}
	if operator.Drains != nil {
		if f := operator.Drains.check(); f != nil {
			start := max(0, bytes.Index(source, []byte(f.block)))
			line := bytes.Count(source[:start], []byte("\n")) + lineOf(source[start:], f.key)
			return operator, fmt.Errorf("%s:%d: drains: %s: %s", name, line, f.key, f.reason)
		}
	}
	return operator, nil
}

// lineOf finds the line that sets a key.
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
